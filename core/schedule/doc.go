// Package schedule is the part of the leader that runs the tasks of jobs on workers.
//
// The leader keeps a long poll open to each worker. An answer lists the runs of the
// worker and those that have ended, and each poll extends the worker's lease. The
// scheduler accounts for capacity itself, because a worker may start whatever it is
// ordered to: a run reserves capacity from the moment its assignment is proposed until
// its end is certain.
//
// The order to start a run is sent once its assignment is committed. An order without
// an answer may still be executed later. Its run is therefore void, that is, known
// never to begin, only if a list that the worker made after the order's deadline, by
// its own clock, does not contain the run. The runs of a worker that does not answer
// count as lost once its last lease has expired even by a clock that runs 2% slow, or
// once its process has certainly ended. A new leader uses a larger fencing token, so
// that a worker executes no order of an earlier leader after the new leader's first
// poll.
package schedule
