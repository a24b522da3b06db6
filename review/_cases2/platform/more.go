package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// budget: a job has a task that always fails, and another step that lasts.
func budget(s *system) result {
	const maxAttempts = 3
	s.startSmall(queue(maxAttempts))
	id := jobID()
	spec := "ms=400"
	if s.trouble {
		spec = "fail=400"
	}
	for range 19 { // the one that can never be done is a twentieth of the jobs
		if !s.submit(proofs, jobID(), job("ms=400", phase(1, 1000, 400, nil))) {
			s.fail("a job was not accepted")
		}
	}
	j := job(spec, phase(1, 1000, 400, nil), phase(1, 1000, 400, map[string]any{"longRunning": true, "after": []int{0}}))
	if !s.submit(proofs, id, j) {
		s.fail("the job was not accepted")
	}
	time.Sleep(15 * time.Second)
	failed, startsAfter := 0, 0
	for _, r := range runsOf(id + ".0.0.0") {
		if failed >= maxAttempts {
			startsAfter++
		}
		if how, _ := r.outcome(); how == "failed" {
			failed++
		}
	}
	return result{startsAfter > 0, fmt.Sprintf("BUDGET: maxAttempts is %d; %d runs of %s.0.0.0 have ended failed, %d of its starts came after the first %d of them; the job is shown as %s",
		maxAttempts, failed, id, startsAfter, maxAttempts, s.state(proofs, id))}
}

// capLowered: a configuration lowers the cap of a tenant below the size of a task that waits.
func capLowered(s *system) result {
	s.startAll(3, 2)
	for i := range minionCount {
		s.addMinion(i)
	}
	s.putConfig(configWithCap(7, queue(3), 40000))
	s.warmUp()
	id := jobID()
	if !s.submit(proofs, id, job("ms=2500", phase(2, 8000, 2500, nil), phase(2, 8000, 2500, map[string]any{"after": []int{0}}))) {
		s.fail("the job was not accepted")
	}
	s.await(5*time.Second, "a task has started", func() bool { return len(runsOf(id)) > 0 })
	if s.trouble {
		s.putConfig(configWithCap(9, queue(3), 6000))
	}
	s.note("the traffic ends")
	time.Sleep(finishTime)
	state, longest := s.longestIdle(id, 12*time.Second)
	return result{longest > 3*time.Second, fmt.Sprintf(
		"LOST: the job is %s; later than finish_s after the end of the traffic nothing of it ran for %.1f s, while its tenant ran nothing and all minions were idle", state, longest.Seconds())}
}

// foreignEntry: the list of machines has an entry of another writer for a minion's machine.
func foreignEntry(s *system) result {
	s.startSmall(queue(3))
	id := jobID()
	if !s.submit(proofs, id, job("ms=16000", phase(1, 1000, 16000, nil))) {
		s.fail("the job was not accepted")
	}
	s.await(5*time.Second, "the task has started", func() bool { return len(runsOf(id)) > 0 })
	if m := runsOf(id)[0].minion; s.trouble {
		s.mu.Lock()
		s.foreign = append(s.foreign, map[string]any{"machine": m.machine, "pool": "telemetry", "state": "up", "zone": m.zone,
			"labels": []string{"a", m.rack}, "capacity": m.capacity, "id": "agent-51"})
		s.mu.Unlock()
		s.note("platform: the list has an entry of the pool telemetry for %s", m.machine)
	}
	s.waitFor(35*time.Second, func() bool { return s.state(proofs, id) == "completed" })
	if a, b := overlapping(id); a != nil {
		return result{true, fmt.Sprintf("TWICE: %s run %d on %s was running when run %d started on %s", a.task, a.number, a.minion.id, b.number, b.minion.id)}
	}
	return result{false, fmt.Sprintf("%d runs of the task, none at the same time", len(runsOf(id)))}
}

// pendingCount: jobs that have not begun, since minions are unhealthy, after the leader was killed.
func pendingCount(s *system) result {
	s.startSmall(queue(3))
	first := len(runsOf(""))
	for _, m := range s.allMinions() {
		m.mu.Lock()
		m.shed = s.trouble
		m.mu.Unlock()
	}
	accepted := 0
	for range 10 {
		if s.submit(proofs, jobID(), job("ms=500", phase(1, 1000, 500, map[string]any{"longRunning": true}))) {
			accepted++
		}
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.leader().kill()
	}
	time.Sleep(contactTime + 6*time.Second)
	begun := len(runsOf("")) - first
	least := accepted
	for _, p := range s.entries() {
		status, text := s.call("GET", p.url(s.front(), proofs), nil, 3*time.Second)
		s.note("client: GET %s at %s: %d %s", proofs, p.name, status, text)
		var answer struct{ Pending int }
		if status == 200 && json.Unmarshal(text, &answer) == nil {
			least = min(least, answer.Pending)
		}
	}
	return result{2*least < accepted-begun, fmt.Sprintf("MIXED: %d jobs were accepted, %d runs have begun, pending is %d", accepted, begun, least)}
}

// removedQueue: the queue of a job that can never be done is removed, and the leader killed.
func removedQueue(s *system) result {
	const maxAttempts = 3
	s.startSmall(queue(maxAttempts))
	id := jobID()
	if !s.submit(proofs, id, job("fail=700", phase(1, 1000, 700, nil))) {
		s.fail("the job was not accepted")
	}
	if s.trouble {
		other := queue(maxAttempts)
		other["name"], other["pathPrefix"] = "r-2", "/q/other/"
		s.putConfig(config(9, other))
		s.leader().kill()
	}
	time.Sleep(15 * time.Second)
	runs := len(runsOf(id))
	return result{runs > maxAttempts, fmt.Sprintf("BUDGET: maxAttempts is %d; %d runs of the task, which always fails", maxAttempts, runs)}
}

// waveFirst: a wave is the first order of the operator, and the configuration the next one, a
// second later.
func waveFirst(s *system) result {
	s.startMachines(3, 2)
	var machines []string
	for i := range minionCount {
		machines = append(machines, s.addMinion(i).machine)
	}
	time.Sleep(3 * time.Second)
	n := 0
	order := func(method, path string, body any) bool {
		p := s.replicas()[n%3]
		n++
		status, text := s.call(method, p.url(s.control(), path), body, time.Second)
		s.note("operator: %s %s at %s: %d %s", method, path, p.name, status, text)
		return status == 200
	}
	if s.trouble {
		wave := map[string]any{"wave": 1, "machines": machines[:2], "withinS": 30, "cap": 1}
		s.waitFor(4*time.Second, func() bool { return order("POST", "/v1/wave-start", wave) })
	}
	time.Sleep(time.Second)
	sent := time.Now()
	for !order("PUT", "/v1/config", config(7, queue(3))) && time.Since(sent) < 60*time.Second {
		time.Sleep(300 * time.Millisecond)
	}
	took, ends := time.Since(sent), 0
	for _, p := range s.replicas() {
		ends += p.endsByItself()
	}
	return result{s.replicasEnded(3) >= 2, fmt.Sprintf("Fault: the core machines have ended by themselves %d times, %d of 3 three times or more; the configuration was acknowledged after %.1f s",
		ends, s.replicasEnded(3), took.Seconds())}
}

// lastingCopy: the run of a task that lasts and may have copies ends as done while its minion is cut off.
func lastingCopy(s *system) result {
	const lastingTime, calmTime = 6 * time.Second, 3 * time.Second
	s.startSmall(queue(3))
	id := jobID()
	j := job("", phase(1, 1000, 400, map[string]any{"longRunning": true, "allowDuplicates": true}))
	if !s.submit(proofs, id, j) {
		s.fail("the job was not accepted")
	}
	s.await(5*time.Second, "the task has started", func() bool { return len(runsOf(id)) > 0 })
	first := runsOf(id)[0]
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		first.minion.setCut(true)
	}
	time.Sleep(2750 * time.Millisecond)
	first.minion.mu.Lock()
	first.endsAt, first.endsHow = time.Now(), "done"
	first.minion.mu.Unlock()
	time.Sleep(1250 * time.Millisecond)
	if s.trouble {
		first.minion.setCut(false)
	}
	time.Sleep(20 * time.Second)
	var idle time.Duration // since the end of the last run
	for _, r := range runsOf(id) {
		how, at := r.outcome()
		if how == "" {
			return result{false, fmt.Sprintf("the task runs, as run %d, and the job is %s", r.number, s.state(proofs, id))}
		}
		if since := time.Since(at); idle == 0 || since < idle {
			idle = since
		}
	}
	return result{idle > lastingTime+calmTime, fmt.Sprintf(
		"LOST: a job that nobody cancelled, with a task that lasts, is %s; nothing of it has run for %.1f s, while all minions were idle", s.state(proofs, id), idle.Seconds())}
}
