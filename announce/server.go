// Package announce serves the announcements of targets and the reports of
// workers over HTTP. It checks their form and passes them to the control
// goroutine.
package announce

import (
	"net/http"
	"time"

	goji "goji.io"
	"goji.io/pat"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/gateway/pending"
	"primrosedale.example/primrosedale/gateway/reply"
	"primrosedale.example/primrosedale/logevent"
)

// Control is the part of the control goroutine that the platform interface uses.
type Control interface {
	// Post queues an event without blocking. It reports false if the bounded queue is
	// full.
	Post(e event.Event) bool
	// Rand returns a random number.
	Rand() uint64
}

const (
	// maxBody bounds an announcement, in bytes: 4096 runs of 250 bytes each.
	maxBody = 1 << 20
	// replyTimeout is the time that the leader has to answer. Targets and workers send
	// an announcement every 500 ms, so that a later reply would be out of date; and
	// while one of them waits for the reply of a lost leader, the next leader receives
	// nothing from it.
	replyTimeout = 500 * time.Millisecond
)

// Server receives announcements.
type Server struct {
	control   Control
	log       logevent.Logger
	reportIDs *pending.IDSequence
	replies   pending.Table[uint64, message.ReportReply]
}

// New returns a Server.
func New(c Control, log logevent.Logger) *Server {
	return &Server{control: c, log: log, reportIDs: pending.NewIDSequence(c.Rand())}
}

// Handler returns the handler of the platform's listener.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Put("/platform/v1/targets/:id"), s.putTarget)
	mux.HandleFunc(pat.Put("/platform/v1/workers/:id"), s.putWorker)
	return mux
}

// AnswerReport delivers the answer to a report. The control goroutine calls
// it; it does not block.
func (s *Server) AnswerReport(e effect.AnswerReport) {
	s.replies.Deliver(e.Reply.Report, e.Reply)
}

func (s *Server) putTarget(w http.ResponseWriter, r *http.Request) {
	var body TargetAnnouncement
	if p := reply.Decode(w, r, maxBody, problem.AnnouncementInvalid, &body); p != nil {
		s.refuse(w, p)
		return
	}
	report, p := body.report(model.TargetID(pat.Param(r, "id")))
	if p != nil {
		s.refuse(w, p)
		return
	}
	report.Report = s.reportIDs.Next()
	s.submit(w, r, report.Report, report.Seq, event.TargetReported{Report: report})
}

func (s *Server) putWorker(w http.ResponseWriter, r *http.Request) {
	var body WorkerAnnouncement
	if p := reply.Decode(w, r, maxBody, problem.AnnouncementInvalid, &body); p != nil {
		s.refuse(w, p)
		return
	}
	report, p := body.report(model.HostID(pat.Param(r, "id")))
	if p != nil {
		s.refuse(w, p)
		return
	}
	report.Report = s.reportIDs.Next()
	s.submit(w, r, report.Report, report.Seq, event.WorkerReported{Report: report})
}

// submit posts the report and writes its reply.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, report, seq uint64, e event.Event) {
	result, outcome := s.replies.Await(r.Context(), s.control, report, e, replyTimeout)
	switch {
	case outcome == pending.QueueFull:
		s.refuse(w, problem.New(problem.Overloaded, ""))
	case outcome == pending.TimedOut:
		s.refuse(w, problem.New(problem.NoLeader, "no reply within %s", replyTimeout))
	case result.Problem != nil:
		s.refuse(w, result.Problem)
	default:
		reply.JSON(w, http.StatusOK, newReply(seq, result))
	}
}

func (s *Server) refuse(w http.ResponseWriter, p *problem.Problem) {
	if p.Kind == problem.AnnouncementInvalid {
		s.log.Emit(logevent.AnnouncementRefused, logevent.Str(logevent.NameReason, p.Detail))
	}
	reply.Problem(w, p, "", s.control.Rand())
}
