package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// minionCount is the number of minions of a case. One of them is a share of 0.083, two are
// 0.167.
const minionCount = 12

func phase(count, cpu, estimateMs int, more map[string]any) map[string]any {
	p := map[string]any{"count": count, "cpu": cpu, "memMb": 256, "estimateMs": estimateMs}
	for k, v := range more {
		p[k] = v
	}
	return p
}

func job(spec string, phases ...map[string]any) map[string]any {
	return map[string]any{"spec": spec, "phases": phases}
}

const proofs = "/q/proof/"

// startSmall starts the core, the entry machines and the minions, with one queue.
func (s *system) startSmall(queue map[string]any) {
	s.startAll(3, 2)
	for i := range minionCount {
		s.addMinion(i)
	}
	s.putConfig(config(7, queue))
	s.warmUp()
}

// warmUp runs a job to its end, so that the minions are known, and waits until all
// machines are in touch.
func (s *system) warmUp() {
	time.Sleep(2 * time.Second)
	id := jobID()
	if !s.submit(proofs, id, job("ms=100", phase(4, 1000, 100, nil))) {
		s.fail("the first job was not accepted")
	}
	s.await(20*time.Second, "the first job is completed", func() bool { return s.state(proofs, id) == "completed" })
	time.Sleep(contactTime)
}

// foreignHeartbeat: other software on a minion's machine sends a heartbeat for a service
// that no configuration names.
func foreignHeartbeat(s *system) result {
	s.startSmall(queue(3))
	id := jobID()
	if !s.submit(proofs, id, job("ms=6000", phase(1, 1000, 6000, nil))) {
		s.fail("the job was not accepted")
	}
	s.await(5*time.Second, "the task has started", func() bool { return len(runsOf(id)) > 0 })
	time.Sleep(500 * time.Millisecond)
	first := runsOf(id)[0]
	if s.trouble {
		p := s.replicas()[0]
		status, text := s.call("PUT", p.url(s.control(), "/v1/instances/agent-51"), map[string]any{
			"service": "telemetry", "address": s.network + ".240:9100", "zone": first.minion.zone, "version": "v1", "slots": 8,
			"state": "ready", "coldLeftMs": 0, "capacity": first.minion.capacity, "labels": []string{"a", first.minion.rack},
			"machine": first.minion.machine, "born": time.Now().UnixMilli(), "clockMs": 1000, "seq": 1,
		}, time.Second)
		s.note("other software: PUT /v1/instances/agent-51 of the service telemetry on %s at %s: %d %s", first.minion.machine, p.name, status, text)
	}
	s.waitFor(20*time.Second, func() bool { return s.state(proofs, id) == "completed" })
	if a, b := overlapping(id); a != nil {
		return result{true, fmt.Sprintf("TWICE: %s run %d on %s was running when run %d started on %s", a.task, a.number, a.minion.id, b.number, b.minion.id)}
	}
	return result{false, fmt.Sprintf("%d runs of the task, none at the same time", len(runsOf(id)))}
}

// gangCopies: the minions of a gang whose tasks may have copies are cut off while it ends
// as done, and one of them is lost for good.
func gangCopies(s *system) result {
	s.startSmall(queue(3))
	id := jobID()
	j := job("ms=3250;gang=2", phase(2, 9000, 3250, map[string]any{"gang": true, "allowDuplicates": true}))
	if !s.submit(proofs, id, j) {
		s.fail("the job was not accepted")
	}
	s.await(5*time.Second, "both tasks have started", func() bool { return len(runsOf(id)) == 2 })
	members := runsOf(id)
	if members[0].minion == members[1].minion {
		s.fail("both tasks are on one minion")
	}
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		members[0].minion.setCut(true)
		members[1].minion.setCut(true)
		time.Sleep(4 * time.Second)
		members[1].minion.lose()
		members[0].minion.setCut(false)
	}
	s.waitFor(10*time.Second, func() bool { return s.state(proofs, id) == "completed" })
	s.note("the traffic ends")
	time.Sleep(finishTime)
	state, longest := s.longestIdle(id, 12*time.Second)
	return result{longest > 3*time.Second, fmt.Sprintf(
		"LOST: a job of which a gang has ended as done is %s; later than finish_s after the end of the traffic nothing of it ran for %.1f s, while all minions were idle", state, longest.Seconds())}
}

// longestIdle returns the state of a job and the longest time for which it was not
// completed and nothing of it ran.
func (s *system) longestIdle(id string, look time.Duration) (state string, longest time.Duration) {
	var idle time.Time
	for end := time.Now().Add(look); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		running := 0
		for _, r := range runsOf(id) {
			if how, _ := r.outcome(); how == "" {
				running++
			}
		}
		state = s.state(proofs, id)
		switch {
		case running > 0 || state == "completed":
			idle = time.Time{}
		case idle.IsZero():
			idle = time.Now()
		default:
			longest = max(longest, time.Since(idle))
		}
	}
	return state, longest
}

// gangFailures: a minion fails all that it starts, and a gang is on it.
func gangFailures(s *system) result {
	const maxAttempts = 3
	s.startSmall(queue(maxAttempts))
	if s.trouble {
		m := s.allMinions()[0]
		m.setGrey(true)
		time.AfterFunc(6*time.Second, func() { m.setGrey(false) })
	}
	id := jobID()
	if !s.submit(proofs, id, job("ms=1500;gang=3", phase(3, 4000, 1500, map[string]any{"gang": true}))) {
		s.fail("the job was not accepted")
	}
	state := ""
	s.waitFor(20*time.Second, func() bool {
		state = s.state(proofs, id)
		return state == "completed" || state == "failed"
	})
	numbers, failed := make(map[int]bool), 0
	for _, r := range runsOf(id) {
		numbers[r.number] = true
		if how, _ := r.outcome(); how == "failed" {
			failed++
		}
	}
	if s.trouble && failed == 0 {
		s.fail("the gang was not on the minion that fails")
	}
	return result{state == "failed" && len(numbers) < maxAttempts,
		fmt.Sprintf("LOST: the job is shown as %s after %d runs of its gang; maxAttempts is %d", state, len(numbers), maxAttempts)}
}

// adviceService is the service that says which minions may run a step.
type adviceService struct {
	address          string
	decision, period time.Duration
	validity         time.Duration
	busy             sync.Mutex // it handles one call at a time

	mu       sync.Mutex
	required bool                 // the queue has advice, so that a start needs a ticket
	tickets  map[string]time.Time // end of the validity, by minion and ticket
	calls    int
	open     int // calls without an answer yet
}

func (s *system) startAdvice(decision, period, validity time.Duration) {
	a := &adviceService{decision: decision, period: period, validity: validity, tickets: make(map[string]time.Time)}
	l, err := net.Listen("tcp", s.network+".201:0")
	if err != nil {
		s.fail("%v", err)
	}
	a.address = l.Addr().String()
	s.advice = a
	go func() { _ = http.Serve(l, http.HandlerFunc(a.serve)) }()
}

func (a *adviceService) serve(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string
		Workers []string
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	a.open++
	a.mu.Unlock()
	a.busy.Lock()
	time.Sleep(a.decision + time.Duration(len(in.Workers))*a.period)
	rows := [][]any{}
	a.mu.Lock()
	a.open--
	a.calls++
	for _, id := range in.Workers {
		ticket := fmt.Sprintf("t-%d-%s", a.calls, id)
		a.tickets[id+" "+ticket] = time.Now().Add(a.validity)
		rows = append(rows, []any{id, ticket})
	}
	a.mu.Unlock()
	a.busy.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"allowedWorkers": rows})
}

// valid reports whether a minion accepts a start with the ticket.
func (a *adviceService) valid(minion, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.required || time.Now().Before(a.tickets[minion+" "+ticket])
}

func (a *adviceService) setRequired(required bool) { a.mu.Lock(); a.required = required; a.mu.Unlock() }

func (a *adviceService) isAsked() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.open > 0 }

// adviceRemoved: configurations take the advice from a queue while the service is asked,
// and give it back.
func adviceRemoved(s *system) result {
	s.startAdvice(400*time.Millisecond, 20*time.Millisecond, 5*time.Second)
	with := queue(3)
	with["advice"] = map[string]any{"decisionMs": 400, "periodMs": 20, "validityMs": 5000}
	s.startSmall(with)
	version := 7
	for range 14 {
		s.advice.setRequired(true)
		id := jobID()
		if !s.submit(proofs, id, job("ms=1500", phase(2, 1000, 1500, nil))) {
			s.fail("the job was not accepted")
		}
		s.waitFor(2*time.Second, s.advice.isAsked)
		if s.trouble {
			s.advice.setRequired(false)
			version += 3
			s.putConfig(config(version, queue(3)))
		}
		s.waitFor(8*time.Second, func() bool { return s.state(proofs, id) == "completed" })
		if s.trouble {
			version += 2
			s.putConfig(config(version, with))
		}
		if s.replicasEnded(3) >= 2 || time.Since(s.begin) > 95*time.Second {
			break
		}
	}
	for _, p := range s.replicas() {
		s.note("%s has ended by itself %d times", p.name, p.endsByItself())
	}
	return result{s.replicasEnded(3) >= 2, fmt.Sprintf("Fault: %d of the 3 core machines have ended by themselves three times or more", s.replicasEnded(3))}
}

// replicasEnded counts the core machines whose processes have ended by themselves so often.
func (s *system) replicasEnded(times int) (n int) {
	for _, p := range s.replicas() {
		if p.endsByItself() >= times {
			n++
		}
	}
	return n
}
