package standin

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"primrosedale.example/primrosedale/announce"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/gateway"
	"primrosedale.example/primrosedale/gateway/reply"
)

// targetCounters holds the counters of a target. The fields above mu are guarded by
// Target.mu.
type targetCounters struct {
	acked            uint64 // largest sequence that a host has acknowledged
	runs             map[model.RequestID]int
	refused          map[string]int // by reason
	runningByTeam    map[model.TeamID]int
	maxRunningByTeam map[model.TeamID]int
	maxRunning       int

	mu           sync.Mutex
	announceErr  error
	announceErrs int
}

func newTargetCounters() targetCounters {
	return targetCounters{
		runs:             make(map[model.RequestID]int),
		refused:          make(map[string]int),
		runningByTeam:    make(map[model.TeamID]int),
		maxRunningByTeam: make(map[model.TeamID]int),
	}
}

func (c *targetCounters) announceFailed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announceErr = err
	c.announceErrs++
}

// TargetCounts is a copy of the counts of a target.
type TargetCounts struct {
	Runs             map[model.RequestID]int // runs started, by request
	Refused          map[string]int          // by reason
	MaxRunningByTeam map[model.TeamID]int    // highest number of concurrent runs, by team
	Max              int                     // highest number of concurrent runs
	Running          int
	Acked            uint64
	AnnounceErr      error // the latest error
	AnnounceErrs     int
}

// Counts returns a copy of the target's counts.
func (t *Target) Counts() TargetCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.mu.Lock()
	defer t.counters.mu.Unlock()
	return TargetCounts{
		Runs:             maps.Clone(t.counters.runs),
		Refused:          maps.Clone(t.counters.refused),
		MaxRunningByTeam: maps.Clone(t.counters.maxRunningByTeam),
		Max:              t.counters.maxRunning,
		Running:          len(t.running),
		Acked:            t.counters.acked,
		AnnounceErr:      t.counters.announceErr,
		AnnounceErrs:     t.counters.announceErrs,
	}
}

// serve runs one request or refuses it as not run.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if _, ok := queueOf(r.URL.Path); !ok || r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection is broken
	}
	request := announce.RunningRequest{
		Request: model.RequestID(r.Header.Get(reply.RequestIDHeader)),
		Team:    model.TeamID(r.Header.Get(gateway.TeamHeader)),
	}
	key := runKey{request.Request, r.Header.Get(gateway.AttemptHeader)}
	if reason := t.begin(r.Header, key, request); reason != "" {
		w.Header().Set(gateway.RanHeader, "no")
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	// As on a real target, the run continues when its gateway disconnects.
	ctx, cancel := t.runContext(r.Header)
	defer cancel()
	answer := t.cfg.Work(ctx, body)
	t.end(key, request)
	if t.ctx.Err() != nil {
		panic(http.ErrAbortHandler) // a killed process sends no answer
	}
	writeAnswer(w, answer)
}

func writeAnswer(w http.ResponseWriter, answer model.Answer) {
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	w.Write(answer.Body)
}

// runContext returns a context that ends at the deadline sent by the gateway.
func (t *Target) runContext(header http.Header) (context.Context, context.CancelFunc) {
	seconds, err := strconv.ParseFloat(header.Get(gateway.DeadlineHeader), 64)
	if err != nil {
		return context.WithCancel(t.ctx)
	}
	return context.WithTimeout(t.ctx, time.Duration(seconds*float64(time.Second)))
}

// begin takes a slot, or returns the reason for which the request is refused.
func (t *Target) begin(header http.Header, key runKey, request announce.RunningRequest) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	reason := t.refusal(header, key)
	if reason != "" {
		t.counters.refused[reason]++
		return reason
	}
	t.running[key] = request
	t.counters.runs[request.Request]++
	t.counters.maxRunning = max(t.counters.maxRunning, len(t.running))
	t.counters.runningByTeam[request.Team]++
	t.counters.maxRunningByTeam[request.Team] = max(t.counters.maxRunningByTeam[request.Team], t.counters.runningByTeam[request.Team])
	return ""
}

// Reasons for which a target refuses a request.
const (
	RefusedIncarnation = "other incarnation"
	RefusedTicket      = "old ticket"
	RefusedTerm        = "earlier term"
	RefusedLeaving     = "leaving"
	RefusedSlots       = "no free slot"
	RefusedDuplicate   = "attempt is running"
)

func (t *Target) refusal(header http.Header, key runKey) string {
	if header.Get(gateway.IncarnationHeader) != string(t.incarnation) {
		return RefusedIncarnation
	}
	if !t.ticketIsValid(header.Get(gateway.TicketHeader)) {
		return RefusedTicket
	}
	if t.isEarlierTerm(header.Get(gateway.TermHeader)) {
		return RefusedTerm
	}
	if t.state == message.TargetLeaving {
		return RefusedLeaving
	}
	if len(t.running) >= t.cfg.Slots {
		return RefusedSlots
	}
	if _, ok := t.running[key]; ok {
		return RefusedDuplicate
	}
	return ""
}

// ticketIsValid reports whether the ticket is the sequence of an announcement that this
// target sent at most ticketAge ago by its own clock.
func (t *Target) ticketIsValid(value string) bool {
	if len(t.cfg.Platforms) == 0 {
		return true
	}
	ticket, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return false
	}
	at, ok := t.sent[ticket]
	return ok && time.Since(at) <= ticketAge
}

// isEarlierTerm reports whether a request comes from an owner whose term is before the
// latest one that this target knows.
func (t *Target) isEarlierTerm(value string) bool {
	if t.term == 0 {
		return false
	}
	term, err := strconv.ParseUint(value, 10, 64)
	return err != nil || term < t.term
}

func (t *Target) end(key runKey, request announce.RunningRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, key)
	t.counters.runningByTeam[request.Team]--
	t.closeIfIdle()
}
