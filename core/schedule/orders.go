package schedule

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// maxCommitTime is how long after its proposal an assignment may be committed to be carried out. A
// new leader derives the age of orders from the proposals.
const maxCommitTime = 4 * model.Second

// orderRecord is what the leader knows of the orders to start one run: which process of the
// worker may carry one out, and until when.
//
// The known process of a worker refuses an order after its deadline, and after a poll with a
// larger token. A later process under the same id has seen no token, and its clock starts
// anew, so it takes an order to the earlier process whenever that arrives. Only three things
// rule that out: every copy of the order has an answer, a poll with a larger token has been
// answered by the process that is up, or the order is too old to arrive.
type orderRecord struct {
	transit               // of the orders without an answer
	orders     int        // that were sent
	refusals   int        // orders that were refused
	unanswered int        // orders without an answer
	orderedAt  model.Time // when the first one was sent
	strayed    bool       // a later process has answered one
	confirmed  bool       // the known process runs it, and no later process can start it
	// confirmProposed means that confirmed is recorded or proposed to be.
	confirmProposed bool
}

// sent records that an order is sent.
func (o *orderRecord) sent(now model.Time) {
	if o.orders == 0 {
		o.orderedAt = now
	}
	o.orders++
	o.unanswered++
	o.transit.sent(now)
}

// answered records that an order has an answer, so that this copy is not carried out later.
func (o *orderRecord) answered(now model.Time) {
	if o.unanswered == 0 {
		return
	}
	if o.unanswered--; o.unanswered == 0 {
		o.reachableUntil = now
	}
}

// accepted records that the process that is known has accepted an order.
func (o *orderRecord) accepted() { o.confirmed = o.unanswered == 0 && !o.strayed }

// answeredByLater records that a later process has answered an order.
func (o *orderRecord) answeredByLater() { o.strayed, o.confirmed = true, false }

// inherit records that an earlier leader assigned the run of a task. If the order to start it
// may still arrive, it counts as one without an answer. Earlier versions did not record when
// they assigned a run.
func (r *run) inherit(env Env, t *jobs.Task) {
	r.phase = inherited
	r.transit.sent(env.Now)
	r.confirmed, r.confirmProposed = t.Confirmed, t.Confirmed
	mayArrive := t.AssignedAt == 0 || env.Clock.Sub(t.AssignedAt) < maxCommitTime+startTimeout+maxCallDelay
	if mayArrive && !t.Confirmed && !r.step.Copies {
		r.unanswered = 1
	}
}

// proposeConfirm records, for later leaders, that the run of a long-running task is confirmed: the
// task is to run again soon after the loss of its worker, and they would wait for its order.
func (s *Scheduler) proposeConfirm(out *Out, r *run) {
	if r.step.LongRunning && r.confirmed && !r.confirmProposed {
		r.confirmProposed = true
		out.Proposals = append(out.Proposals, jobs.Command{Confirm: &jobs.Confirm{Runs: []jobs.RunRef{r.ref}}})
	}
}

// adopted records that a later process runs the run on one of the orders, and refuses the
// others. A process that starts after it may carry out those without an answer.
func (o *orderRecord) adopted() {
	copies := o.unanswered
	if o.orders > 0 && copies > 0 && !o.strayed {
		copies-- // the one on which it runs
	}
	left := orderRecord{unanswered: copies}
	if copies > 0 {
		left.transit = o.transit
	}
	*o = left
}

// allRefused reports whether every order was refused.
func (o *orderRecord) allRefused() bool { return o.refusals >= o.orders }

// arrivesUntil returns the time after which no order to start the run is carried out any more,
// as far as the worker takes calls, or 0 if all that this leader sent have answers.
func (o *orderRecord) arrivesUntil() model.Time {
	if o.unanswered == 0 {
		return 0
	}
	return o.reachableUntil
}

// unlistedOutcome returns the outcome of a run that the known process does not list and will not
// start. The end of a copy that a later process may still start counts for its task.
func (r *run) unlistedOutcome() jobs.Outcome {
	if r.step.Copies && (r.unanswered > 0 || r.phase == inherited) {
		return jobs.OutcomeLost
	}
	return jobs.OutcomeVoid
}

// mayArrive reports whether a later process of the worker may carry out an order to start the
// run. That on which the run has begun is not carried out again.
func (r *run) mayArrive(now model.Time, hasBegun bool) bool {
	isOnlyOrder := hasBegun && r.orders == 1
	return !isOnlyOrder && now < r.arrivesUntil()
}

// isExcludedBy reports whether a list of the worker without the run, in the answer to a poll
// that was sent at polledAt, shows that no later order starts it.
func (r *run) isExcludedBy(polledAt model.Time) bool { return polledAt >= r.arrivesUntil() }

// listedBy records that the known process lists the run in the answer to a poll that was
// sent at polledAt.
func (r *run) listedBy(polledAt model.Time) {
	if r.orders == 1 || polledAt >= r.reachableUntil {
		r.confirmed, r.strayed = true, false
	}
}

// mayHaveStrayed reports whether a later process of its worker may be running the run.
func (r *run) mayHaveStrayed() bool { return r.phase == ordered || r.mayOutlastProcess() }

// mayOutlastProcess reports whether the end of the known process of its worker may leave the run
// to a later process, which runs it or may yet carry out an order to start it.
func (r *run) mayOutlastProcess() bool {
	return r.strayed || !r.confirmed && (r.unanswered > 0 || r.worker.restarted)
}

// endsBy returns the time after which no process of its worker can be running the run, if
// none answers before. The calls to the later processes of its worker extend its lease too.
func (s *Scheduler) endsBy(r *run, b Bounds) model.Time {
	if !r.mayHaveStrayed() {
		return r.worker.leaseEndsBy
	}
	carriedOutBy := r.worker.contact.carriedOutBy()
	if r.worker.info.Host == "" { // it may be that of any record of the worker
		for key, c := range s.contacts {
			if key.worker == r.worker.info.ID {
				carriedOutBy = max(carriedOutBy, c.carriedOutBy())
			}
		}
	}
	return carriedOutBy.Add(runsEndAfter(b.LeaseMax))
}
