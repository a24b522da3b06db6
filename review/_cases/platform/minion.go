package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runLog is what a minion has seen of one run.
type runLog struct {
	task   string
	run    int
	minion string
	zone   string
	began  time.Time
	ended  time.Time // zero while it runs
	how    string
	// stopping is set from the order to stop to the end.
	stopping bool
}

// minion is a stand-in for one life of a minion. A spec that is a number is the run time
// of its tasks in milliseconds; other tasks run until they are stopped.
type minion struct {
	s             *system
	id, machine   string
	zone, address string
	labels        []string
	born          time.Time
	server        *http.Server

	mu       sync.Mutex
	state    string
	token    uint64
	deadline int64 // of the lease, by the minion's clock
	running  map[string]*runLog
	highest  map[string]int // highest run that was stopped or has ended here, by task
	ends     []end
	lastEnd  int
	changed  chan struct{}
	seq      int
	beatAt   string // address for the next heartbeat
	beatAck  int
	gone     bool
	done     chan struct{}
}

type end struct {
	number int
	row    []any
	log    *runLog
}

func minionID(n int) string  { return fmt.Sprintf("i-%04d", n) }
func machineID(n int) string { return fmt.Sprintf("m-%04d", n) }

// startMinion starts a minion on an address of its own.
func (s *system) startMinion(n int, zone, address string, labels []string) (*minion, error) {
	return s.startMinionLater(n, zone, address, labels, 0)
}

// startMinionLater starts a minion whose first heartbeat comes some time after it
// listens.
func (s *system) startMinionLater(n int, zone, address string, labels []string, firstBeat time.Duration) (*minion, error) {
	m := &minion{
		s: s, id: minionID(n), machine: machineID(n), zone: zone, labels: labels, born: time.Now(),
		state: "ready", running: map[string]*runLog{}, highest: map[string]int{}, changed: make(chan struct{}), done: make(chan struct{}),
		beatAt: fmt.Sprintf("%s:%d", s.cores[n%len(s.cores)].ip, s.controlPort),
	}
	if address == "" {
		address = s.ip(50+n) + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errNotRun, err)
	}
	m.address = l.Addr().String()
	if g := s.gates[n]; g != nil {
		g.open(m.address)
		m.address = g.address
	}
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(l) }()
	s.mu.Lock()
	s.minions = append(s.minions, m)
	s.mu.Unlock()
	s.logf("minion %s of machine %s in %s starts at %s, born %d", m.id, m.machine, zone, m.address, m.born.UnixMilli())
	go func() {
		time.Sleep(firstBeat)
		m.beat()
	}()
	go m.watchLease()
	return m, nil
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1 }

// report returns what the minion says of itself.
func (m *minion) report() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	r := map[string]any{
		"service": "galley", "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": m.state, "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": 64000, "memMb": 262144, "gpu": 0}, "labels": m.labels, "machine": m.machine,
		"born": m.born.UnixMilli(), "clockMs": m.clock(), "seq": m.seq,
	}
	if m.state == "draining" {
		r["remainingMs"] = 4000
	}
	return r
}

// beat sends a heartbeat every 1.5 s, to the address that the last response named, and
// to the next machine after a failure.
func (m *minion) beat() {
	for next := 0; ; next++ {
		if m.beatOnce() {
			next--
		} else {
			m.setBeatAddress(fmt.Sprintf("%s:%d", m.s.cores[next%len(m.s.cores)].ip, m.s.controlPort))
			select {
			case <-m.done:
				return
			case <-time.After(50 * time.Millisecond):
				continue
			}
		}
		select {
		case <-m.done:
			return
		case <-time.After(beatInterval):
		}
	}
}

func (m *minion) setBeatAddress(a string) { m.mu.Lock(); m.beatAt = a; m.mu.Unlock() }

func (m *minion) beatAddress() string { m.mu.Lock(); defer m.mu.Unlock(); return m.beatAt }

func (m *minion) beatOnce() bool {
	select {
	case <-m.done:
		return true
	default:
	}
	r := m.report()
	status, text := m.s.do("PUT", "http://"+m.beatAddress()+"/v1/instances/"+m.id, callPatience, nil, r)
	if status < 200 || status > 299 {
		return false
	}
	var response struct{ HeartbeatAddr string }
	if json.Unmarshal(text, &response) == nil && response.HeartbeatAddr != "" {
		m.setBeatAddress(response.HeartbeatAddr)
	}
	m.mu.Lock()
	m.beatAck = r["seq"].(int)
	m.mu.Unlock()
	return true
}

// acked reports whether a heartbeat was acknowledged.
func (m *minion) acked() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.beatAck > 0 }

// watchLease ends everything that runs when the lease is over.
func (m *minion) watchLease() {
	for {
		select {
		case <-m.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		m.mu.Lock()
		if len(m.running) > 0 && m.clock() > m.deadline {
			for task := range m.running {
				m.endLocked(task, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// leave ends this life: everything that runs terminates and nothing listens any more.
func (m *minion) leave() {
	m.mu.Lock()
	if m.gone {
		m.mu.Unlock()
		_ = m.server.Close()
		return
	}
	m.gone = true
	for task := range m.running {
		m.endLocked(task, "gone")
	}
	m.mu.Unlock()
	close(m.done)
	_ = m.server.Close()
	m.s.logf("minion %s, born %d, has ended", m.id, m.born.UnixMilli())
}

func (m *minion) close() { m.leave() }

// crash ends this life at once, as a loss of power does. Its address stays silent: a
// gate holds its connections open without a response, and lets none of them see a reset.
func (m *minion) crash() {
	m.mu.Lock()
	m.gone = true
	for task := range m.running {
		m.endLocked(task, "gone")
	}
	m.ends = nil
	m.mu.Unlock()
	close(m.done)
	m.s.logf("minion %s, born %d, has crashed", m.id, m.born.UnixMilli())
}

// call has the fields of all calls.
type call struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	LastSeen     int
	WaitMs       int64
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	if want := r.Header.Get("Target-Instance"); want != "" && want != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer := map[string]any{"born": m.born.UnixMilli()}
	status := http.StatusOK
	m.mu.Lock()
	if c.FencingToken < m.token {
		status, answer["reason"] = http.StatusConflict, "fence"
	} else {
		m.token = c.FencingToken
		switch r.URL.Path {
		case "/v1/run-start":
			if reason := m.startLocked(&c); reason != "" {
				status, answer["reason"] = http.StatusConflict, reason
			}
		case "/v1/run-stop":
			m.highest[c.Task] = max(m.highest[c.Task], c.Run)
			if l := m.running[c.Task]; l != nil && l.run == c.Run && !l.stopping {
				l.stopping = true
				time.AfterFunc(stopTime, func() {
					m.mu.Lock()
					defer m.mu.Unlock()
					if m.running[c.Task] == l {
						m.endLocked(c.Task, "stopped")
					}
				})
			}
		case "/v1/hold":
			m.holdLocked(r, &c, answer)
		case "/v1/pace":
		default:
			status = http.StatusNotFound
		}
	}
	answer["clockMs"] = m.clock()
	m.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// extendLocked extends the lease, which never shortens, by at most holdMax.
func (m *minion) extendLocked(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock()+holdMax.Milliseconds()))
}

func (m *minion) startLocked(c *call) string {
	if l := m.running[c.Task]; l != nil && l.run == c.Run {
		return ""
	}
	if c.DeadlineMs <= m.clock() {
		return "late"
	}
	m.extendLocked(c.DeadlineMs)
	if c.Run <= m.highest[c.Task] || m.running[c.Task] != nil {
		return "old"
	}
	l := &runLog{task: c.Task, run: c.Run, minion: m.id, zone: m.zone, began: time.Now()}
	m.running[c.Task] = l
	m.s.mu.Lock()
	m.s.runs = append(m.s.runs, l)
	m.s.logLocked("minion %s in %s: %s run %d begins, token %d", m.id, m.zone, c.Task, c.Run, c.FencingToken)
	m.s.mu.Unlock()
	if ms, err := strconv.Atoi(c.Spec); err == nil {
		time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.running[c.Task] == l {
				m.endLocked(c.Task, "done")
			}
		})
	}
	return ""
}

func (m *minion) endLocked(task, how string) {
	l := m.running[task]
	delete(m.running, task)
	m.highest[task] = max(m.highest[task], l.run)
	m.lastEnd++
	m.ends = append(m.ends, end{m.lastEnd, []any{m.lastEnd, task, l.run, how, ""}, l})
	close(m.changed)
	m.changed = make(chan struct{})
	m.s.mu.Lock()
	l.ended, l.how = time.Now(), how
	m.s.logLocked("minion %s in %s: %s run %d ends: %s", m.id, m.zone, task, l.run, how)
	m.s.mu.Unlock()
}

func (m *minion) holdLocked(r *http.Request, c *call, answer map[string]any) {
	if c.DeadlineMs > 0 {
		m.extendLocked(c.DeadlineMs)
	}
	for len(m.ends) > 0 && m.ends[0].number <= c.LastSeen {
		m.ends = m.ends[1:]
	}
	if len(m.ends) == 0 && c.WaitMs > 0 {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		m.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, l := range m.running {
		running = append(running, []any{task, l.run, "", 100, 250})
	}
	for _, e := range m.ends {
		ended = append(ended, e.row)
	}
	answer["running"], answer["endedRuns"] = running, ended
}

// runningOn returns the tasks that a minion runs.
func (s *system) runningOn(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, l := range s.runs {
		if l.minion == id && l.ended.IsZero() {
			list = append(list, l.task)
		}
	}
	return list
}

// doubled returns the tasks of which two runs were at work at the same time.
func (s *system) doubled() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for i, a := range s.runs {
		for _, b := range s.runs[i+1:] {
			if a.task != b.task || a == b {
				continue
			}
			first, second := a, b
			if b.began.Before(a.began) {
				first, second = b, a
			}
			if first.ended.IsZero() || first.ended.After(second.began) {
				overlap := "still running"
				if !first.ended.IsZero() {
					overlap = first.ended.Sub(second.began).Round(time.Millisecond).String()
				}
				list = append(list, fmt.Sprintf("%s: run %d on %s and run %d on %s at the same time (%s)",
					a.task, first.run, first.minion, second.run, second.minion, overlap))
			}
		}
	}
	return list
}

// repeated returns the tasks of which two runs were at work at the same time, or of which
// a run began after another one had ended done.
func (s *system) repeated() []string {
	var list []string
	for _, d := range s.doubled() {
		list = append(list, "TWICE: "+d)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.runs {
		for _, b := range s.runs {
			if a.task == b.task && a != b && a.how == "done" && a.ended.Before(b.began) {
				list = append(list, fmt.Sprintf("TWICE: %s: run %d ended done on %s, and run %d began on %s %v later",
					a.task, a.run, a.minion, b.run, b.minion, b.began.Sub(a.ended).Round(time.Millisecond)))
			}
		}
	}
	return list
}
