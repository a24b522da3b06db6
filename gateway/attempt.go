package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/gateway/reply"
)

// The headers of requests and answers between gateways and targets.
const (
	TeamHeader        = "Primrosedale-Team"
	AttemptHeader     = "Primrosedale-Attempt"
	DeadlineHeader    = "Primrosedale-Deadline" // seconds until the deadline
	IncarnationHeader = "Primrosedale-Target-Incarnation"
	TicketHeader      = "Primrosedale-Ticket"
	// TermHeader is the term of the owner that dispatched the request. A target refuses
	// a term below the largest that it has received, so that requests of an earlier
	// owner cannot start after a new owner has counted the running requests.
	TermHeader = "Primrosedale-Term"
	// RanHeader with the value "no" in an answer says that the target did not
	// run the request.
	RanHeader = "Primrosedale-Ran"
)

// maxDiscardedBody bounds, in bytes, how much of an answer that is not passed on is
// read and discarded so that its connection can be reused.
const maxDiscardedBody = 64 << 10

// runAttempt makes one attempt and posts exactly one event.ForwardEnded for it.
func (s *Server) runAttempt(h *heldRequest, e effect.Forward) {
	remaining := time.Duration(e.Deadline.Sub(s.control.Now()))
	ctx, cancel := context.WithTimeout(s.ctx, remaining)
	defer cancel()
	g := &startGuard{
		mayStart: func() bool { return s.mayStart(e) },
		now:      s.control.Now,
	}
	ended := s.exchange(ctx, h, e, g)
	if first := g.firstWrite.Load(); first != 0 && ended.Outcome != message.OutcomeNotStarted {
		ended.RunTime = s.control.Now().Sub(model.Time(first))
	}
	s.postEnded(ended)
}

// mayStart makes the last check before the first byte is sent.
func (s *Server) mayStart(e effect.Forward) bool {
	now := s.control.Now()
	return now <= e.StartBy && now < e.Deadline && s.control.View().Serving(now)
}

// exchange sends the request and reads the complete answer.
func (s *Server) exchange(ctx context.Context, h *heldRequest, e effect.Forward, g *startGuard) event.ForwardEnded {
	ended := event.ForwardEnded{Request: e.Request, Attempt: e.Attempt}
	response, err := s.transport.RoundTrip(s.newRequest(ctx, h, e, g))
	if err != nil {
		if g.seal() {
			ended.Outcome = message.OutcomeNotStarted
			ended.Untried = errors.Is(err, errNotAllowed)
			return ended
		}
		return unknownOutcome(ctx, ended)
	}
	defer response.Body.Close()
	ended.RetryAfter = parseRetryAfter(response.Header, s.control.Now())
	if response.Header.Get(RanHeader) == "no" {
		io.CopyN(io.Discard, response.Body, maxDiscardedBody)
		ended.Outcome = message.OutcomeNotStarted
		return ended
	}
	return s.readAnswer(ctx, h, e, response, ended)
}

// readAnswer reads the answer to its end. An answer over the limit is read to the end
// and discarded, because only its end shows that the target has finished.
func (s *Server) readAnswer(ctx context.Context, h *heldRequest, e effect.Forward, response *http.Response, ended event.ForwardEnded) event.ForwardEnded {
	if !detectsTruncation(response) {
		return unknownOutcome(ctx, ended)
	}
	body, err := readUpTo(response.Body, s.cfg.MaxAnswer+1, response.ContentLength)
	ended.TooLarge = int64(len(body)) > s.cfg.MaxAnswer
	if err == nil && ended.TooLarge {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		return unknownOutcome(ctx, ended)
	}
	ended.Outcome = message.OutcomeAnswered
	ended.Status = response.StatusCode
	if ended.TooLarge {
		h.setAnswer(e.Attempt, attemptAnswer{tooLarge: true})
		return ended
	}
	answer := &model.Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}
	h.setAnswer(e.Attempt, attemptAnswer{answer: answer})
	if e.Claimed && len(body) <= fleet.MaxAnswerBytes {
		ended.Answer = answer
	}
	return ended
}

// detectsTruncation reports whether truncation of the body would be detected. It is
// not if only the end of the connection marks the end of the body.
func detectsTruncation(response *http.Response) bool {
	if response.StatusCode < http.StatusOK {
		return false
	}
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// readUpTo reads r to its end or up to limit bytes.
func readUpTo(r io.Reader, limit, length int64) ([]byte, error) {
	var buffer bytes.Buffer
	if length > 0 && length < limit {
		buffer.Grow(int(length) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(io.LimitReader(r, limit))
	return buffer.Bytes(), err
}

func unknownOutcome(ctx context.Context, ended event.ForwardEnded) event.ForwardEnded {
	ended.Outcome = message.OutcomeUnknown
	ended.TimedOut = ctx.Err() == context.DeadlineExceeded
	return ended
}

// newRequest builds the request to the target. The deadline header is set once a
// connection is available, so that a slow connect does not postpone the deadline on
// the target.
func (s *Server) newRequest(ctx context.Context, h *heldRequest, e effect.Forward, g *startGuard) *http.Request {
	header := make(http.Header, 10)
	request := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: e.Address, Path: "/run/" + string(h.queue)},
		Host:   e.Address,
		Header: header,
		Body:   http.NoBody,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(h.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(h.body))
		request.ContentLength = int64(len(h.body))
	}
	setIfNotEmpty(header, "Content-Type", h.contentType)
	setIfNotEmpty(header, traceparentHeader, h.traceparent)
	setIfNotEmpty(header, reply.RequestIDHeader, string(h.id))
	setIfNotEmpty(header, TeamHeader, string(h.team))
	setIfNotEmpty(header, IncarnationHeader, string(e.Inc))
	header.Set(AttemptHeader, strconv.Itoa(e.Attempt))
	header.Set(TicketHeader, strconv.FormatUint(e.Ticket, 10))
	header.Set(TermHeader, strconv.FormatUint(e.Term, 10))
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		header.Set(DeadlineHeader, formatSeconds(e.Deadline.Sub(s.control.Now())))
		info.Conn.(*guardedConn).guard.Store(g)
	}}
	return request.WithContext(httptrace.WithClientTrace(ctx, trace))
}

func setIfNotEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

func formatSeconds(d model.Duration) string {
	return strconv.FormatFloat(max(d.Seconds(), 0), 'f', 3, 64)
}
