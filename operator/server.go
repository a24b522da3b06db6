// Package operator implements the HTTP interface for operators and probes: health,
// metrics, status, the burn report, the rules in force, and changes to rules and keys.
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	goji "goji.io"
	"goji.io/pat"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/view"
	"primrosedale.example/primrosedale/gateway/pending"
	"primrosedale.example/primrosedale/gateway/reply"
	"primrosedale.example/primrosedale/logevent"
)

// Control is the control goroutine as the operator interface sees it.
type Control interface {
	// View returns the last published view, never nil.
	View() *view.View
	// Post enqueues an event without blocking. It returns false if the bounded
	// queue is full.
	Post(e event.Event) bool
	// Now reads the process clock.
	Now() model.Time
	// Rand returns a random number.
	Rand() uint64
}

const (
	commandTimeout = 10 * time.Second
	statusTimeout  = 2 * time.Second
)

// Config holds the settings of a Server.
type Config struct {
	// Token is the SHA-256 of the operators' bearer token. If it is empty, requests
	// need no token; the caller must then listen on a loopback address only.
	Token model.Digest
}

// Server handles the requests of operators and probes.
type Server struct {
	cfg      Config
	control  Control
	log      logevent.Logger
	commands pending.Table[model.CommandID, fleet.Result]
	statuses pending.Table[uint64, effect.AnswerStatus]
	queries  *pending.IDSequence
}

// New returns a Server.
func New(cfg Config, c Control, log logevent.Logger) *Server {
	return &Server{cfg: cfg, control: c, log: log, queries: pending.NewIDSequence(c.Rand())}
}

// Handler returns the handler of the operators' listener. Probes and metrics
// need no token.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/livez"), s.livez)
	mux.HandleFunc(pat.Get("/readyz"), s.readyz)
	mux.HandleFunc(pat.Get("/metrics"), s.metrics)
	mux.HandleFunc(pat.Get("/v1/status"), s.authorized(s.showStatus))
	mux.HandleFunc(pat.Get("/v1/report"), s.authorized(s.showReport))
	mux.HandleFunc(pat.Get("/v1/rules"), s.authorized(s.showRules))
	mux.HandleFunc(pat.Post("/v1/rules"), s.authorized(s.applyRules))
	mux.HandleFunc(pat.Post("/v1/keys"), s.authorized(s.grantKey))
	mux.HandleFunc(pat.Delete("/v1/keys/:name"), s.authorized(s.withdrawKey))
	return mux
}

// AnswerCommand delivers the result of a submitted command. It does not block
// and ignores commands that this Server did not submit.
func (s *Server) AnswerCommand(e effect.AnswerCommand) {
	s.commands.Deliver(e.ID, e.Result)
}

// AnswerStatus delivers the answer to a status query. It does not block and
// ignores queries that this Server did not send.
func (s *Server) AnswerStatus(e effect.AnswerStatus) {
	s.statuses.Deliver(e.Query, e)
}

// authorized calls next only for requests that carry the operators' token.
func (s *Server) authorized(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p := s.checkToken(r); p != nil {
			s.writeProblem(w, p)
			return
		}
		next(w, r)
	}
}

func (s *Server) checkToken(r *http.Request) *problem.Problem {
	if s.cfg.Token == "" {
		return nil
	}
	digest, p := reply.BearerDigest(r)
	if p != nil {
		return p
	}
	if digest == "" {
		return problem.New(problem.KeyMissing, "send Authorization: Bearer and the operators' token")
	}
	if subtle.ConstantTimeCompare([]byte(digest), []byte(s.cfg.Token)) != 1 {
		return problem.New(problem.KeyRejected, "the operators' token is wrong")
	}
	return nil
}

func (s *Server) livez(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

// readyz fails while this host is stopping or has no serving lease, so that the
// platform's load balancer routes callers to other hosts.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	v := s.control.View()
	switch {
	case v.Stopping:
		writeText(w, http.StatusServiceUnavailable, "stopping\n")
	case !v.Serving(s.control.Now()):
		writeText(w, http.StatusServiceUnavailable, "no serving lease\n")
	default:
		writeText(w, http.StatusOK, "ok\n")
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	w.Write([]byte(text)) // an error means that the client has disconnected
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	metrics.WritePrometheus(w, true)
}

func (s *Server) showStatus(w http.ResponseWriter, r *http.Request) {
	status, p := s.status(r.Context())
	if p != nil {
		s.writeProblem(w, p)
		return
	}
	reply.JSON(w, http.StatusOK, status)
}

// status asks the control goroutine for the status of the whole system.
func (s *Server) status(ctx context.Context) (*view.Status, *problem.Problem) {
	query := s.queries.Next()
	answer, outcome := s.statuses.Await(ctx, s.control, query, event.StatusRequested{Query: query}, statusTimeout)
	if outcome != pending.Delivered || answer.Status == nil {
		return nil, problem.New(problem.Overloaded, "no status within %s", statusTimeout)
	}
	return answer.Status, nil
}

func (s *Server) writeProblem(w http.ResponseWriter, p *problem.Problem) {
	reply.Problem(w, p, "", s.control.Rand())
}
