package proof

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/operator/client"
)

const (
	linearClients = 5
	linearFaults  = 6
	// attemptLimit ends an attempt whose host is frozen or cut off.
	attemptLimit = 3 * time.Second
	checkLimit   = 30 * time.Second
	// sendsOfKey is how often each client sends a request of one idempotency
	// key, through one host after another.
	sendsOfKey = 3
	// keyLife is how long a granted key is used before its withdrawal, and
	// usePause the time between two uses of one caller.
	keyLifetime = 250 * time.Millisecond
	usePause    = 100 * time.Millisecond
	// keysUsed is how many keys of the two operators are in use, withdrawn or
	// not: those of about 5 s, so that some were withdrawn over inForceLimit ago.
	// Few uses of each name keep the search of the checker short.
	keysUsed = 40
)

// operationKind is the kind of an operation of a history.
type operationKind string

const (
	opSend     operationKind = "send"
	opGrant    operationKind = "grant"
	opWithdraw operationKind = "withdraw"
	opUse      operationKind = "use"
)

// input is the input of an operation on the object of this name.
type input struct {
	name   string
	kind   operationKind
	secret string // the key that is granted or used
}

// output is what its client learned.
type output struct {
	unknown bool   // nothing: it may have had its effect, then or later
	ok      bool   // answered, granted, withdrawn, or the key was accepted
	content string // of an answer
}

// history is what all clients did.
type history struct {
	began time.Time
	mu    sync.Mutex
	list  []porcupine.Operation
}

// add records an operation that began at call and ends now. stale is the age
// of what it may have read.
func (h *history) add(in input, out output, call time.Time, stale time.Duration) {
	op := porcupine.Operation{Input: in, Output: out, Call: int64(call.Sub(h.began) - stale), Return: int64(time.Since(h.began))}
	if out.unknown {
		op.Return = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, op)
}

func (h *history) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.list)
}

// waitGrown waits until operations have ended.
func (h *history) waitProgress(t *testing.T) {
	t.Helper()
	seen := h.len()
	eventually(t, startLimit, "operations go on", func() bool { return h.len() > seen+progressStarts })
}

// check checks the history of each object against the model.
func (h *history) check(t *testing.T, m porcupine.Model) {
	m.Partition = byName
	ok, unknown := 0, 0
	for _, op := range h.list {
		if op.Output.(output).ok {
			ok++
		}
		if op.Output.(output).unknown {
			unknown++
		}
	}
	verdict := porcupine.CheckOperationsTimeout(m, h.list, checkLimit)
	t.Logf("%d operations on %d objects: %d had their effect or an answer, %d unknown; linearizable: %s",
		len(h.list), len(byName(h.list)), ok, unknown, verdict)
	require.Equal(t, porcupine.Ok, verdict)
	require.NotZero(t, ok, "the faults left nothing to check")
}

func byName(list []porcupine.Operation) [][]porcupine.Operation {
	at := map[string]int{}
	var parts [][]porcupine.Operation
	for _, op := range list {
		name := op.Input.(input).name
		if _, ok := at[name]; !ok {
			at[name] = len(parts)
			parts = append(parts, nil)
		}
		parts[at[name]] = append(parts[at[name]], op)
	}
	return parts
}

// claimModel is one idempotency key: the first answer is the answer for ever,
// and after it no resend is told anything else. Each run has an answer of its
// own, so that a second run shows as another answer.
var claimModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, out any) (bool, any) {
		o, answer := out.(output), state.(string)
		switch {
		case o.unknown:
			return true, state
		case o.ok:
			return answer == "" || answer == o.content, o.content
		default:
			return answer == "", state
		}
	},
}

// keyState is one key of a team, by the name that operators gave it.
type keyState struct {
	secret    string
	withdrawn bool
}

// keyModel lets a name be granted once. A key works from its grant to its
// withdrawal.
var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(keyState), in.(input), out.(output)
		next, ok := s, false
		switch i.kind {
		case opGrant:
			ok = s.secret == "" || s.secret == i.secret
			if s.secret == "" {
				next.secret = i.secret
			}
		case opWithdraw:
			ok = s.secret != ""
			next.withdrawn = ok
		default:
			ok = s.secret == i.secret && !s.withdrawn
		}
		return o.unknown || o.ok == ok, next
	},
}

// linear starts a system with its faults by seed and runs the clients until the
// faults are over.
func runWithLeaderFaults(t *testing.T, h *history, clients func(s *system, obs *observations, ctx context.Context, all *sync.WaitGroup)) {
	from := *seed
	if from == 0 {
		from = uint64(time.Now().UnixNano())
	}
	t.Logf("seed %d", from)
	s, obs := startSystem(t, 3, 2), newObservations()
	s.prepare(3, obs.unique(constantTime(20*time.Millisecond)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	clients(s, obs, ctx, &all)
	h.waitProgress(t)
	faults := s.injectLeaderFaults(rand.New(rand.NewPCG(from, 1)), linearFaults)
	h.waitProgress(t)
	cancel()
	all.Wait()
	obs.waitIdle(t)
	s.checkLimits()
	t.Logf("faults %v", faults)
}

// Guards against two answers of one idempotency key, and against a resend that
// does not get the answer that an earlier one got, while clients send the same
// requests through different hosts and the leader fails.
func TestClaimsAreLinearizable(t *testing.T) {
	t.Parallel()
	h := &history{began: time.Now()}
	requests := make([]request, 2000)
	for i := range requests {
		requests[i] = request{key: newKey(), team: teams[i%len(teams)], queue: "proofs", nonIdempotent: true}
	}
	var used *system
	runWithLeaderFaults(t, h, func(s *system, obs *observations, ctx context.Context, all *sync.WaitGroup) {
		used = s
		for c := range linearClients {
			all.Go(func() {
				for i := 0; i < sendsOfKey*len(requests) && ctx.Err() == nil; i++ {
					s.sendRecorded(h, (c+i)%len(s.hosts), requests[i/sendsOfKey])
				}
			})
		}
	})
	h.check(t, claimModel)
	runs, _ := used.ledger.counts()
	for _, r := range requests {
		require.LessOrEqual(t, runs[r.key], 1, "run twice")
	}
}

// sendRecorded makes one attempt. A refusal that says "not run" tells nothing
// of the key and is left out.
func (s *system) sendRecorded(h *history, i int, r request) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptLimit)
	defer cancel()
	call := time.Now()
	a := s.call(ctx, i, r)
	if a.notRun() {
		time.Sleep(resendPause) // a caller waits before it sends again
		return
	}
	told := a.kind == problem.InProgress || a.kind == problem.OutcomeUnknown
	h.add(input{name: r.key, kind: opSend}, output{unknown: !a.answered && !told, ok: a.answered, content: string(a.content)}, call, 0)
}

// keyring is the last keysUsed keys.
type keyring struct {
	mu   sync.Mutex
	keys []input
}

func (k *keyring) put(in input) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = append(k.keys, in)
	k.keys = k.keys[max(0, len(k.keys)-keysUsed):]
}

func (k *keyring) pick() (input, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.keys) == 0 {
		return input{}, false
	}
	from := 0
	if rand.IntN(2) == 0 {
		from = max(0, len(k.keys)-2) // the present keys, else any
	}
	return k.keys[from+rand.IntN(len(k.keys)-from)], true
}

// Guards against a name that two operators hold different keys of, and against
// a key that works later than the promised time after its withdrawal or does
// not work that time after its grant. What a host knows of keys may be as old
// as inForceLimit, so a use may have read any state of that time.
func TestKeysAreLinearizable(t *testing.T) {
	t.Parallel()
	h, ring := &history{began: time.Now()}, &keyring{}
	runWithLeaderFaults(t, h, func(s *system, obs *observations, ctx context.Context, all *sync.WaitGroup) {
		for operator := range 2 {
			all.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					s.grantAndWithdrawKey(ctx, h, ring, operator+i, fmt.Sprintf("key-%d", i))
				}
			})
		}
		for c := range linearClients {
			all.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					s.useKey(h, ring, (c+i)%len(s.hosts))
					time.Sleep(usePause)
				}
			})
		}
	})
	h.check(t, keyModel)
}

// operateKey grants the name, lets it be used, and withdraws it.
func (s *system) grantAndWithdrawKey(ctx context.Context, h *history, ring *keyring, host int, name string) {
	in := input{name: name, kind: opGrant}
	call := time.Now()
	err := s.asOperator(host, func(ctx context.Context, c *client.Client) (err error) {
		in.secret, err = c.GrantKey(ctx, name, "press")
		return err
	})
	h.add(in, outputOfChange(err), call, 0)
	ring.put(in)
	select {
	case <-time.After(keyLifetime):
	case <-ctx.Done():
	}
	call = time.Now()
	err = s.asOperator(host+1, func(ctx context.Context, c *client.Client) error { return c.WithdrawKey(ctx, name) })
	h.add(input{name: name, kind: opWithdraw}, outputOfChange(err), call, 0)
}

func (s *system) asOperator(host int, do func(context.Context, *client.Client) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), attemptLimit)
	defer cancel()
	return do(ctx, s.operators(host%len(s.hosts)))
}

// known returns what an operator learned from the end of a change.
func outputOfChange(err error) output {
	var refusal *client.Refusal
	if err == nil {
		return output{ok: true}
	}
	refused := errors.As(err, &refusal) && (refusal.Kind == problem.BadRequest || refusal.Kind == problem.UnknownKey)
	return output{unknown: !refused}
}

// useKey sends a request with one of the keys. Attempts that say nothing of
// the key are left out.
func (s *system) useKey(h *history, ring *keyring, i int) {
	in, ok := ring.pick()
	if !ok {
		return
	}
	in.kind = opUse
	ctx, cancel := context.WithTimeout(context.Background(), attemptLimit)
	defer cancel()
	r := request{key: newKey(), team: "press", queue: "proofs"}
	call := s.newCall(ctx, i, r, r.body())
	call.Header.Set("Authorization", "Bearer "+in.secret)
	began := time.Now()
	response, err := callers.Do(call)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	accepted, rejected := response.StatusCode == http.StatusOK, response.StatusCode == problem.Lookup(problem.KeyRejected).Status
	if err == nil && (accepted || rejected) {
		h.add(in, output{ok: accepted}, began, inForceLimit)
	}
}
