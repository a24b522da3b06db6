package proof

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/gateway"
)

// fault is the way in which a faulty target handles a request.
type fault int

const (
	faultNone       fault = iota
	resetBeforeBody       // the body is not read, nothing runs
	resetInBody           // half of the body is read, nothing runs
	resetAfterRun         // the request ran, no byte of the answer is sent
	resetInAnswer         // half of the answer, then a reset
	closeInAnswer         // half of the answer, then an orderly close
	answerLate            // the whole answer, after the gateway has timed out
	answerSlow            // a delay that depends on the request, so that answers arrive out of order
	refuseNotRun          // a refusal that states that nothing ran
	failWithRetry         // status 503 with Retry-After after the run
	faultKinds
)

var faultNames = []string{
	"none", "reset before the body", "reset in the body", "reset after the run", "reset in the answer",
	"answer cut by a close", "answer late", "answer crossed", "refused as not run", "status 503 after the run",
}

const (
	// faultEvery is the number of requests for each injected fault. With fewer faults,
	// they would have no effect; with more, every target would be paused.
	faultEvery = 10
	// lateAfter exceeds the maximum run time of the queue brief, 1 s.
	lateAfter     = 1500 * time.Millisecond
	faultyTargets = 6
	slowStep      = 20 * time.Millisecond
)

// faults selects the fault of each request over all targets, in turn.
type faults struct {
	mu       sync.Mutex
	off      bool
	requests int
	injected [faultKinds]int
}

func (f *faults) next() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	if f.off || f.requests%faultEvery != 0 {
		return faultNone
	}
	kind := 1 + fault(f.requests/faultEvery)%(faultKinds-1)
	f.injected[kind]++
	return kind
}

func (f *faults) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.off = true
}

func (f *faults) total() (n int, byName map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	byName = map[string]int{}
	for kind, count := range f.injected {
		if count > 0 {
			byName[faultNames[kind]] = count
			n += count
		}
	}
	return n, byName
}

// middleware wraps the handler of a target and injects faults into its connections and
// answers.
func (f *faults) middleware(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch kind := f.next(); kind {
		case faultNone:
			inner.ServeHTTP(w, r)
		case resetBeforeBody:
			closeConnection(w, true)
		case resetInBody:
			io.CopyN(io.Discard, r.Body, r.ContentLength/2)
			closeConnection(w, true)
		case refuseNotRun:
			io.Copy(io.Discard, r.Body)
			w.Header().Set(gateway.RanHeader, "no")
			http.Error(w, "not run", http.StatusServiceUnavailable)
		default:
			recorder := httptest.NewRecorder()
			inner.ServeHTTP(recorder, r)
			breakAnswer(w, r, recorder, kind)
		}
	})
}

// breakAnswer sends the answer of a run with the fault of the given kind.
func breakAnswer(w http.ResponseWriter, r *http.Request, recorded *httptest.ResponseRecorder, kind fault) {
	switch kind {
	case resetAfterRun:
		closeConnection(w, true)
		return
	case answerLate:
		select {
		case <-r.Context().Done(): // the gateway has timed out; send the answer anyway
		case <-time.After(lateAfter):
		}
	case answerSlow:
		time.Sleep(time.Duration(r.ContentLength%8) * slowStep)
	case failWithRetry:
		w.Header().Set("Retry-After", "1")
		recorded.Code = http.StatusServiceUnavailable
	}
	content := recorded.Body.Bytes()
	for name, values := range recorded.Header() {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(recorded.Code)
	if kind != resetInAnswer && kind != closeInAnswer {
		w.Write(content)
		return
	}
	w.Write(content[:len(content)/2])
	http.NewResponseController(w).Flush()
	closeConnection(w, kind == resetInAnswer)
}

// closeConnection closes the connection, with a reset or in an orderly way.
func closeConnection(w http.ResponseWriter, reset bool) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok && reset {
		tcp.SetLinger(0)
	}
	c.Close()
}

// briefQueue is a queue whose maximum run time is shorter than lateAfter.
const briefQueue = `queue.brief = { service = "render", max_run_s = 1 }`

// largeRequest returns requests of every team with bodies of up to 100 kB, so that
// bodies and answers take several packets.
func largeRequest(i int) request {
	queue := "proofs"
	if i%2 == 1 {
		queue = "brief"
	}
	return request{
		key: newKey(), team: teams[i%len(teams)], queue: queue,
		nonIdempotent: i%4 < 2, size: i * 997 % 100_000,
	}
}

// callAll sends requests at a rate through all hosts and waits for all answers.
func (s *system) callAll(count, rate int, next func(int) request) []answer {
	answers := make([]answer, count)
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() { answers[i] = s.call(context.Background(), i%len(s.hosts), next(i)) })
		<-ticker.C
	}
	all.Wait()
	return answers
}

// Guards against truncated, late or exchanged answers, and against refusals as not run
// of requests that ran, when targets fail or break connections at any point of a
// request. Connections to the targets are reused.
func TestTruthOfAnswers(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	obs, f := newObservations(), &faults{}
	s.prepare(0, nil)
	for i := range faultyTargets {
		s.addFaultyTarget(fmt.Sprintf("faulty-%d", i+1), centres[i%len(centres)], obs.unique(constantTime(10*time.Millisecond)), f.middleware)
	}
	eventually(t, startLimit, "all targets are ready", func() bool { return s.readyTargets(s.leader()) == faultyTargets })
	change := s.file(2, briefQueue)
	s.applyEverywhere(change)
	const requests, rate = 1000, 80
	answers := s.callAll(requests, rate, largeRequest)
	obs.waitIdle(t)
	var p answerTally
	p.faults, _ = f.total()
	var list []request
	for _, a := range answers {
		p.count(s, obs, a, false)
		list = append(list, a.request)
		if a.ran == problem.RanYes {
			runs, _ := s.ledger.counts()
			require.Positive(t, runs[a.key], "ran=yes of a request that did not run: %v", a)
		}
	}
	p.countTwice(s, list)
	_, byName := f.total()
	t.Logf("faults by kind %v", byName)
	p.check(t)
	s.checkLimits()
	require.Len(t, byName, int(faultKinds)-1, "each kind of fault was injected")
	// Without new faults, the targets answer again.
	f.stop()
	eventually(t, startLimit, "a request is answered after the faults", func() bool {
		return s.call(context.Background(), 0, largeRequest(0)).answered
	})
}
