// Package gateway serves callers and task submitters over HTTP. It holds each request
// until the owner of its queue has decided on it, forwards it when the owner orders
// so, and returns the complete answer to the caller. The only decision of its own is
// admission, which is based on the published view.
package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	goji "goji.io"
	"goji.io/pat"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/view"
	"primrosedale.example/primrosedale/gateway/pending"
	"primrosedale.example/primrosedale/gateway/reply"
	"primrosedale.example/primrosedale/logevent"
)

// Control is the part of the control goroutine that the gateway uses.
type Control interface {
	// View returns the last published view, never nil.
	View() *view.View
	// Post queues an event without blocking. It reports false if the bounded queue is
	// full.
	Post(e event.Event) bool
	// PostWait queues an event and waits while the queue is full. It reports false if
	// ctx ended first. The control goroutine never calls it.
	PostWait(ctx context.Context, e event.Event) bool
	// Now reads the process clock.
	Now() model.Time
	// Rand returns a random number.
	Rand() uint64
}

// The default limits.
const (
	DefaultMaxBody         = 1 << 20 // bytes of a request body
	DefaultMaxAnswer       = 8 << 20 // bytes of a target's answer
	DefaultMaxHeldRequests = 1024    // requests held at one time
	// DefaultMaxHeldBytes bounds the bodies of held requests. 1024 bodies of
	// 1 MiB would be more memory than an entry host has to spare.
	DefaultMaxHeldBytes = 128 << 20
	// DefaultIdlePerTarget keeps the idle connections of 9 gateways and the 8
	// slots of a target within its 64 connections: 9 * 6 + 8 = 62.
	DefaultIdlePerTarget = 6
)

// Config holds the settings of a Server. A limit of zero stands for its default.
type Config struct {
	Host            model.HostID      // part of request ids
	Incarnation     model.Incarnation // part of request ids; new at each process start
	MaxBody         int64             // bytes
	MaxAnswer       int64             // bytes
	MaxHeldRequests int64             // requests
	MaxHeldBytes    int64             // bytes of the bodies of held requests
	IdlePerTarget   int               // connections
}

func (c Config) withDefaults() Config {
	if c.MaxBody == 0 {
		c.MaxBody = DefaultMaxBody
	}
	if c.MaxAnswer == 0 {
		c.MaxAnswer = DefaultMaxAnswer
	}
	if c.MaxHeldRequests == 0 {
		c.MaxHeldRequests = DefaultMaxHeldRequests
	}
	if c.MaxHeldBytes == 0 {
		c.MaxHeldBytes = DefaultMaxHeldBytes
	}
	if c.IdlePerTarget == 0 {
		c.IdlePerTarget = DefaultIdlePerTarget
	}
	return c
}

// Server holds the requests of this host's callers.
type Server struct {
	cfg       Config
	control   Control
	log       logevent.Logger
	transport *http.Transport

	requests       sync.Map // model.RequestID to *heldRequest
	heldCount      atomic.Int64
	heldBytes      atomic.Int64
	requestCounter atomic.Uint64
	attempts       sync.WaitGroup
	refusals       refusalCounter
	keyRefusalLog  logevent.RateLimited // for refusals without a valid key

	commands pending.Table[model.CommandID, fleet.Result]
	statuses pending.Table[uint64, effect.AnswerStatus]
	queryIDs *pending.IDSequence

	ctx    context.Context // ends when Close is called
	cancel context.CancelFunc
}

// New returns a Server. Close releases its connections.
func New(cfg Config, c Control, log logevent.Logger) *Server {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		cfg:       cfg,
		control:   c,
		log:       log,
		transport: newTransport(cfg.IdlePerTarget),
		queryIDs:  pending.NewIDSequence(c.Rand()),
		ctx:       ctx,
		cancel:    cancel,
	}
}

// Handler returns the handler of the caller's listener.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/queues/:queue/requests"), s.serveRequest)
	mux.HandleFunc(pat.Post("/v1/tasks"), s.submitTask)
	mux.HandleFunc(pat.Get("/v1/tasks/:id"), s.showTask)
	mux.HandleFunc(pat.Delete("/v1/tasks/:id"), s.cancelTask)
	return mux
}

// ClosingResponse returns the response that ends an idle connection of a stopping
// host.
func (s *Server) ClosingResponse() []byte { return reply.ClosingResponse(s.control.Rand()) }

// HeldRequests returns the number of requests held for callers.
func (s *Server) HeldRequests() int64 { return s.heldCount.Load() }

// Forward starts an attempt. The control goroutine calls it; it does not
// block. Every call leads to exactly one event.ForwardEnded.
func (s *Server) Forward(e effect.Forward) {
	found, ok := s.requests.Load(e.Request)
	if !ok {
		s.attempts.Go(func() { s.postEnded(notStarted(e)) })
		return
	}
	h := found.(*heldRequest)
	h.attempts.Add(1)
	s.attempts.Go(func() { s.runAttempt(h, e) })
}

// AnswerRequest answers a held request. The control goroutine calls it; it does not block. A
// request whose caller has disconnected is ignored.
func (s *Server) AnswerRequest(e effect.AnswerRequest) {
	found, ok := s.requests.Load(e.Request)
	if !ok {
		return
	}
	select {
	case found.(*heldRequest).answer <- e:
	default: // answered already
	}
}

// AnswerCommand delivers the result of a submitted command. It does not block, and
// ignores a command for which no handler of this server waits.
func (s *Server) AnswerCommand(e effect.AnswerCommand) {
	s.commands.Deliver(e.ID, e.Result)
}

// AnswerStatus delivers the answer to a status query. It does not block, and ignores a
// query for which no handler of this server waits.
func (s *Server) AnswerStatus(e effect.AnswerStatus) {
	s.statuses.Deliver(e.Query, e)
}

// Close ends the remaining requests, waits for attempts to end, and closes the
// connections to targets. A graceful stop must be complete, and the control goroutine must
// have ended, before it is called.
func (s *Server) Close() {
	s.cancel()
	s.attempts.Wait()
	s.transport.CloseIdleConnections()
}

// nextID returns a request id that is unique over all gateways and restarts.
func (s *Server) nextID() model.RequestID {
	id := make([]byte, 0, 64)
	id = append(id, s.cfg.Host...)
	id = append(id, '-')
	id = append(id, s.cfg.Incarnation...)
	id = append(id, '-')
	id = strconv.AppendUint(id, s.requestCounter.Add(1), 10)
	return model.RequestID(id)
}

func (s *Server) postEnded(e event.ForwardEnded) {
	countAttempt(e)
	if !s.control.PostWait(s.ctx, e) {
		s.log.Emit(logevent.OutcomeNotRecorded, logevent.Request(e.Request),
			logevent.Int(logevent.NameAttempt, int64(e.Attempt)), logevent.Str(logevent.NameStatus, string(e.Outcome)))
	}
}

func notStarted(e effect.Forward) event.ForwardEnded {
	return event.ForwardEnded{Request: e.Request, Attempt: e.Attempt, Outcome: message.OutcomeNotStarted, Untried: true}
}
