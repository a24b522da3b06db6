// Package consensus implements a replicated log as a state machine without I/O.
//
// The caller owns a Node and passes it messages, ticks, proposals and reports of
// what has been synced to disk. It then takes an Output, which lists as data
// what has to be done: entries and hard state to persist, messages to send, a
// snapshot to install and entries that are committed. C is the type of the
// commands in the log and S the type of the state in a snapshot; both are opaque
// to the package. Time and random numbers are arguments, so that a recorded
// sequence of calls replays to the same outputs. A Node is not safe for
// concurrent use.
//
// # Protocol
//
// The protocol is Raft (Ongaro and Ousterhout, 2014; Ongaro's thesis for
// membership changes). Time is divided into terms with at most one leader each.
// The leader appends commands to its log and replicates them. An entry is
// committed when a majority of the voters has it on disk and it is of the
// leader's own term, or precedes such an entry.
//
// Elections. A voter that receives nothing from a leader for its randomised
// election timeout first requests pre-votes, which change no state, and campaigns
// only when a majority would vote for it. When a pre-candidate grants a pre-vote
// to another one, a tie-break decides which of the two withdraws, so that they do
// not split the votes. A vote needs a write at the candidate and at the voter,
// and writes may take longer than the timeouts. So no node begins an election
// while its hard state is being written, or answers pre-votes meanwhile; after
// that, a node that has voted gives the other voters as long as its own write
// took, at most maxVoteWait. The votes of a term count until the candidate leaves
// the term or sees a leader of it. A voter ignores requests for votes and pre-
// votes within ElectionTimeoutMin of the last message from a leader, unless the
// leader requested the election (Transfer). A start counts as a message from a
// leader, since the node may have acknowledged one just before it restarted. A
// leader that receives nothing from a majority for ElectionTimeoutMax steps down.
//
// Leader lease. Append messages carry the leader's clock and replies echo it.
// When a majority has echoed times of at least t, no other leader is elected
// before t + ElectionTimeoutMin. HoldsLeaderLease subtracts 10% for clock drift.
// A leader that has sent MsgTimeoutNow never holds the lease again in that term,
// because voters disregard the lease in the election that follows.
//
// Durability. Messages that imply a synced write (votes, requests for
// votes, replies to appends and snapshots) are held back until Persisted covers
// them. The candidate's own vote and the leader's own entries count from then on
// as well, and Committed contains only entries that are on this node's disk. A
// report names only a term and an index. Therefore the node never has two
// different writes with the same term and index in flight: a message that needs
// a second write of the vote in a term, or that replaces entries being written,
// is deferred until the earlier writes are reported. Only the latest such
// message is kept; the senders repeat the others.
//
// Replication. A peer starts in the probing state with one append in flight.
// Once its log matches, it is sent up to MaxInflight appends without waiting. A
// rejected append returns a hint that skips whole terms. A peer that needs
// compacted entries gets a snapshot. Heartbeats are empty appends at the index
// that is known to match.
//
// Membership. A voter set is an entry of the log and takes effect when it is
// appended. A change adds, removes or exchanges one voter, and waits until the
// change before it and the no-op of the leader's term are committed. A node that
// is not in the voter set sends MsgJoin to its peers until a leader replicates to
// it. If it is durable and has caught up, it replaces the earlier identity of its
// host (which is removed before the new one is added), or is added while there are
// fewer than MaxVoters and no voter is silent.
//
// A caught-up replica of another host takes the place of a voter that has been
// silent for replaceTimeout, in an exchange (joint consensus): between the entry
// that begins it and the one that ends it, every decision needs a majority of both
// sets. A voter that has been silent for surplusTimeout is removed if the others
// tolerate more losses without it.
//
// Identities that left the voter set are retired and never return. Their requests
// are answered with MsgRetired; the caller of the package then starts the host
// with an empty data folder and another identity. A durable non-voter answers vote
// requests, since a candidate may know that it is a voter before the node itself
// does; a volatile one never does.
package consensus
