package proof

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/gateway"
)

// fault is what a faulty target does with a request.
type fault int

const (
	faultNone       fault = iota
	resetBeforeBody       // the body is not read, nothing runs
	resetInBody           // half of the body is read, nothing runs
	resetAfterRun         // the request ran, no byte of the answer is sent
	resetInAnswer         // half of the answer, then a reset
	closeInAnswer         // half of the answer, then an orderly close
	answerLate            // the whole answer after the gateway gave up
	answerSlow            // a delay of its own, so that answers cross
	refuseNotRun          // an answer that says that nothing ran
	failWithRetry         // status 503 with Retry-After after the run
	faultKinds
)

var faultNames = []string{
	"none", "reset before the body", "reset in the body", "reset after the run", "reset in the answer",
	"answer cut by a close", "answer late", "answer crossed", "refused as not run", "status 503 after the run",
}

const (
	// faultEvery is the share of requests that meet a fault. Fewer would leave
	// faults without effect, more would pause every target.
	faultEvery = 10
	// lateAfter is over the longest run time of the queue brief, 1 s.
	lateAfter     = 1500 * time.Millisecond
	faultyTargets = 6
	slowStep      = 20 * time.Millisecond
)

// faults gives each request of all targets its fault, in turn.
type faults struct {
	mu       sync.Mutex
	off      bool
	requests int
	injected [faultKinds]int
}

func (f *faults) next() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	if f.off || f.requests%faultEvery != 0 {
		return faultNone
	}
	kind := 1 + fault(f.requests/faultEvery)%(faultKinds-1)
	f.injected[kind]++
	return kind
}

func (f *faults) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.off = true
}

func (f *faults) total() (n int, byName map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	byName = map[string]int{}
	for kind, count := range f.injected {
		if count > 0 {
			byName[faultNames[kind]] = count
			n += count
		}
	}
	return n, byName
}

// middleware breaks the connections and answers of a target.
func (f *faults) middleware(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch kind := f.next(); kind {
		case faultNone:
			inner.ServeHTTP(w, r)
		case resetBeforeBody:
			closeConnection(w, true)
		case resetInBody:
			io.CopyN(io.Discard, r.Body, r.ContentLength/2)
			closeConnection(w, true)
		case refuseNotRun:
			io.Copy(io.Discard, r.Body)
			w.Header().Set(gateway.RanHeader, "no")
			http.Error(w, "not run", http.StatusServiceUnavailable)
		default:
			recorder := httptest.NewRecorder()
			inner.ServeHTTP(recorder, r)
			breakAnswer(w, r, recorder, kind)
		}
	})
}

// breakAnswer passes on the answer of a run in a faulty way.
func breakAnswer(w http.ResponseWriter, r *http.Request, recorded *httptest.ResponseRecorder, kind fault) {
	switch kind {
	case resetAfterRun:
		closeConnection(w, true)
		return
	case answerLate:
		select {
		case <-r.Context().Done(): // the gateway gave up; the answer is sent all the same
		case <-time.After(lateAfter):
		}
	case answerSlow:
		time.Sleep(time.Duration(r.ContentLength%8) * slowStep)
	case failWithRetry:
		w.Header().Set("Retry-After", "1")
		recorded.Code = http.StatusServiceUnavailable
	}
	content := recorded.Body.Bytes()
	for name, values := range recorded.Header() {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(recorded.Code)
	if kind != resetInAnswer && kind != closeInAnswer {
		w.Write(content)
		return
	}
	w.Write(content[:len(content)/2])
	http.NewResponseController(w).Flush()
	closeConnection(w, kind == resetInAnswer)
}

// hangUp closes the connection, with a reset or in order.
func closeConnection(w http.ResponseWriter, reset bool) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok && reset {
		tcp.SetLinger(0)
	}
	c.Close()
}

// briefQueue is a queue whose run time ends before a late answer.
const briefQueue = `queue.brief = { service = "render", max_run_s = 1 }`

// faulty returns requests of every team with bodies of up to 100 kB, so that
// bodies and answers take several packets.
func largeRequest(i int) request {
	queue := "proofs"
	if i%2 == 1 {
		queue = "brief"
	}
	return request{
		key: newKey(), team: teams[i%len(teams)], queue: queue,
		nonIdempotent: i%4 < 2, size: i * 997 % 100_000,
	}
}

// callAll sends requests at a rate through all hosts and waits for all answers.
func (s *system) callAll(count, rate int, next func(int) request) []answer {
	answers := make([]answer, count)
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() { answers[i] = s.call(context.Background(), i%len(s.hosts), next(i)) })
		<-ticker.C
	}
	all.Wait()
	return answers
}

// Guards against answers that are cut, late or of another request, and against
// refusals that say "not run" of a request that ran, when targets break
// connections at any moment. Connections to the targets are used again.
func TestTruthOfAnswers(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	obs, f := newObservations(), &faults{}
	s.prepare(0, nil)
	for i := range faultyTargets {
		s.addFaultyTarget(fmt.Sprintf("faulty-%d", i+1), centres[i%len(centres)], obs.unique(constantTime(10*time.Millisecond)), f.middleware)
	}
	eventually(t, startLimit, "all targets are ready", func() bool { return s.readyTargets(s.leader()) == faultyTargets })
	change := s.file(2, briefQueue)
	s.applyEverywhere(change)
	const requests, rate = 1000, 80
	answers := s.callAll(requests, rate, largeRequest)
	obs.waitIdle(t)
	var p answerTally
	p.faults, _ = f.total()
	var list []request
	for _, a := range answers {
		p.count(s, obs, a, false)
		list = append(list, a.request)
		if a.ran == problem.RanYes {
			runs, _ := s.ledger.counts()
			require.Positive(t, runs[a.key], "ran=yes of a request that did not run: %v", a)
		}
	}
	p.countTwice(s, list)
	_, byName := f.total()
	t.Logf("faults by kind %v", byName)
	p.check(t)
	s.checkLimits()
	require.Len(t, byName, int(faultKinds)-1, "each kind of fault was injected")
	// The targets answer again: nothing is left of the faults.
	f.stop()
	eventually(t, startLimit, "a request is answered after the faults", func() bool {
		return s.call(context.Background(), 0, largeRequest(0)).answered
	})
}
