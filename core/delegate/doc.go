// Package delegate spreads the leader's calls to workers over the replicas.
//
// The leader decides each call, keeps it until its result is known and names the
// replica that makes it; a Dealer does that. The replica makes the calls as they
// arrive and returns their results; a Desk keeps what is under way there. Both are
// kept by the reducer.
//
// A call through a delegate has the guarantees of a call over a network that may
// delay it: what it may do late is bounded by the deadline that it carries on the
// worker's clock, and by the worker's fencing token once a later leader has called.
// A call whose result does not come ends as order.Silent, which says that it may
// still be carried out.
package delegate
