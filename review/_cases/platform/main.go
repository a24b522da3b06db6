package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// maxCaseTime bounds a case.
const maxCaseTime = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// A playCase plays one case and returns how the rule was broken, or nothing.
type playCase func(s *system, trouble bool) ([]string, error)

var cases = map[string]playCase{
	"evacuation": playEvacuation,
	"leave":      playLeave,
	"foreign":    playForeign,
	"wave":       playWave,
	"relife":     playRelife,
	"cancel":     playCancel,
	"rename":     playRename,
	"target":     playTarget,
}

func main() {
	runtime.LockOSThread() // the processes end with the thread that started them
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newSystem(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	time.AfterFunc(maxCaseTime, func() {
		s.stop()
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(exitNotRun)
	})
	s.logf("case %s, trouble %v", os.Args[1], trouble)
	defer s.stop()
	broken, err := cases[os.Args[1]](s, trouble)
	switch {
	case err != nil:
		s.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		if !errors.Is(err, errNotRun) {
			fmt.Fprintln(os.Stderr, "unexpected")
		}
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			s.logf("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		return exitBroken
	}
	s.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// startWithMinions starts the system with n machines and their minions, in the zones in
// turn. The machines are listed from the beginning.
func startWithMinions(s *system, n int) ([]*minion, error) {
	labels := func(zone string) []string { return []string{"a", "r-" + zone} }
	zoneOf := func(i int) string { return zones[i%len(zones)] }
	if err := s.start(func() {
		for i := range n {
			s.cloud.add(i+1, zoneOf(i), labels(zoneOf(i)))
		}
	}); err != nil {
		return nil, err
	}
	if err := s.configure(); err != nil {
		return nil, err
	}
	var list []*minion
	for i := range n {
		m, err := s.startMinion(i+1, zoneOf(i), "", labels(zoneOf(i)))
		if err != nil {
			return nil, err
		}
		list = append(list, m)
	}
	for _, m := range list {
		if !waitFor(10*time.Second, m.acked) {
			return nil, fmt.Errorf("%w: %s is not acknowledged", errNotRun, m.id)
		}
	}
	time.Sleep(3 * time.Second) // all are polled, and all machines are in touch
	return list, nil
}

// submitTask submits a job of one step, with these fields besides the usual ones.
func submitTask(s *system, id string, fields map[string]any) error {
	step := map[string]any{"cpu": 5000, "memMb": 24000, "estimateMs": 900, "image": "sync"}
	spec := "lasts"
	for name, value := range fields {
		step[name] = value
	}
	if step["longRunning"] == nil {
		spec = fmt.Sprint(step["estimateMs"])
	}
	status, _ := s.callQueue("POST", "/run/"+id, map[string]any{"spec": spec, "phases": []any{step}})
	if status < 200 || status > 299 {
		return fmt.Errorf("%w: the job was not accepted", errNotRun)
	}
	return nil
}

// submitLasting submits a job of tasks that last, at most one on a minion.
func submitLasting(s *system, id string, tasks int) error {
	return submitTask(s, id, map[string]any{"longRunning": true, "antiAffinity": 1, "count": tasks})
}

// runningCount counts the runs of a job's tasks that are at work.
func runningCount(s *system, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.runs {
		if l.ended.IsZero() && len(l.task) > len(id) && l.task[:len(id)] == id {
			n++
		}
	}
	return n
}
