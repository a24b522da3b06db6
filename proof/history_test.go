package proof

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/operator/client"
)

var seed = flag.Uint64("seed", 0, "seed of the faults of TestHistoriesAreLinearizable, 0 for a new one")

// change is the input of an operation: a change submitted by an operator.
type change struct {
	base uint64
	hash model.Digest
}

// result is the output of an operation.
type result struct {
	unknown bool // no answer: the change may have been accepted, before or after the return
	ok      bool
	current change // on a conflict: the revision in force (as base) and its hash
}

// configState is the state of the model: the hashes of the accepted revisions.
type configState struct {
	revision uint64
	hashes   string // concatenated, in order of the revisions
	last     model.Digest
}

// configModel is the sequential model of the configuration. A repeated submission of
// an accepted change gets the first answer again.
var configModel = porcupine.Model{
	Init: func() any { return configState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(configState), input.(change), output.(result)
		if s.revision == in.base {
			next := configState{s.revision + 1, s.hashes + string(in.hash), in.hash}
			return out.ok || out.unknown, next
		}
		if s.revision > in.base {
			at := int(in.base) * len(in.hash)
			if s.hashes[at:at+len(in.hash)] == string(in.hash) {
				return out.ok || out.unknown, s
			}
		}
		conflict := !out.ok && out.current == change{s.revision, s.last}
		return conflict || out.unknown, s
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// Guards against changes of the configuration that are lost, reverted or accepted
// twice while the leader is killed, cut off in one direction, or paused.
func TestHistoriesAreLinearizable(t *testing.T) {
	const (
		clients    = 5
		operations = 60 // of each client
	)
	if *seed == 0 {
		*seed = uint64(time.Now().UnixNano())
	}
	t.Logf("seed %d", *seed)
	s := startSystem(t, 3, 2)
	began := time.Now()
	histories := make([][]porcupine.Operation, clients)
	var all sync.WaitGroup
	for c := range clients {
		all.Go(func() { histories[c] = s.submitChanges(c, operations, began) })
	}
	faults := s.injectLeaderFaults(rand.New(rand.NewPCG(*seed, 1)), 5)
	all.Wait()
	var history []porcupine.Operation
	ok, conflicts, unknown := 0, 0, 0
	for _, h := range histories {
		for _, op := range h {
			switch out := op.Output.(result); {
			case out.ok:
				ok++
			case out.unknown:
				unknown++
			default:
				conflicts++
			}
		}
		history = append(history, h...)
	}
	verdict := porcupine.CheckOperationsTimeout(configModel, history, 30*time.Second)
	t.Logf("faults %v; %d operations: %d accepted, %d conflicts, %d without an answer; %s", faults, len(history), ok, conflicts, unknown, verdict)
	require.Equal(t, porcupine.Ok, verdict)
	require.Greater(t, ok, 20, "the faults left too little to check")
}

// submitChanges submits changes one after another and records the operations. Each
// change is based on the newest revision that the client knows.
func (s *system) submitChanges(c, operations int, began time.Time) []porcupine.Operation {
	var history []porcupine.Operation
	known := uint64(0)
	for i := range operations {
		f := s.markedFile(known+1, fmt.Sprintf("client%d-%d", c, i))
		op := porcupine.Operation{ClientId: c, Input: change{known, f.Hash}, Call: int64(time.Since(began))}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err := s.operators((c+i)%len(s.hosts)).Apply(ctx, f)
		cancel()
		op.Return = int64(time.Since(began))
		out := outputOf(err)
		switch {
		case out.unknown:
			op.Return = math.MaxInt64
		case out.ok:
			known++
		default:
			known = out.current.base
		}
		op.Output = out
		history = append(history, op)
	}
	return history
}

func outputOf(err error) result {
	var refusal *client.Refusal
	switch {
	case err == nil:
		return result{ok: true}
	case errors.As(err, &refusal) && refusal.Kind == problem.RevisionConflict:
		var current change
		_, scanned := fmt.Sscanf(refusal.Detail, "the current revision is %d with hash %s", &current.base, &current.hash)
		return result{unknown: scanned != nil, current: current}
	default:
		return result{unknown: true}
	}
}

// injectLeaderFaults injects n faults of the leader, ending each before the next,
// and returns their names.
func (s *system) injectLeaderFaults(random *rand.Rand, n int) []string {
	var names []string
	for range n {
		leader := s.leader()
		switch random.IntN(5) {
		case 0:
			names = append(names, "leader killed")
			s.hosts[leader].kill()
			s.leader(s.except(leader)...)
			s.hosts[leader].start()
		case 1:
			names = append(names, "leader not heard")
			s.eachLinkFrom(leader, (*link).block)
			s.leader(s.except(leader)...)
			s.reconnect(leader)
		case 2:
			names = append(names, "leader receives nothing")
			s.eachLinkTo(leader, (*link).block)
			s.leader(s.except(leader)...)
			s.reconnect(leader)
		case 3:
			names = append(names, "connections of the leader reset")
			s.eachLink(leader, (*link).reset)
		default:
			names = append(names, "leader paused")
			s.hosts[leader].pause()
			s.leader(s.except(leader)...)
			s.hosts[leader].resume()
		}
		s.waitServing()
	}
	return names
}
