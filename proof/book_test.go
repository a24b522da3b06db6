package proof

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/standin"
)

// observations records what the targets observe of runs beyond the ledger: the
// answers that they produced, and the number of concurrent runs of a team at each of
// its starts.
type observations struct {
	mu       sync.Mutex
	produced map[string][][]byte // by request key
	running  map[string]int      // by team
	starts   []teamStart
}

// teamStart is the start of a run of a team.
type teamStart struct {
	team    string
	at      time.Time
	running int // runs of the team over all targets, this one included
}

func newObservations() *observations {
	return &observations{produced: map[string][][]byte{}, running: map[string]int{}}
}

// echo returns work that answers with the request body after runTime(body).
func (obs *observations) echo(runTime func(body []byte) time.Duration) standin.Work {
	return obs.work(runTime, func(body []byte) []byte { return body })
}

// unique returns work that adds an ID of the run to the answer, so that two runs
// of one request have different answers.
func (obs *observations) unique(runTime func(body []byte) time.Duration) standin.Work {
	return obs.work(runTime, func(body []byte) []byte {
		return fmt.Appendf(bytes.Clone(body), " run %s", uuid.NewString())
	})
}

func (obs *observations) work(runTime func(body []byte) time.Duration, answerFor func([]byte) []byte) standin.Work {
	return func(ctx context.Context, body []byte) model.Answer {
		var key, team string
		if _, err := fmt.Fscan(bytes.NewReader(body), &key, &team); err != nil {
			return model.Answer{Status: http.StatusInternalServerError, Body: []byte(err.Error())}
		}
		obs.begin(team)
		defer obs.end(team)
		answer := standin.Echo(runTime(body))(ctx, body)
		if answer.Status == http.StatusOK {
			answer.Body = answerFor(body)
		} else {
			answer.Body = fmt.Appendf(nil, "deadline of %s", key)
		}
		obs.recordAnswer(key, answer.Body)
		return answer
	}
}

func constantTime(d time.Duration) func([]byte) time.Duration {
	return func([]byte) time.Duration { return d }
}

func (obs *observations) begin(team string) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.running[team]++
	obs.starts = append(obs.starts, teamStart{team, time.Now(), obs.running[team]})
}

func (obs *observations) end(team string) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.running[team]--
}

func (obs *observations) recordAnswer(key string, answer []byte) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.produced[key] = append(obs.produced[key], answer)
}

// isAnswerOf reports whether a run of the request produced these bytes.
func (obs *observations) isAnswerOf(key string, content []byte) bool {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	for _, answer := range obs.produced[key] {
		if bytes.Equal(answer, content) {
			return true
		}
	}
	return false
}

// maxRunningAfter returns the highest number of concurrent runs of the team at any
// start later than at.
func (obs *observations) maxRunningAfter(team string, at time.Time) int {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	highest := 0
	for _, s := range obs.starts {
		if s.team == team && s.at.After(at) {
			highest = max(highest, s.running)
		}
	}
	return highest
}

// idleFor reports whether nothing runs and nothing has started for d.
func (obs *observations) idleFor(d time.Duration) bool {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	for _, n := range obs.running {
		if n > 0 {
			return false
		}
	}
	return len(obs.starts) == 0 || time.Since(obs.starts[len(obs.starts)-1].at) > d
}

// idleTime exceeds the patience of a request that is queued again after a failed
// attempt, and the largest delay between two attempts.
const idleTime = 2 * time.Second

func (obs *observations) waitIdle(t testing.TB) {
	t.Helper()
	eventually(t, requestLimit, "all targets are idle", func() bool { return obs.idleFor(idleTime) })
}

// answer is what a caller got for one attempt, with its bytes.
type answer struct {
	outcome
	content []byte
}

// call makes one attempt and keeps the bytes of the answer. Cancelling ctx closes
// the connection.
func (s *system) call(ctx context.Context, i int, r request) answer {
	a := answer{outcome: outcome{request: r, host: i, sent: time.Now(), attempts: 1, ran: problem.RanUnknown}}
	response, written, err := s.transmit(ctx, i, r, r.body())
	if err == nil {
		defer response.Body.Close()
		if a.content, err = io.ReadAll(response.Body); err == nil {
			a.read(response, a.content, nil)
			a.answered = response.StatusCode == http.StatusOK && a.kind == ""
			a.wrong = !a.answered && a.kind == ""
		}
	}
	a.ended = time.Now()
	a.failed(err, written)
	return a
}

// answerTally holds the counts that each proof prints and checks.
type answerTally struct {
	faults, sent, answered, refused, unknown, wrong, runTwice, lost, falselyRefused int
	kinds                                                                           map[problem.Kind]int
}

// count adds an answer. resent states that the request was sent before, so that a
// refusal says nothing about its earlier runs.
func (c *answerTally) count(s *system, obs *observations, a answer, resent bool) {
	if c.kinds == nil {
		c.kinds = map[problem.Kind]int{}
	}
	runs, _ := s.ledger.counts()
	c.sent++
	switch {
	case (a.answered || a.wrong) && obs.isAnswerOf(a.key, a.content):
		c.answered++
	case a.answered || a.wrong:
		c.wrong++
		s.t.Logf("wrong answer of %d bytes, the request has %d: %v", len(a.content), len(a.body()), a)
	case a.notRun():
		c.refused++
	default:
		c.unknown++
	}
	if a.kind != "" {
		c.kinds[a.kind]++
	}
	if a.hung || (a.answered || a.wrong) && runs[a.key] == 0 {
		c.lost++
	}
	if a.notRun() && !resent && runs[a.key] > 0 {
		c.falselyRefused++
		s.t.Logf("refused as not run after %d runs: %v", runs[a.key], a)
	}
}

// countTwice counts the non-idempotent requests that ran more than once.
func (c *answerTally) countTwice(s *system, list []request) {
	runs, _ := s.ledger.counts()
	for _, r := range list {
		if r.nonIdempotent && runs[r.key] > 1 {
			c.runTwice++
		}
	}
}

func (c *answerTally) check(t testing.TB) {
	t.Helper()
	t.Logf("faults injected %d, requests sent %d, answered %d, refused not run %d, outcome unknown %d, wrong answers %d, run twice %d, lost %d, run but refused as not run %d, refusals %v",
		c.faults, c.sent, c.answered, c.refused, c.unknown, c.wrong, c.runTwice, c.lost, c.falselyRefused, c.kinds)
	require.Zero(t, c.runTwice, "run twice")
	require.Zero(t, c.wrong, "wrong answers")
	require.Zero(t, c.lost, "lost")
	require.Zero(t, c.falselyRefused, "run but refused as not run")
}
