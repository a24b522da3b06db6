// Package standin provides stand-ins for the targets, workers and callers outside the
// system. They are used only by tests and the dev command. Their counts are independent
// of the state that the system keeps.
package standin

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"primrosedale.example/primrosedale/announce"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// DefaultInterval is the time between two announcements.
	DefaultInterval = 500 * time.Millisecond
	// announceTimeout exceeds the 2 s within which a host answers.
	announceTimeout = 3 * time.Second
	// retryPause is the delay before an announcement that was not answered is sent to
	// the next host.
	retryPause = 50 * time.Millisecond
	// ticketAge is the maximum age of a ticket that a target accepts.
	ticketAge = 3 * time.Second
)

// Work runs one request and returns the answer. It must return when ctx ends, which is
// at the deadline of the request.
type Work func(ctx context.Context, body []byte) model.Answer

// Echo returns work that answers with the request body after the duration.
func Echo(duration time.Duration) Work {
	return func(ctx context.Context, body []byte) model.Answer {
		if !sleep(ctx, duration) {
			return model.Answer{Status: http.StatusGatewayTimeout}
		}
		return model.Answer{Status: http.StatusOK, ContentType: "application/octet-stream", Body: body}
	}
}

// sleep waits for d. It reports whether d elapsed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// TargetConfig holds the settings of a Target. Zero numbers have defaults.
type TargetConfig struct {
	ID          model.TargetID
	Service     model.ServiceID
	DataCentre  model.DataCentreID
	Host        model.HostID
	Slots       int           // default 8
	Connections int           // default 64
	Interval    time.Duration // between announcements, default 500 ms
	Work        Work          // default Echo(0)
	// Middleware wraps the handler of requests, if set. Tests use it to break
	// connections and answers.
	Middleware func(http.Handler) http.Handler
	// AdvertisedAddress is the IP:port in announcements, if it differs from the one on which
	// the target listens. Tests announce the address of a proxy.
	AdvertisedAddress string
	// Platforms lists the host:port of the platform interfaces, used in turn. If it is
	// empty, the target sends no announcements and accepts every ticket.
	Platforms []string
}

func (c TargetConfig) withDefaults() TargetConfig {
	if c.Slots == 0 {
		c.Slots = 8
	}
	if c.Connections == 0 {
		c.Connections = 64
	}
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.Work == nil {
		c.Work = Echo(0)
	}
	return c
}

// Target is a stand-in for a target instance.
type Target struct {
	cfg         TargetConfig
	incarnation model.Incarnation
	address     string
	server      *http.Server
	announcer   *announcer

	ctx    context.Context // ends when the target stops
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	state    message.TargetState
	seq      uint64
	term     uint64               // largest term in a reply
	sent     map[uint64]time.Time // send times of recent announcements
	running  map[runKey]announce.RunningRequest
	idle     chan struct{} // closed once the target is leaving and runs nothing
	counters targetCounters
}

// runKey identifies one attempt of a request.
type runKey struct {
	request model.RequestID
	attempt string
}

// StartTarget starts a target on a free port of 127.0.0.1.
func StartTarget(cfg TargetConfig) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cfg = cfg.withDefaults()
	t := &Target{
		cfg:         cfg,
		incarnation: model.Incarnation(uuid.NewString()),
		address:     listener.Addr().String(),
		announcer:   newAnnouncer(cfg.Platforms, "/platform/v1/targets/"+string(cfg.ID)),
		ctx:         ctx,
		cancel:      cancel,
		state:       message.TargetReady,
		sent:        make(map[uint64]time.Time),
		running:     make(map[runKey]announce.RunningRequest),
		idle:        make(chan struct{}),
		counters:    newTargetCounters(),
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	if cfg.Middleware != nil {
		t.server.Handler = cfg.Middleware(t.server.Handler)
	}
	t.done.Go(func() { t.server.Serve(listener) })
	if len(cfg.Platforms) > 0 {
		t.done.Go(t.announceLoop)
	}
	return t, nil
}

// Address returns the IP:port of the target.
func (t *Target) Address() string { return t.address }

// Incarnation returns the incarnation of the target.
func (t *Target) Incarnation() model.Incarnation { return t.incarnation }

// Leave announces that the target is leaving, waits until nothing runs and the last
// announcement has been answered, and stops the target. It returns an error if ctx ends
// first; the target is then still leaving.
func (t *Target) Leave(ctx context.Context) error {
	t.mu.Lock()
	if t.state == message.TargetReady {
		t.state = message.TargetLeaving
		t.closeIfIdle()
	}
	t.mu.Unlock()
	if err := t.announceUntilAnswered(ctx); err != nil {
		return err
	}
	// Requests dispatched before the announcement are refused by serve.
	select {
	case <-t.idle:
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "wait for running requests")
	}
	if err := t.announceUntilAnswered(ctx); err != nil {
		return err
	}
	// The answers of runs that have ended may not be completely written yet.
	if err := t.server.Shutdown(ctx); err != nil {
		return errors.Annotate(err, "wait for answers")
	}
	t.Stop()
	return nil
}

// announceUntilAnswered announces the current state until a host has answered.
func (t *Target) announceUntilAnswered(ctx context.Context) error {
	if len(t.cfg.Platforms) == 0 {
		return nil
	}
	for !t.announce(ctx) {
		if !sleep(ctx, t.cfg.Interval) {
			return errors.Annotate(ctx.Err(), "announce leaving")
		}
	}
	return nil
}

// Stop stops the target immediately and aborts its running requests.
func (t *Target) Stop() {
	t.cancel()
	t.server.Close()
	t.done.Wait()
	t.announcer.close()
}

func (t *Target) announceLoop() {
	ticker := time.NewTicker(t.cfg.Interval)
	defer ticker.Stop()
	for {
		known := t.latestTerm()
		answered := t.announce(t.ctx)
		if answered && t.latestTerm() > known {
			continue // a new owner waits for an announcement that names its term
		}
		if !answered && sleep(t.ctx, retryPause) {
			continue // the next host may know the leader
		}
		select {
		case <-ticker.C:
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *Target) latestTerm() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.term
}

// announce sends one announcement and reports whether it was answered.
func (t *Target) announce(ctx context.Context) bool {
	body := t.snapshot()
	var answer announce.Reply
	if err := t.announcer.put(ctx, body, &answer); err != nil {
		t.counters.announceFailed(err)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.acked = max(t.counters.acked, answer.Acked)
	t.term = max(t.term, answer.Term)
	return true
}

// snapshot returns an announcement of the current state. The acknowledged sequence and
// the list of running requests are read at the same moment.
func (t *Target) snapshot() announce.TargetAnnouncement {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	t.sent[t.seq] = time.Now()
	t.dropOldTickets()
	running := make([]announce.RunningRequest, 0, len(t.running))
	for _, r := range t.running {
		running = append(running, r)
	}
	return announce.TargetAnnouncement{
		Address:     cmp.Or(t.cfg.AdvertisedAddress, t.address),
		Service:     t.cfg.Service,
		DataCentre:  t.cfg.DataCentre,
		Host:        t.cfg.Host,
		Slots:       t.cfg.Slots,
		Connections: t.cfg.Connections,
		Incarnation: t.incarnation,
		Sequence:    t.seq,
		Acked:       t.counters.acked,
		Term:        t.term,
		State:       t.state,
		Running:     running,
	}
}

func (t *Target) dropOldTickets() {
	for seq, at := range t.sent {
		if time.Since(at) > ticketAge {
			delete(t.sent, seq)
		}
	}
}

// closeIfIdle closes idle once the target is leaving and runs nothing. The caller holds
// mu.
func (t *Target) closeIfIdle() {
	if t.state != message.TargetLeaving || len(t.running) > 0 {
		return
	}
	select {
	case <-t.idle:
	default:
		close(t.idle)
	}
}

// queueOf returns the queue in the path /run/{queue}.
func queueOf(path string) (string, bool) { return strings.CutPrefix(path, "/run/") }
