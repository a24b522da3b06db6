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
	// attemptLimit ends an attempt through a host that is paused or cut off.
	attemptLimit = 3 * time.Second
	checkLimit   = 30 * time.Second
	// sendsOfKey is the number of times that each client sends a request with the
	// same idempotency key, each time through another host.
	sendsOfKey = 3
	// keyLifetime is the time between the grant of a key and its withdrawal, and
	// usePause the time between two uses by one caller.
	keyLifetime = 250 * time.Millisecond
	usePause    = 100 * time.Millisecond
	// keysUsed is the number of most recent keys of both operators that callers use,
	// whether withdrawn or not. They cover about 5 s, so that some were withdrawn
	// more than inForceLimit ago. Few uses of each name keep the search of the
	// checker short.
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

// input is the input of an operation. name identifies the object that it acts on.
type input struct {
	name   string
	kind   operationKind
	secret string // the key that is granted or used
}

// output is what the client learned from an operation.
type output struct {
	unknown bool   // the outcome is not known: it may take effect, even after the return
	ok      bool   // answered, granted, withdrawn, or the key was accepted
	content string // of an answer
}

// history records the operations of all clients.
type history struct {
	began time.Time
	mu    sync.Mutex
	list  []porcupine.Operation
}

// add records an operation that began at call and ends now. stale is the maximum age
// of the state that it may have read.
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

// waitProgress waits until further operations have ended.
func (h *history) waitProgress(t *testing.T) {
	t.Helper()
	seen := h.len()
	eventually(t, startLimit, "operations continue", func() bool { return h.len() > seen+progressStarts })
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

// claimModel models one idempotency key: once a request has been answered, every
// repeated request gets the same answer and no refusal. Each run produces a unique
// answer, so that a second run is detected by a different answer.
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

// keyState is the state of one key name: the key granted under it, and whether it
// was withdrawn.
type keyState struct {
	secret    string
	withdrawn bool
}

// keyModel models one key name: it can be granted once, and the key is valid from its
// grant to its withdrawal.
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

// runWithLeaderFaults starts a system and the clients, injects faults of the leader
// chosen by the seed, and stops the clients after the last fault.
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

// Guards against two different answers for one idempotency key, and against a
// repeated request that does not get the answer returned before, while clients send
// the same requests through different hosts and the leader fails.
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

// sendRecorded makes one attempt and records it. A refusal as not run says nothing
// about the idempotency key and is not recorded.
func (s *system) sendRecorded(h *history, i int, r request) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptLimit)
	defer cancel()
	call := time.Now()
	a := s.call(ctx, i, r)
	if a.notRun() {
		time.Sleep(resendPause) // a caller waits before it sends again
		return
	}
	refused := a.kind == problem.InProgress || a.kind == problem.OutcomeUnknown
	h.add(input{name: r.key, kind: opSend}, output{unknown: !a.answered && !refused, ok: a.answered, content: string(a.content)}, call, 0)
}

// keyring holds the last keysUsed keys.
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
		from = max(0, len(k.keys)-2) // half of the picks: among the two newest keys
	}
	return k.keys[from+rand.IntN(len(k.keys)-from)], true
}

// Guards against a name for which two operators get different keys, and against a key
// that is still accepted more than inForceLimit after its withdrawal, or still
// rejected that long after its grant. A host may know a state of the keys as old as
// inForceLimit, so a use may have read any state of that interval.
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

// grantAndWithdrawKey grants a key under the name, adds it to the ring for callers to
// use, and withdraws it after keyLifetime.
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

// outputOfChange returns what an operator learned from the result of a change.
func outputOfChange(err error) output {
	var refusal *client.Refusal
	if err == nil {
		return output{ok: true}
	}
	refused := errors.As(err, &refusal) && (refusal.Kind == problem.BadRequest || refusal.Kind == problem.UnknownKey)
	return output{unknown: !refused}
}

// useKey sends a request with one of the keys. Attempts that say nothing about the
// key are not recorded.
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
