package fleet

import "primrosedale.example/primrosedale/core/model"

// Retention of what has ended. All periods are measured by State.Now.
const (
	ClaimRetention  = 10 * model.Minute // of ended claims
	RecentRetention = 10 * model.Minute // of results
	RecentMax       = 10_000            // results
	TaskRetention   = model.Hour        // of ended tasks
	TaskMax         = 50_000            // ended tasks
)

// removalsPerPass bounds the work of one command after a long pause. It is
// larger than the additions per command, so that removal catches up.
const removalsPerPass = 32

// remember keeps the result of a command for resends.
func (s *State) remember(id model.CommandID, result Result) {
	s.Recent[id] = RecentResult{Result: result, At: s.Now, Index: s.Index}
	s.index.recent.push(id)
}

// retain removes what is past its retention, oldest first. The queues are in
// order of time, because Now never decreases.
func (s *State) retain() {
	for range removalsPerPass {
		if !s.dropResult() {
			break
		}
	}
	for range removalsPerPass {
		if !s.dropClaim() {
			break
		}
	}
	for range removalsPerPass {
		if !s.dropAnswer() {
			break
		}
	}
	for range removalsPerPass {
		if !s.dropTask() {
			break
		}
	}
}

// dropResult removes the oldest result if it is past its retention.
func (s *State) dropResult() bool {
	queue := &s.index.recent
	id, ok := queue.front()
	if !ok {
		return false
	}
	if queue.len() <= RecentMax && !s.past(s.Recent[id].At, RecentRetention) {
		return false
	}
	delete(s.Recent, id)
	queue.pop()
	return true
}

// dropClaim removes the oldest ended claim if it is past its retention.
func (s *State) dropClaim() bool {
	queue := &s.index.endedClaims
	id, ok := queue.front()
	if !ok {
		return false
	}
	record := s.Claims[id]
	if !s.past(record.Since, ClaimRetention) {
		return false
	}
	s.index.teamClaims.add(record.Team, -1)
	if record.Answer != nil {
		s.index.removeAnswer(record)
	}
	delete(s.Claims, id)
	queue.pop()
	return true
}

// dropAnswer removes the oldest stored answer if they are too large together.
// The claim stays, so that a resend still learns that its request ran.
func (s *State) dropAnswer() bool {
	if s.index.answerBytes <= MaxStoredAnswers {
		return false
	}
	id, ok := s.index.answers.front()
	if !ok {
		return false
	}
	record := *s.Claims[id]
	s.index.removeAnswer(&record)
	record.Answer = nil
	s.Claims[id] = &record
	return true
}

// dropTask removes the oldest ended task if it is past its retention.
func (s *State) dropTask() bool {
	queue := &s.index.endedTasks
	id, ok := queue.front()
	if !ok {
		return false
	}
	if queue.len() <= TaskMax && !s.past(s.Tasks[id].Ended, TaskRetention) {
		return false
	}
	s.index.phases.add(s.Tasks[id].Phase, -1)
	delete(s.Tasks, id)
	queue.pop()
	return true
}

// past reports whether more than keep has passed since at.
func (s *State) past(at model.Time, keep model.Duration) bool {
	return s.Now.Sub(at) > keep
}
