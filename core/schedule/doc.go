// Package schedule is the part of the leader that runs the tasks of jobs on workers.
//
// The leader keeps a long poll open to each worker. An answer lists the runs of the
// worker and those that have ended, and each poll extends the worker's lease. The
// scheduler accounts for capacity itself, because a worker may start whatever it is
// ordered to: a run reserves capacity from the moment its assignment is proposed until
// its end is certain.
//
// The order to start a run is sent once its assignment is committed. An order without
// an answer may still be executed later, also by a process that starts under the
// worker's ID after it was sent, which reads the deadline on its own clock and has seen
// no token. contact says until when that is possible. A run is therefore void, that is,
// known never to begin, only if a list that the worker made after the order's deadline,
// by its own clock, does not contain the run, and no process can execute an order any
// more. The runs of a worker that does not answer count as lost once the last lease of
// any process that may run them has expired even by a clock that runs 2% slow, or once
// its process has certainly ended. A new leader uses a larger fencing token, so that a
// process executes no order of an earlier leader after the new leader's first poll.
package schedule
