// Package reply reads JSON bodies and writes JSON answers and refusals for the
// HTTP interfaces.
package reply

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// RequestIDHeader carries the request id in answers and to targets.
const RequestIDHeader = "Primrosedale-Request-Id"

// problemBody is a refusal as application/problem+json.
type problemBody struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail,omitempty"`
	Kind      problem.Kind    `json:"kind"`
	Ran       problem.Ran     `json:"ran"`
	RequestID model.RequestID `json:"request_id,omitempty"`
}

// Problem writes the refusal p. random spreads the Retry-After of retryable
// kinds. The request id may be empty.
func Problem(w http.ResponseWriter, p *problem.Problem, id model.RequestID, random uint64) {
	row := problem.Lookup(p.Kind)
	header := w.Header()
	if row.Retryable {
		if p.RetryExact {
			random = 0
		}
		header.Set("Retry-After", strconv.FormatInt(RetryAfter(p.RetryAfter, random), 10))
	}
	if row.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	body, err := encodeProblem(p, row, id)
	if err != nil {
		http.Error(w, row.Title, row.Status)
		return
	}
	write(w, row.Status, problemType, body)
}

// problemType is the media type of a refusal.
const problemType = "application/problem+json"

func encodeProblem(p *problem.Problem, row problem.Row, id model.RequestID) ([]byte, error) {
	return json.Marshal(problemBody{
		Type:      "urn:primrosedale:problem:" + string(p.Kind),
		Title:     row.Title,
		Status:    row.Status,
		Detail:    p.Detail,
		Kind:      p.Kind,
		Ran:       row.Ran,
		RequestID: id,
	})
}

// ClosingResponse returns the complete HTTP/1.1 response that ends a connection on
// which no request was read.
func ClosingResponse(random uint64) []byte {
	row := problem.Lookup(problem.ConnectionClosing)
	body, err := encodeProblem(problem.New(problem.ConnectionClosing, ""), row, "")
	if err != nil {
		return nil // the connection then ends without an answer
	}
	answer := http.Response{
		StatusCode: row.Status, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
		Header: http.Header{
			"Content-Type": {problemType},
			"Retry-After":  {strconv.FormatInt(RetryAfter(0, random), 10)},
		},
	}
	var out bytes.Buffer
	if err := answer.Write(&out); err != nil {
		return nil
	}
	return out.Bytes()
}

// RetryAfter returns a delay in whole seconds, at least 1: wanted, rounded up, plus a
// random delay of at most half of it plus one second, so that refused callers do not
// all retry at the same time.
func RetryAfter(wanted model.Duration, random uint64) int64 {
	base := int64((wanted + model.Second - 1) / model.Second)
	if base < 1 {
		base = 1
	}
	spread := uint64(base/2 + 2)
	return base + int64(random%spread)
}

// JSON writes v with the status.
func JSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		Problem(w, problem.New(problem.Internal, "encode answer: %v", err), "", 0)
		return
	}
	write(w, status, "application/json", body)
}

func write(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body) // an error means that the client has disconnected
}

// Decode reads the whole body of r, at most limit bytes, as one JSON value
// without unknown fields. A failure is BodyTooLarge, BodyStalled or of the given kind.
func Decode(w http.ResponseWriter, r *http.Request, limit int64, kind problem.Kind, v any) *problem.Problem {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close") // the body is not read
		return problem.New(problem.BodyTooLarge, "the body has %d bytes, at most %d are allowed", r.ContentLength, limit)
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return decodeProblem(err, kind, limit)
	}
	if _, err := decoder.Token(); err != io.EOF {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return problem.New(problem.BodyStalled, "")
		}
		return problem.New(kind, "the body must hold one JSON value and nothing after it")
	}
	return nil
}

func decodeProblem(err error, kind problem.Kind, limit int64) *problem.Problem {
	if _, ok := err.(*http.MaxBytesError); ok {
		return problem.New(problem.BodyTooLarge, "the body has more than %d bytes", limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return problem.New(problem.BodyStalled, "")
	}
	if err == io.EOF {
		return problem.New(kind, "the body is empty, a JSON object is expected")
	}
	return problem.New(kind, "%s", strings.TrimPrefix(err.Error(), "json: "))
}

// IsIdentifier reports whether s is non-empty printable ASCII without spaces,
// of at most 200 bytes.
func IsIdentifier(s string) bool {
	const maxLength = 200
	if s == "" || len(s) > maxLength {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
