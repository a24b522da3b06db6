// Package schedule is the leader's part that runs the tasks of jobs on workers.
//
// The leader keeps a long poll open to each worker. Its answers tell what runs
// there and what has ended, and each poll extends the worker's lease. Capacity is
// counted here, because workers may start whatever they are told: a run takes
// its share from the moment its assignment is proposed until its end is certain.
//
// A run is ordered once its assignment is committed. An order without an answer
// may be executed later, so a run is void only when the worker has said, at a
// time of its own clock past the order's deadline, that it does not know the run.
// The runs of a worker that does not answer are lost when its last lease is over
// on a clock 2% slow, or when it is certain that its process has ended. A new
// leader uses a larger token, so that no order of an earlier one is carried out
// after the first poll.
package schedule
