package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// minion is a stand-in for a minion, which behaves as the pages say.
type minion struct {
	s                          *system
	id, machine, service, zone string
	rack, address              string
	capacity                   map[string]any
	born                       time.Time
	server                     *http.Server

	mu               sync.Mutex
	cut              bool // from all machines of the system; it runs on
	cutOver          chan struct{}
	gone             bool // lost for good
	grey             bool // fails all that it starts
	shed             bool // unhealthy: answers orders to start with 503
	token            uint64
	deadline         int64 // of the lease, by its clock
	lapsed           bool
	running          map[string]*run
	highest          map[string]int // highest run stopped or ended, by task
	ends             []ending
	lastEnd          int
	changed          chan struct{}
	seq              int
	heartbeatAddress string
}

// run is a run of a task.
type run struct {
	task    string
	number  int
	spec    map[string]string
	minion  *minion
	began   time.Time
	endedAt time.Time
	how     string
	endsAt  time.Time // zero while it has no end of its own
	endsHow string
	gang    *gang
}

type ending struct {
	number int
	run    *run
}

// gang is one run of a gang over several minions.
type gang struct {
	size    int
	members []*run
	first   time.Time
	atWork  bool
	over    bool
}

// history of all runs, for the judgement.
type history struct {
	mu   sync.Mutex
	runs []*run
}

var seen history

func (s *system) addMinion(i int) *minion {
	m := &minion{
		s: s, id: fmt.Sprintf("i-%04x", 0x7f00+i), machine: fmt.Sprintf("m-%04x", 0x0a30+i), service: "render",
		zone: zones[i%len(zones)], rack: fmt.Sprintf("r1-%d", i/4), born: time.Now(),
		capacity: map[string]any{"cpu": 16000, "memMb": 65536, "gpu": 0},
		running:  make(map[string]*run), highest: make(map[string]int), changed: make(chan struct{}), cutOver: make(chan struct{}),
	}
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", s.network, 50+i))
	if err != nil {
		s.fail("%v", err)
	}
	m.address = l.Addr().String()
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(l) }()
	s.mu.Lock()
	s.minions = append(s.minions, m)
	s.mu.Unlock()
	go m.sendHeartbeats(i)
	go func() {
		for !m.isDown() {
			time.Sleep(5 * time.Millisecond)
			m.s.settle()
		}
	}()
	return m
}

func (m *minion) isDown() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.gone }

// setCut cuts the minion off from all machines of the system, or ends that.
func (m *minion) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.s.note("%s is cut off: %t", m.id, cut)
	m.cut = cut
	if !cut {
		close(m.cutOver)
		m.cutOver = make(chan struct{})
	}
}

// setGrey lets the minion fail all that it starts, or ends that.
func (m *minion) setGrey(grey bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.s.note("%s fails all that it starts: %t", m.id, grey)
	m.grey = grey
}

// lose ends the minion for good.
func (m *minion) lose() {
	m.mu.Lock()
	m.gone = true
	m.s.note("%s is lost for good", m.id)
	m.mu.Unlock()
	_ = m.server.Close()
	worldMu.Lock()
	defer worldMu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.running {
		m.finish(r, time.Now(), "crash")
	}
}

func (m *minion) clock() int64 { return 1 + time.Since(m.born).Milliseconds() }

// sendHeartbeats announces the minion to the machines that serve control.
func (m *minion) sendHeartbeats(next int) {
	for !m.isDown() {
		m.mu.Lock()
		cut, address := m.cut, m.heartbeatAddress
		m.seq++
		body := map[string]any{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": m.capacity, "labels": []string{"a", m.rack}, "machine": m.machine, "born": m.born.UnixMilli(),
			"clockMs": m.clock(), "seq": m.seq,
		}
		m.mu.Unlock()
		if cut {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if address == "" {
			address = fmt.Sprintf("%s:%d", m.s.replicas()[next%len(m.s.replicas())].ip, m.s.control())
		}
		status, text := m.s.call("PUT", "http://"+address+"/v1/instances/"+m.id, body, time.Second)
		if status != 200 {
			next++
			m.mu.Lock()
			m.heartbeatAddress = ""
			m.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var answer struct{ HeartbeatAddr string }
		_ = json.Unmarshal(text, &answer)
		m.mu.Lock()
		if answer.HeartbeatAddr != "" {
			m.heartbeatAddress = answer.HeartbeatAddr
		}
		m.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
	}
}

// worldMu guards all gangs and the ends of all runs. It is locked before a minion's mu.
var worldMu sync.Mutex

// settle makes everything happen that is due.
func (s *system) settle() {
	worldMu.Lock()
	defer worldMu.Unlock()
	now := time.Now()
	for _, m := range s.allMinions() {
		m.mu.Lock()
		if !m.gone && m.deadline > 0 && !m.lapsed && m.clock() > m.deadline {
			m.lapsed = true
			for _, r := range sorted(m.running) {
				m.finish(r, now, "lapsed")
			}
		}
		for _, r := range sorted(m.running) {
			if !r.endsAt.IsZero() && !now.Before(r.endsAt) {
				m.finish(r, now, r.endsHow)
			}
		}
		m.mu.Unlock()
	}
	for _, g := range s.gangs {
		s.settleGang(g, now)
	}
}

// settleGang handles the effect of the end of one member on the others. One end as done
// comes with that of all; any other end breaks the run of the others.
func (s *system) settleGang(g *gang, now time.Time) {
	if g.over {
		return
	}
	if g.atWork || len(g.members) == g.size {
		if !g.atWork {
			g.atWork = true
			for _, r := range g.members {
				r.minion.mu.Lock()
				r.work(now)
				r.minion.mu.Unlock()
			}
		}
	} else if now.Sub(g.first) > gangTimeout {
		g.over = true
		s.endMembers(g, now, "alone")
		return
	}
	for _, r := range g.members {
		r.minion.mu.Lock()
		how := r.how
		r.minion.mu.Unlock()
		if how != "" {
			g.over = true
			other := "broken"
			if how == "done" {
				other = "done"
			}
			s.endMembers(g, now, other)
			return
		}
	}
}

func (s *system) endMembers(g *gang, now time.Time, how string) {
	for _, r := range g.members {
		r.minion.mu.Lock()
		if r.how == "" {
			r.minion.finish(r, now, how)
		}
		r.minion.mu.Unlock()
	}
}

// work lets a run begin its work. The caller holds the minion's mu.
func (r *run) work(now time.Time) {
	if ms, err := strconv.Atoi(r.spec["ms"]); err == nil {
		r.endsAt, r.endsHow = now.Add(time.Duration(ms)*time.Millisecond), "done"
	}
	if ms, err := strconv.Atoi(r.spec["fail"]); err == nil {
		r.endsAt, r.endsHow = now.Add(time.Duration(ms)*time.Millisecond), "failed"
	}
	if r.minion.grey {
		r.endsAt, r.endsHow = now.Add(50*time.Millisecond), "failed"
	}
}

// finish ends a run. The caller holds the minion's mu.
func (m *minion) finish(r *run, now time.Time, how string) {
	r.how, r.endedAt = how, now
	delete(m.running, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.s.note("%s: %s run %d ends: %s", m.id, r.task, r.number, how)
	if how == "crash" {
		return
	}
	m.lastEnd++
	m.ends = append(m.ends, ending{m.lastEnd, r})
	close(m.changed)
	m.changed = make(chan struct{})
}

func sorted(runs map[string]*run) []*run {
	list := make([]*run, 0, len(runs))
	for _, r := range runs {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].task < list[j].task })
	return list
}

type order struct {
	Task           string
	Run            int
	Spec           string
	DeadlineMs     int64
	FencingToken   uint64
	LastCheckpoint string
	LastSeen       int
	WaitMs         int64
	Ticket         string
}

// waitOutCut blocks while the minion is cut off. It reports whether it was.
func (m *minion) waitOutCut(r *http.Request) bool {
	m.mu.Lock()
	cut, over := m.cut, m.cutOver
	m.mu.Unlock()
	if cut {
		select {
		case <-over:
		case <-r.Context().Done():
		}
	}
	return cut
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if m.waitOutCut(r) {
		panic(http.ErrAbortHandler) // nothing of it arrived
	}
	if r.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	if want := r.Header.Get("Target-Instance"); want != "" && want != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.s.settle()
	status, answer := m.execute(r.URL.Path, &o)
	if r.URL.Path == "/v1/hold" && status == 200 {
		m.await(r, time.Duration(o.WaitMs)*time.Millisecond)
		m.lists(answer)
	}
	if m.waitOutCut(r) {
		panic(http.ErrAbortHandler) // the answer is lost
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// await waits for an end.
func (m *minion) await(r *http.Request, wait time.Duration) {
	m.mu.Lock()
	changed, listed := m.changed, len(m.ends)
	m.mu.Unlock()
	if listed > 0 || wait <= 0 {
		return
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-r.Context().Done():
	}
}

func (m *minion) lists(answer map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, r := range sorted(m.running) {
		running = append(running, []any{r.task, r.number, "", 100, 1000})
	}
	for _, e := range m.ends[:min(len(m.ends), 500)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.run.how, ""})
	}
	answer["running"], answer["endedRuns"], answer["clockMs"], answer["born"] = running, ended, m.clock(), m.born.UnixMilli()
}

func (m *minion) extend(deadline int64) {
	if deadline = min(deadline, m.clock()+holdMax.Milliseconds()); deadline > m.deadline {
		m.deadline, m.lapsed = deadline, false
	}
}

func (m *minion) execute(path string, o *order) (int, map[string]any) {
	worldMu.Lock()
	defer worldMu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := map[string]any{"clockMs": m.clock()}
	refuse := func(reason string) (int, map[string]any) {
		answer["reason"] = reason
		m.s.note("%s: refuses %s %s run %d: %s", m.id, path, o.Task, o.Run, reason)
		return http.StatusConflict, answer
	}
	if o.FencingToken < m.token {
		return refuse("fence")
	}
	m.token = o.FencingToken
	switch path {
	case "/v1/run-start":
		if m.shed {
			return http.StatusServiceUnavailable, map[string]any{}
		}
		if reason := m.startRun(o); reason != "" {
			return refuse(reason)
		}
	case "/v1/run-stop":
		m.highest[o.Task] = max(m.highest[o.Task], o.Run)
		if r := m.running[o.Task]; r != nil && r.number == o.Run {
			m.s.note("%s: %s run %d is to stop", m.id, o.Task, o.Run)
			r.endsAt, r.endsHow = time.Now().Add(20*time.Millisecond), "stopped"
		}
	case "/v1/hold":
		if o.DeadlineMs > 0 {
			m.extend(o.DeadlineMs)
		}
		for len(m.ends) > 0 && m.ends[0].number <= o.LastSeen {
			m.s.note("%s: the end of %s run %d (%s) is taken note of", m.id, m.ends[0].run.task, m.ends[0].run.number, m.ends[0].run.how)
			m.ends = m.ends[1:]
		}
	case "/v1/pace":
	default:
		return http.StatusNotFound, answer
	}
	return http.StatusOK, answer
}

// startRun starts a run, or returns why not.
func (m *minion) startRun(o *order) string {
	if r := m.running[o.Task]; r != nil && r.number == o.Run {
		m.extend(o.DeadlineMs)
		return ""
	}
	if o.DeadlineMs <= m.clock() {
		return "late"
	}
	m.extend(o.DeadlineMs)
	if m.running[o.Task] != nil || o.Run <= m.highest[o.Task] {
		return "old"
	}
	if m.s.advice != nil && !m.s.advice.valid(m.id, o.Ticket) {
		return "ticket"
	}
	now := time.Now()
	r := &run{task: o.Task, number: o.Run, minion: m, began: now, spec: parseSpec(o.Spec)}
	m.running[o.Task] = r
	seen.mu.Lock()
	seen.runs = append(seen.runs, r)
	seen.mu.Unlock()
	m.s.note("%s: %s run %d starts", m.id, o.Task, o.Run)
	if size, err := strconv.Atoi(r.spec["gang"]); err == nil {
		name := fmt.Sprintf("%s run %d", o.Task[:strings.LastIndexByte(o.Task, '.')], o.Run)
		g := m.s.gangs[name]
		if g == nil {
			g = &gang{size: size, first: now}
			m.s.gangs[name] = g
		}
		r.gang = g
		g.members = append(g.members, r)
	} else {
		r.work(now)
	}
	return ""
}

// parseSpec reads a specification such as "ms=500;gang=2".
func parseSpec(text string) map[string]string {
	spec := make(map[string]string)
	for _, part := range strings.Split(text, ";") {
		name, value, _ := strings.Cut(part, "=")
		spec[name] = value
	}
	return spec
}

// runsOf returns the runs of the tasks whose names begin so, in the order of their starts.
func runsOf(prefix string) (list []*run) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for _, r := range seen.runs {
		if strings.HasPrefix(r.task, prefix) {
			list = append(list, r)
		}
	}
	return list
}

// outcome returns how a run has ended, empty while it runs.
func (r *run) outcome() (string, time.Time) {
	r.minion.mu.Lock()
	defer r.minion.mu.Unlock()
	return r.how, r.endedAt
}

// overlapping returns two runs of one task that were running at the same time.
func overlapping(prefix string) (a, b *run) {
	list := runsOf(prefix)
	for i, first := range list {
		how, at := first.outcome()
		for _, second := range list[i+1:] {
			if second.task == first.task && (how == "" || second.began.Before(at)) {
				return first, second
			}
		}
	}
	return nil, nil
}
