package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"primrosedale.example/primrosedale/logevent"
)

// Limits of waiting for bytes that other requests hold.
const (
	// holdWait is how long a request waits until others give bytes back. It covers
	// stallTime and the closing of a stalled connection.
	holdWait = time.Second
	// holdRetry is the time between two looks for connections that have stalled meanwhile.
	holdRetry = 100 * time.Millisecond
	// maxWaiting bounds the requests that wait, since each look costs time that grows
	// with the number of connections.
	maxWaiting = 32
)

// reason is why a client was refused or its connection was closed.
type reason string

const (
	reasonConnections reason = "connections"  // no connection left for it
	reasonBytes       reason = "bytes"        // no bytes left for its request
	reasonIdle        reason = "shed_idle"    // closed for a newer connection
	reasonSlow        reason = "shed_slow"    // closed for the bytes that it held
	reasonStalled     reason = "stalled"      // its body or its reading stopped
	reasonHeader      reason = "header_lines" // no bytes left for its header lines
)

// Gate applies the decisions of a Ledger to connections and requests. It is safe for
// concurrent use.
type Gate struct {
	log     logevent.Logger
	lines   logevent.RateLimited
	started time.Time

	mu      sync.Mutex
	ledger  *Ledger
	conns   map[ID]*Conn
	freed   chan struct{} // closed and replaced when bytes are given back
	waiting int           // requests that wait for bytes
}

// NewGate returns a Gate with the limits.
func NewGate(l Limits, log logevent.Logger) *Gate {
	return &Gate{log: log, started: time.Now(), ledger: NewLedger(l), conns: make(map[ID]*Conn), freed: make(chan struct{})}
}

func (g *Gate) now() time.Duration { return time.Since(g.started) }

// count records a refusal or a closed connection.
func (g *Gate) count(c Class, why reason) {
	metrics.GetOrCreateCounter(`primrosedale_intake_refused_total{class="` + c.String() + `",reason="` + string(why) + `"}`).Inc()
	g.lines.Emit(g.log, logevent.IntakeRefused, logevent.Str(logevent.NameStatus, c.String()), logevent.Str(logevent.NameReason, string(why)))
}

// open admits a connection, or returns nil if it must be closed.
func (g *Gate) open(raw net.Conn, c Class) *Conn {
	g.mu.Lock()
	id, shed, ok := g.ledger.Open(c, g.now())
	var conn *Conn
	if ok {
		conn = &Conn{Conn: raw, gate: g, id: id, class: c, reading: c != Peers}
		g.conns[id] = conn
	}
	victim := g.conns[shed]
	g.mu.Unlock()
	if victim != nil {
		g.count(c, reasonIdle)
		_ = victim.Close()
	}
	if !ok {
		g.count(c, reasonConnections)
	}
	return conn
}

// closed removes a connection.
func (g *Gate) closed(id ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Close(id)
	delete(g.conns, id)
	g.notify()
}

// notify wakes the requests that wait for bytes. The caller holds g.mu.
func (g *Gate) notify() {
	if g.waiting > 0 {
		close(g.freed)
		g.freed = make(chan struct{})
	}
}

func (g *Gate) setPhase(id ID, p Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetPhase(id, p, g.now())
}

func (g *Gate) progress(id ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Progress(id, g.now())
}

func (g *Gate) release(id ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Release(id)
	g.notify()
}

// tryHold adds bytes to what a connection holds, without waiting. Otherwise it returns a
// channel that is closed when bytes are given back.
func (g *Gate) tryHold(id ID, c Class, n int64) (freed <-chan struct{}, ok bool) {
	g.mu.Lock()
	shed, ok := g.ledger.Hold(id, c, n, g.now())
	var victims []*Conn
	for _, s := range shed {
		victims = append(victims, g.conns[s])
	}
	freed = g.freed
	g.mu.Unlock()
	for _, v := range victims {
		g.count(c, reasonSlow)
		_ = v.Conn.Close() // its handler ends, and then gives back what it holds
	}
	return freed, ok
}

// hold is tryHold, but waits until other requests have given bytes back.
func (g *Gate) hold(ctx context.Context, id ID, c Class, n int64) bool {
	if _, ok := g.tryHold(id, c, n); ok {
		return true
	}
	before, ok := g.startWaiting(id)
	if !ok {
		return false
	}
	defer g.stopWaiting(id, before)
	limit := time.NewTimer(holdWait)
	defer limit.Stop()
	for {
		freed, ok := g.tryHold(id, c, n)
		if ok {
			return true
		}
		retry := time.NewTimer(holdRetry)
		select {
		case <-freed:
		case <-retry.C:
		case <-limit.C:
			return false
		case <-ctx.Done():
			return false
		}
		retry.Stop()
	}
}

// startWaiting marks a connection as waiting for bytes. It does not count as stalled
// meanwhile, because it is the process that does not read.
func (g *Gate) startWaiting(id ID) (before Phase, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting >= maxWaiting {
		return 0, false
	}
	g.waiting++
	return g.ledger.SetPhase(id, Serving, g.now()), true
}

func (g *Gate) stopWaiting(id ID, before Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting--
	g.ledger.SetPhase(id, before, g.now())
}

// Attach sets the hooks and limits of the server that serves on a listener of g, and wraps
// its handler. classOf returns the class that a request counts as.
func (g *Gate) Attach(s *http.Server, classOf func(*http.Request) Class) {
	s.ConnState = func(raw net.Conn, state http.ConnState) {
		if conn := Admitted(raw); conn != nil {
			conn.onState(state)
		}
	}
	s.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, Admitted(raw))
	}
	s.Handler = g.handler(s.Handler, classOf)
}

type connKey struct{}

// Admitted returns the connection of a Gate that raw is or, with TLS, wraps, or nil.
func Admitted(raw net.Conn) *Conn {
	if wrapper, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = wrapper.NetConn()
	}
	c, _ := raw.(*Conn)
	return c
}

// connOf returns the connection of a request, or nil if it is not one of a Gate.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
