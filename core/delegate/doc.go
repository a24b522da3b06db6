// Package delegate spreads the leader's calls to workers over the replicas.
//
// The leader decides each call, keeps it until its result is known and names the
// replica that makes it, its delegate; a Dispatcher does that. The replica makes the
// calls as they arrive and returns their results; an Agent keeps what is under way
// there. Both are kept by the reducer.
//
// A call through a delegate has the guarantees of a call over a network that may
// delay it: what it may do late is bounded by the deadline that it carries on the
// worker's clock, and by the worker's fencing token once a later leader has called.
// Neither binds a later life of the worker, so an agent that was frozen or cut off
// does not make calls that are older than MaxAge. A call whose result does not come
// ends as order.Silent, which says that it may still be carried out.
//
// An agent reports several times a second to the leader that it follows. Replicas that
// have not reported, or report that they are leaving, get no calls.
package delegate
