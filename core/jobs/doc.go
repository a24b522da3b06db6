// Package jobs is the part of the replicated state that concerns jobs: the
// queues and teams of the configuration in force, the jobs and the runs of
// their tasks, the workers that have announced themselves, and maintenance
// waves.
//
// A job has steps, and a step has tasks of equal size. A step is open once all
// tasks of the steps it comes after are done. Each start of a task is a run with
// a number that grows by one. A run is recorded by an Assign command before the
// order to start it is sent, and its end by an End command before the worker is
// told to forget it. A later leader therefore knows of every run that may be
// going on, and no end is lost.
//
// Apply is deterministic. It checks each assignment and end against the state
// at that moment and passes over those that no longer fit.
package jobs
