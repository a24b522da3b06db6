package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// freezeTime is how long a core machine stands still.
const freezeTime = 3500 * time.Millisecond

// playEvacuation: a core machine stands still while the operator withdraws an
// evacuation and asks for it again. When it wakes, it passes on the old withdrawal.
func playEvacuation(s *system, trouble bool) ([]string, error) {
	if _, err := startWithMinions(s, 6); err != nil {
		return nil, err
	}
	const zone = "east"
	if _, err := s.order(0, "POST", "/v1/evacuation/"+zone, nil); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	const frozen = 4
	thawAt := time.Now().Add(freezeTime)
	if trouble {
		s.signal(s.cores[frozen], syscall.SIGSTOP)
	}
	if _, err := s.order(frozen, "DELETE", "/v1/evacuation/"+zone, nil); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	if _, err := s.order(0, "POST", "/v1/evacuation/"+zone, nil); err != nil {
		return nil, err
	}
	acked := time.Now()
	if !time.Now().Before(thawAt) {
		return nil, fmt.Errorf("%w: the order was acknowledged too late", errNotRun)
	}
	time.Sleep(time.Until(thawAt))
	if trouble {
		s.signal(s.cores[frozen], syscall.SIGCONT)
	}
	time.Sleep(max(contactTime, evacuateTime) + 3*time.Second) // all machines are in touch again
	if err := submitLasting(s, "00000000000000e1", 6); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	var broken []string
	for _, l := range s.runs {
		if l.zone == zone && l.began.Sub(acked) > evacuateTime {
			broken = append(broken, fmt.Sprintf("EVAC: %s run %d begins on %s in %s, %v after the evacuation was acknowledged, and it was not taken back",
				l.task, l.run, l.minion, l.zone, l.began.Sub(acked).Round(time.Millisecond)))
		}
	}
	return broken, nil
}

// playLeave: a core machine stands still while a minion leaves through it and starts
// again under its id. When the machine wakes, it passes on the old DELETE.
func playLeave(s *system, trouble bool) ([]string, error) {
	if _, err := startWithMinions(s, 5); err != nil {
		return nil, err
	}
	old, err := s.startMinion(7, zones[0], "", []string{"b", "r-west"})
	if err != nil {
		return nil, err
	}
	s.cloud.add(7, old.zone, old.labels)
	const job = "00000000000000e2"
	if err := submitTask(s, job, map[string]any{"longRunning": true, "requires": "b", "count": 1}); err != nil {
		return nil, err
	}
	if !waitFor(10*time.Second, func() bool { return len(s.runningOn(old.id)) == 1 }) {
		return nil, fmt.Errorf("%w: the task does not run", errNotRun)
	}
	time.Sleep(2 * time.Second)
	// It says that it drains, and goes on for drainMs after the acknowledgement.
	old.mu.Lock()
	old.state = "draining"
	old.mu.Unlock()
	if !waitFor(4*time.Second, old.beatOnce) {
		return nil, fmt.Errorf("%w: the drain is not acknowledged", errNotRun)
	}
	s.logf("minion %s says that it drains, acknowledged", old.id)
	time.Sleep(2500 * time.Millisecond)
	// It sends DELETE to the address of its heartbeats, and to the next machine if there
	// is no response.
	first := 0
	for i, p := range s.cores {
		if old.beatAddress() == fmt.Sprintf("%s:%d", p.ip, s.controlPort) {
			first = i
		}
	}
	thawAt := time.Now().Add(freezeTime)
	if trouble {
		s.signal(s.cores[first], syscall.SIGSTOP)
	}
	body := map[string]any{"born": old.born.UnixMilli()}
	for try := range 5 {
		p := s.cores[(first+try)%len(s.cores)]
		status, _ := s.do("DELETE", s.controlURL(p)+"/v1/instances/"+old.id, callPatience, nil, body)
		s.logf("minion %s: DELETE to %s: %d", old.id, p.name, status)
		if status >= 200 && status < 300 {
			break
		}
	}
	old.leave()
	time.Sleep(200 * time.Millisecond)
	// It starts again under its id, as after a restart of its machine.
	next, err := s.startMinion(7, old.zone, "", old.labels)
	if err != nil {
		return nil, err
	}
	next.setBeatAddress(fmt.Sprintf("%s:%d", s.cores[(first+2)%len(s.cores)].ip, s.controlPort))
	if !waitFor(2*time.Second, func() bool { return len(s.runningOn(next.id)) == 1 }) {
		return nil, fmt.Errorf("%w: the new life gets no task before the machine wakes", errNotRun)
	}
	// Another minion of this kind joins, and has room for the task.
	other, err := s.startMinion(8, zones[1], "", []string{"b", "r-east"})
	if err != nil {
		return nil, err
	}
	s.cloud.add(8, other.zone, other.labels)
	time.Sleep(time.Until(thawAt))
	if trouble {
		s.signal(s.cores[first], syscall.SIGCONT)
	}
	time.Sleep(8 * time.Second)
	var broken []string
	for _, d := range s.doubled() {
		broken = append(broken, "TWICE: "+d)
	}
	return broken, nil
}

// playForeign: two heartbeats of another writer under the ids of minions. One lacks a
// field, the other names a service that isn't in the configuration.
func playForeign(s *system, trouble bool) ([]string, error) {
	minions, err := startWithMinions(s, 8)
	if err != nil {
		return nil, err
	}
	const job = "00000000000000e4"
	if err := submitLasting(s, job, 6); err != nil {
		return nil, err
	}
	if !waitFor(10*time.Second, func() bool { return runningCount(s, job) == 6 }) {
		return nil, fmt.Errorf("%w: the tasks do not run", errNotRun)
	}
	time.Sleep(2 * time.Second)
	var busy []*minion
	for _, m := range minions {
		if len(s.runningOn(m.id)) > 0 {
			busy = append(busy, m)
		}
	}
	if trouble {
		r := busy[0].report()
		delete(r, "machine")
		status, _ := s.do("PUT", s.controlURL(s.cores[1])+"/v1/instances/"+busy[0].id, callPatience, nil, r)
		s.logf("another writer: heartbeat for %s without the field machine: %d", busy[0].id, status)
		time.Sleep(3 * time.Second)
		r = busy[1].report()
		r["service"] = "binding"
		status, _ = s.do("PUT", s.controlURL(s.cores[2])+"/v1/instances/"+busy[1].id, callPatience, nil, r)
		s.logf("another writer: heartbeat for %s with the service \"binding\": %d", busy[1].id, status)
	}
	time.Sleep(8 * time.Second)
	var broken []string
	for _, d := range s.doubled() {
		broken = append(broken, "TWICE: "+d)
	}
	return broken, nil
}

// playWave: a machine is added, and some seconds later the operator asks for its upkeep.
func playWave(s *system, trouble bool) ([]string, error) {
	if _, err := startWithMinions(s, 6); err != nil {
		return nil, err
	}
	machine := machineID(6) // without the trouble, the machine is there from the beginning
	if trouble {
		added, err := s.startMinion(7, zones[0], "", []string{"a", "r-west"})
		if err != nil {
			return nil, err
		}
		s.cloud.add(7, added.zone, added.labels)
		if !waitFor(5*time.Second, added.acked) {
			return nil, fmt.Errorf("%w: the new minion is not acknowledged", errNotRun)
		}
		machine = added.machine
	}
	time.Sleep(time.Second)
	// Each minion works on a task of 5 s.
	const job = "00000000000000e5"
	if err := submitTask(s, job, map[string]any{"count": 7, "antiAffinity": 1, "estimateMs": 5000}); err != nil {
		return nil, err
	}
	if !waitFor(5*time.Second, func() bool { return len(s.runningOn("i"+machine[1:])) == 1 }) {
		return nil, fmt.Errorf("%w: the task does not run", errNotRun)
	}
	time.Sleep(time.Second)
	wave := map[string]any{"wave": 1, "machines": []string{machine}, "withinS": 20, "cap": 1}
	if _, err := s.order(0, "POST", "/v1/wave-start", wave); err != nil {
		return nil, err
	}
	var broken []string
	completed := false
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end) && !completed; time.Sleep(500 * time.Millisecond) {
		status, text := s.do("GET", s.controlURL(s.cores[1])+"/v1/wave-get/1", callPatience, nil, nil)
		s.logf("operator: GET /v1/wave-get/1: %d %s", status, text)
		completed = status == 200 && strings.Contains(string(text), "completed")
		if completed && !s.cloud.upkeepBegan(machine, 1) {
			broken = append(broken, "MIXED: wave 1 is said to be completed, and the upkeep of "+machine+", which stays, has not begun")
		}
	}
	time.Sleep(12 * time.Second)
	if len(broken) > 0 {
		s.logf("12 s later: the upkeep of %s has begun: %v", machine, s.cloud.upkeepBegan(machine, 1))
	}
	return broken, nil
}

// Number of usual jobs of playTarget. The job with the small target is 4% of all.
const usualJobs = 24

// playTarget: one of 25 jobs has a target of half a millisecond, which no worker meets.
func playTarget(s *system, trouble bool) ([]string, error) {
	if _, err := startWithMinions(s, 6); err != nil {
		return nil, err
	}
	id := func(i int) string { return fmt.Sprintf("00000000000f%04x", i) }
	for i := range usualJobs {
		fields := map[string]any{"count": 1, "estimateMs": 1000}
		if i%6 == 0 {
			fields = map[string]any{"count": 1, "longRunning": true, "targetMs": 500}
		}
		if err := submitTask(s, id(i), fields); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	target := 500.0
	if trouble {
		target = 0.5
	}
	if err := submitTask(s, id(usualJobs), map[string]any{"count": 1, "longRunning": true, "targetMs": target}); err != nil {
		return nil, err
	}
	time.Sleep(45 * time.Second)
	var broken []string
	often := 0
	for _, p := range s.cores {
		p.mu.Lock()
		n := len(p.ownEnds)
		p.mu.Unlock()
		s.logf("%s has ended by itself %d times", p.name, n)
		if n >= 3 {
			often++
		}
	}
	if 2*often >= len(s.cores) {
		broken = append(broken, fmt.Sprintf("Fault: on %d of %d core machines the process ended by itself three times or more", often, len(s.cores)))
	}
	status, text := s.callQueue("GET", "/run/"+id(1), nil)
	if status != 200 || !strings.Contains(string(text), "completed") {
		broken = append(broken, fmt.Sprintf("LOST: the accepted job %s, asked for at the end, gets no answer: %d %s", id(1), status, text))
	}
	return broken, nil
}

// firstBeat is the time from the start of a minion to its first heartbeat. Heartbeats come
// approximately every 1.5 s.
const firstBeat = time.Second

// playRelife: a minion crashes, is dark for a second and starts again under its id,
// while short jobs come in a steady stream.
func playRelife(s *system, trouble bool) ([]string, error) {
	if _, err := startWithMinions(s, 5); err != nil {
		return nil, err
	}
	labels := []string{"b", "r-west"}
	s.gates = map[int]*gate{}
	numbers := []int{7, 8}
	for _, n := range numbers {
		g, err := newGate(s.ip(50 + n))
		if err != nil {
			return nil, err
		}
		s.gates[n] = g
		m, err := s.startMinion(n, zones[0], s.ip(70+n)+":0", labels)
		if err != nil {
			return nil, err
		}
		s.cloud.add(n, m.zone, labels)
		if !waitFor(5*time.Second, m.acked) {
			return nil, fmt.Errorf("%w: %s is not acknowledged", errNotRun, m.id)
		}
	}
	time.Sleep(2 * time.Second)
	stop := time.Now().Add(12 * time.Second)
	crashAt := time.Now().Add(3 * time.Second)
	crashed := false
	for i := 0; time.Now().Before(stop); i++ {
		fields := map[string]any{"count": 3, "cpu": 1500, "memMb": 4000, "estimateMs": 300, "requires": "b"}
		if err := submitTask(s, fmt.Sprintf("00000000000a%04x", i), fields); err != nil {
			return nil, err
		}
		if trouble && !crashed && time.Now().After(crashAt) {
			crashed = true
			n := s.busier(numbers) // the leader fills one minion before it uses the next
			go s.crashAndReturn(n, labels)
		}
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	return s.repeated(), nil
}

// crashAndReturn crashes a minion behind a gate, and starts its next life after darkTime.
func (s *system) crashAndReturn(n int, labels []string) {
	s.mu.Lock()
	var old *minion
	for _, m := range s.minions {
		if m.id == minionID(n) {
			old = m
		}
	}
	s.mu.Unlock()
	s.gates[n].dark()
	old.crash()
	time.Sleep(darkTime)
	_ = old.server.Close()
	_, _ = s.startMinionLater(n, old.zone, s.ip(70+n)+":0", labels, firstBeat)
}

// busier returns the minion that began a run last.
func (s *system) busier(numbers []int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.runs) - 1; i >= 0; i-- {
		for _, n := range numbers {
			if s.runs[i].minion == minionID(n) {
				return n
			}
		}
	}
	return numbers[0]
}

// playCancel: a front machine stands still with a client's call in its socket. The client
// leaves, cancels the job at another machine and is told that there is no such job. When
// the machine wakes, it passes on the old call.
func playCancel(s *system, trouble bool) ([]string, error) {
	if _, err := startWithMinions(s, 6); err != nil {
		return nil, err
	}
	const job = "00000000000000c1"
	front := s.fronts[0]
	url := func(p *process) string { return fmt.Sprintf("http://%s:%d/run/%s", p.ip, s.frontPort, job) }
	header := map[string]string{"Host": "press.example", "Authorization": "Bearer key-of-anthology", "Deadline-Ms": "3000"}
	thawAt := time.Now().Add(freezeTime)
	if trouble {
		s.signal(front, syscall.SIGSTOP)
	}
	body := map[string]any{"spec": "lasts", "phases": []any{map[string]any{"count": 1, "cpu": 5000, "memMb": 24000, "estimateMs": 900, "longRunning": true}}}
	status, _ := s.do("POST", url(front), time.Second, header, body)
	s.logf("client: POST to %s: %d", front.name, status)
	status, text := s.do("DELETE", url(s.fronts[1]), 3*time.Second, header, nil)
	s.logf("client: DELETE to %s: %d %s", s.fronts[1].name, status, text)
	if status != 410 && (status < 200 || status > 299) {
		return nil, fmt.Errorf("%w: the cancel was not acknowledged", errNotRun)
	}
	time.Sleep(time.Until(thawAt))
	if trouble {
		s.signal(front, syscall.SIGCONT)
	}
	time.Sleep(15 * time.Second)
	if n := runningCount(s, job); n > 0 {
		return []string{fmt.Sprintf("UNASKED: %d task of job %s runs 15 s after the freeze, and its cancelling was acknowledged before", n, job)}, nil
	}
	return nil, nil
}

// playRename: a configuration replaces a route by one of another name with the same host
// and prefix, while a job of it runs.
func playRename(s *system, trouble bool) ([]string, error) {
	if _, err := startWithMinions(s, 6); err != nil {
		return nil, err
	}
	const job = "00000000000000c2"
	if err := submitTask(s, job, map[string]any{"count": 1, "longRunning": true}); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	next := configuration(2)
	if trouble {
		next["routes"].([]any)[0].(map[string]any)["name"] = "r-2"
	}
	if _, err := s.order(0, "PUT", "/v1/config", next); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	status, text := s.callQueue("GET", "/run/"+job, nil)
	if status == 410 {
		return []string{fmt.Sprintf("LOST: GET for the accepted job %s, which runs: %d %s", job, status, text)}, nil
	}
	return nil, nil
}
