package core

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// Times of an operator, and of the faults beside it.
const (
	operatorPatience = model.Second     // without an answer, it goes on to another replica
	orderGivenUp     = 4 * model.Second // an order without an acknowledgement is given up
	orderFaultsEnd   = 25 * model.Second
	longestOrderGap  = 1500 * millisecond
	longestFault     = 4 * model.Second
	maxDisturbed     = 2                // replicas at one time, of five
	longestReset     = 50 * millisecond // time until the connection of a call is reset
)

// Guards against an order that is carried out after a later order of its operator was
// acknowledged: it lay unread on a frozen replica, in the relay of a replica, or on a
// connection that was cut for some time.
func TestOrdersOfOneOperatorApplyInTheirOrder(t *testing.T) {
	runOrders(t, func(o *orderingOperator) {
		for o.now < o.faultsEnd {
			o.order(o.rng.IntN(2) == 0)
			o.pause(o.between(0, longestOrderGap))
		}
		o.pause(longestFault)
		o.order(o.rng.IntN(2) == 0)
		o.pause(longestFault)
		require.True(o.t, o.acknowledged, "no order is acknowledged after the faults")
		for _, r := range o.replicas {
			require.Equal(o.t, o.out, r.state.fleet.Jobs.OutOfService["west"], r.host)
		}
	})
}

// Guards against a job that is accepted after its cancelling was acknowledged, or
// answered with the word that it is unknown, while its submission lay somewhere.
func TestCancelledJobsStayCancelled(t *testing.T) {
	runOrders(t, func(o *orderingOperator) {
		var cancelled []model.JobID
		for i := 0; o.now < o.faultsEnd; i++ {
			id := model.JobID(fmt.Sprintf("%016x", i))
			if o.submitAndCancel(id) {
				cancelled = append(cancelled, id)
			}
			o.pause(o.between(0, longestOrderGap/4))
		}
		o.pause(2 * longestFault)
		require.NotEmpty(o.t, cancelled)
		for _, r := range o.replicas {
			for _, id := range cancelled {
				if j := r.state.fleet.Jobs.Jobs[id]; j != nil {
					require.Equal(o.t, jobs.Cancelled, j.Phase, "job %s on %s", id, r.host)
				}
			}
		}
	})
}

// submitAndCancel submits a job once and then cancels it. It reports whether the
// cancelling was acknowledged.
func (o *orderingOperator) submitAndCancel(id model.JobID) bool {
	address := call.Address{Host: "h", Path: "/q/" + string(id)}
	steps := []jobs.Step{{Tasks: 1, Size: model.Resources{MilliCPU: 1000}, LongRunning: true}}
	anyReplica := func() *simReplica { return o.replicas[o.rng.IntN(len(o.replicas))] }
	o.callAtReplica(anyReplica(), call.Call{Submit: &call.Submit{Address: address, Job: jobs.Job{Steps: steps, Rounds: make([]jobs.Round, 1)}}})
	for givenUp := o.now.Add(orderGivenUp); o.now < givenUp; {
		a, answered := o.callAtReplica(anyReplica(), call.Call{Cancel: &address})
		if answered && (a.Problem == nil || a.Problem.Kind == problem.UnknownJob) {
			return true
		}
		o.run(o.between(0, 100*millisecond))
	}
	return false
}

// runOrders plays a number of schedules of faults.
func runOrders(t *testing.T, play func(o *orderingOperator)) {
	for seed := range simSeeds(t, 60) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			o := &orderingOperator{fleetSim: newFleetSim(t, seed, 5, 0)}
			o.faultsEnd = o.now.Add(orderFaultsEnd)
			o.disturb()
			play(o)
		})
	}
}

// simSeeds returns the number of seeds to play.
func simSeeds(t *testing.T, usual uint64) uint64 {
	value := os.Getenv(seedsVariable)
	if value == "" {
		return usual
	}
	seeds, err := strconv.ParseUint(value, 10, 64)
	require.NoError(t, err)
	return seeds
}

// Guards against an order that is refused although no later one can exist: the replica
// that received it had not applied the previous order yet.
func TestQuickOrdersAreAcknowledgedAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		o := orderingOperator{fleetSim: newFleetSim(t, seed, 5, 0)}
		for i := range 100 {
			require.True(t, o.orderAt(o.replicas[o.rng.IntN(len(o.replicas))], i%2 == 0), "order %d of seed %d", i, seed)
			o.acknowledged, o.out = true, i%2 == 0
			o.pause(o.between(0, 100*millisecond))
		}
	}
}

// orderingOperator takes a data centre out of service and back, one order after the
// other.
type orderingOperator struct {
	*fleetSim
	faultsEnd    model.Time
	acknowledged bool // the latest order, which is not followed by another one yet
	out          bool // what the latest order says
}

// disturb freezes, cuts off or restarts a replica, again and again. What is sent over a
// cut arrives when it is over.
func (o *orderingOperator) disturb() {
	if o.now >= o.faultsEnd {
		return
	}
	disturbed := 0
	for _, r := range o.replicas {
		if o.now < max(r.frozenUntil, r.cutUntil) {
			disturbed++
		}
	}
	r := o.replicas[o.rng.IntN(len(o.replicas))]
	if l := o.leader(); l != nil && o.rng.IntN(3) == 0 {
		r = l
	}
	until := o.now.Add(o.between(100*millisecond, longestFault))
	switch kind := o.rng.IntN(5); {
	case disturbed >= maxDisturbed || o.now < max(r.frozenUntil, r.cutUntil):
	case kind < 2:
		r.frozenUntil = until
	case kind < 4:
		r.cutUntil = until
	default:
		o.startReplica(r)
	}
	o.after(o.between(50*millisecond, 1500*millisecond), o.disturb)
}

// order makes one order at one replica after the other until it is acknowledged.
func (o *orderingOperator) order(out bool) {
	o.acknowledged, o.out = false, out
	for givenUp := o.now.Add(orderGivenUp); o.now < givenUp; {
		if o.orderAt(o.replicas[o.rng.IntN(len(o.replicas))], out) {
			o.acknowledged = true
			return
		}
		o.run(o.between(0, 100*millisecond))
	}
}

// orderAt reports whether a replica acknowledged the order in time.
func (o *orderingOperator) orderAt(r *simReplica, out bool) bool {
	a, answered := o.callAtReplica(r, call.Call{SetOut: &jobs.SetOut{DataCentre: "west", Out: out}})
	return answered && a.Problem == nil
}

// callAtReplica makes a call and returns its answer, unless that takes too long or the
// connection is reset.
func (o *orderingOperator) callAtReplica(r *simReplica, c call.Call) (call.Answer, bool) {
	o.seq++
	c.Seq, c.Patience = o.seq, 850*millisecond
	incarnation := r.incarnation
	arrived := event.CallArrived{Call: c}
	o.after(o.between(0, 3*millisecond), func() { o.read(r, incarnation, arrived) })
	patience, reset := operatorPatience, o.now < o.faultsEnd && o.rng.IntN(5) == 0
	if reset {
		patience = o.between(0, longestReset)
	}
	for until := o.now.Add(patience); o.now < until; {
		o.run(5 * millisecond)
		if a, answered := o.answers[c.Seq]; answered {
			return a, true
		}
	}
	if reset {
		gone := event.CallAbandoned{Seq: c.Seq, Class: event.ClassOf(arrived)}
		o.after(o.between(0, 3*millisecond), func() { o.read(r, incarnation, gone) })
	}
	return call.Answer{}, false
}

// pause lets time pass, and checks that the order that was acknowledged holds.
func (o *orderingOperator) pause(d model.Duration) {
	for until := o.now.Add(d); o.now < until; {
		o.run(10 * millisecond)
		if l := o.leader(); l != nil && o.acknowledged {
			require.Equal(o.t, o.out, l.state.fleet.Jobs.OutOfService["west"], "%s does not follow the acknowledged order", l.host)
		}
	}
}
