// Package delegate spreads the leader's calls to workers over the replicas.
//
// The leader decides each call and assigns it to a replica, the call's delegate. The
// leader's Dispatcher keeps the call until its result is known. The replica makes the
// calls as they arrive and returns their results; its Agent keeps the calls in
// progress. Both are part of the reducer's state.
//
// A call through a delegate has the guarantees of a call over a network that may delay
// it. What it may do late is bounded by the deadline that it carries, on the worker's
// clock, and by the worker's fencing token once a later leader has called the worker.
// Neither binds a later process of the worker, so no call that is older than MaxCallAge is
// sent: an agent does not make it, and each call has a latest time of sending for the case
// that its process is frozen after that. A call without a result ends as order.NoAnswer,
// which means that it may still be carried out.
//
// An agent reports several times a second to the leader that it follows. Replicas that
// have not reported, or report that they are leaving, get no calls.
package delegate
