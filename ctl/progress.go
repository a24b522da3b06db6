package ctl

import (
	"fmt"
	"time"
)

// Progress messages of a long call: the delay of the first and the interval between
// the others.
const (
	progressDelay    = time.Second
	progressInterval = 5 * time.Second
)

// withProgress calls f. In table mode it writes progress messages to the error output
// while f runs, which name what the call waits for.
func (p *Program) withProgress(waitingFor string, f func() error) error {
	if p.output != outputTable {
		return f()
	}
	done := make(chan error, 1)
	go func() { done <- f() }()
	start := time.Now()
	timer := time.NewTimer(progressDelay)
	defer timer.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-timer.C:
			waited := time.Since(start).Round(time.Second)
			fmt.Fprintf(p.Err, "waiting for %s (%s)\n", waitingFor, waited)
			timer.Reset(progressInterval)
		}
	}
}
