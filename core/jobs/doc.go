// Package jobs is the part of the replicated state that concerns jobs: the queues
// and teams of the current configuration, the jobs and the runs of their tasks, the
// workers that have announced themselves, and maintenance waves.
//
// A job has steps, and a step has tasks of equal size. A step is open once all tasks
// of the steps that it depends on are done. Each attempt to run a task is a run, and
// the runs of a task are numbered in increasing order. An Assign command records a run
// before the order to start it is sent, and an End command records its end before the
// worker is told to forget it. A later leader therefore knows every run that may still
// be running, and no end is lost.
//
// Apply is deterministic. It checks each assignment and each end against the current
// state and ignores those that no longer apply.
package jobs
