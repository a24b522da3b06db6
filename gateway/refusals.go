package gateway

import (
	"net/http"
	"sync"
	"time"

	"goji.io/pat"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/gateway/reply"
	"primrosedale.example/primrosedale/logevent"
)

// refusalReportDelay is the time over which refusals are collected before they are
// reported to the reducer. An overloaded host refuses requests without involving the
// reducer, and an event for each refusal would add to the load.
const refusalReportDelay = time.Second

type refusalKey struct {
	team  model.TeamID
	queue model.QueueID
	pool  model.PoolID
	kind  problem.Kind
}

// refusalCounter counts the requests and tasks that were refused before the reducer saw them.
// Only traffic goroutines take the lock.
type refusalCounter struct {
	mu     sync.Mutex
	counts map[refusalKey]uint64
}

// countRequest counts the refusal of a request if it spends error budget. A request
// without a valid key, or for an unknown queue, belongs to no team and is not counted.
func (c *refusalCounter) countRequest(s *Server, r *http.Request, kind problem.Kind) {
	if burn.CauseOfProblem(kind) == burn.NotCounted {
		return
	}
	queue := model.QueueID(pat.Param(r, "queue"))
	digest, p := reply.BearerDigest(r)
	if p != nil {
		return
	}
	team, p := teamOfQueue(s.control.View(), queue, digest)
	if p != nil {
		return
	}
	c.add(s, refusalKey{team: team, queue: queue, kind: kind})
}

// countTask counts a refused submission. A kind of problem that leaves open whether
// the task was submitted is not counted, because the task itself is counted when it
// ends.
func (c *refusalCounter) countTask(s *Server, r *http.Request, pool model.PoolID, kind problem.Kind) {
	if burn.CauseOfProblem(kind) != burn.Refused {
		return
	}
	digest, p := reply.BearerDigest(r)
	if p != nil {
		return
	}
	if team, p := teamOfKey(s.control.View(), digest); p == nil {
		c.add(s, refusalKey{team: team, pool: pool, kind: kind})
	}
}

func (c *refusalCounter) add(s *Server, key refusalKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.counts) == 0 {
		c.counts = make(map[refusalKey]uint64)
		time.AfterFunc(refusalReportDelay, func() { c.post(s) })
	}
	c.counts[key]++
}

// post reports the collected counts to the reducer.
func (c *refusalCounter) post(s *Server) {
	c.mu.Lock()
	counts := c.counts
	c.counts = nil
	c.mu.Unlock()
	var e event.RequestsRefused
	for key, n := range counts {
		e.Refusals = append(e.Refusals, event.Refusal{Team: key.team, Queue: key.queue, Pool: key.pool, Kind: key.kind, Count: n})
	}
	if !s.control.PostWait(s.ctx, e) {
		s.log.Emit(logevent.RefusalsNotCounted, logevent.Int(logevent.NameCount, int64(len(e.Refusals))))
	}
}
