// Command review-2 runs one case of the second review: it starts the project's own
// programs as separate processes on loopback addresses, plays the platform, the clients,
// the minions and the operator, and judges by what these have seen.
//
// Usage, from the root of the repository: review-2 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2
// if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// limit is the time after which a case is given up.
const limit = 112 * time.Second

// result is the outcome of a case.
type result struct {
	broken bool
	reason string
}

var cases = map[string]func(*system) result{
	"foreign-heartbeat": foreignHeartbeat,
	"gang-copies":       gangCopies,
	"gang-failures":     gangFailures,
	"advice-removed":    adviceRemoved,

	// Shown, and left out of the cases for the limit of five.
	"budget":        budget,
	"cap":           capLowered,
	"foreign-entry": foreignEntry,
	"lasting-copy":  lastingCopy,
	"pending":       pendingCount,
	"removed-queue": removedQueue,
	"wave-first":    waveFirst,
}

// cannotRun ends a case that could not run.
type cannotRun struct{ reason string }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(playCase(cases[os.Args[1]], os.Args[2]))
}

func playCase(play func(*system) result, folder string) (code int) {
	s, err := newSystem(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.end()
	defer func() {
		if e := recover(); e != nil {
			c, ok := e.(cannotRun)
			if !ok {
				s.end()
				panic(e)
			}
			s.note("the case could not run: %s", c.reason)
			s.recordPanics()
			code = 2
		}
	}()
	finished := make(chan struct{})
	defer close(finished)
	go func() {
		select {
		case <-finished:
		case <-time.After(limit):
			s.note("the case could not run: not over after %v", limit)
			s.end()
			os.Exit(2)
		}
	}()
	r := play(s)
	s.recordPanics()
	if r.broken {
		s.note("RESULT: the rule was broken: %s", r.reason)
		return 1
	}
	s.note("RESULT: the rule held: %s", r.reason)
	return 0
}
