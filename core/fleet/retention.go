package fleet

import "primrosedale.example/primrosedale/core/model"

// Retention periods and limits of ended entries. Periods are measured by State.Now.
const (
	ClaimRetention  = 10 * model.Minute // of ended claims
	RecentRetention = 10 * model.Minute // of results
	RecentMax       = 10_000            // results
	TaskRetention   = model.Hour        // of ended tasks
	TaskMax         = 50_000            // ended tasks
)

// maxRemovalsPerCall bounds the removals of each kind in one call, and with it the
// work of one command after a long pause. It is larger than the additions per
// command, so that removal catches up.
const maxRemovalsPerCall = 32

// saveResult stores the result of a command for resends.
func (s *State) saveResult(id model.CommandID, result Result) {
	s.Recent[id] = RecentResult{Result: result, At: s.Now, Index: s.Index}
	s.index.recent.push(id)
}

// removeExpired removes expired results, claims and tasks, and stored answers over
// the size limit, oldest first. The queues are in order of time, because Now never
// decreases.
func (s *State) removeExpired() {
	for range maxRemovalsPerCall {
		if !s.expireResult() {
			break
		}
	}
	for range maxRemovalsPerCall {
		if !s.expireClaim() {
			break
		}
	}
	for range maxRemovalsPerCall {
		if !s.evictAnswer() {
			break
		}
	}
	for range maxRemovalsPerCall {
		if !s.expireTask() {
			break
		}
	}
}

// expireResult removes the oldest result if it has expired or there are too many. It
// reports whether it removed one; so do the functions below.
func (s *State) expireResult() bool {
	queue := &s.index.recent
	id, ok := queue.front()
	if !ok {
		return false
	}
	if queue.len() <= RecentMax && !s.isExpired(s.Recent[id].At, RecentRetention) {
		return false
	}
	delete(s.Recent, id)
	queue.pop()
	return true
}

// expireClaim removes the oldest ended claim if it has expired.
func (s *State) expireClaim() bool {
	queue := &s.index.endedClaims
	id, ok := queue.front()
	if !ok {
		return false
	}
	record := s.Claims[id]
	if !s.isExpired(record.Since, ClaimRetention) {
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

// evictAnswer removes the oldest stored answer if their total size is over the
// limit. The claim stays, so that a resend still learns that its request ran.
func (s *State) evictAnswer() bool {
	if s.index.answerBytes <= MaxTotalAnswerBytes {
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

// expireTask removes the oldest ended task if it has expired or there are too many.
func (s *State) expireTask() bool {
	queue := &s.index.endedTasks
	id, ok := queue.front()
	if !ok {
		return false
	}
	if queue.len() <= TaskMax && !s.isExpired(s.Tasks[id].Ended, TaskRetention) {
		return false
	}
	s.index.phases.add(s.Tasks[id].Phase, -1)
	delete(s.Tasks, id)
	queue.pop()
	return true
}

// isExpired reports whether more than retention has passed since at.
func (s *State) isExpired(at model.Time, retention model.Duration) bool {
	return s.Now.Sub(at) > retention
}
