package consensus

import "primrosedale.example/primrosedale/core/model"

// NodeID identifies a replica: the host and the incarnation of its data folder. A
// host that loses its disk returns with another NodeID, so that it can never vote
// twice in one term.
type NodeID struct {
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"inc"`
}

// EntryKind distinguishes commands from entries of the protocol itself.
type EntryKind uint8

// Entry kinds.
const (
	EntryCommand EntryKind = iota // Command is set
	EntryNoop                     // first entry of a leader's term
	EntryVoters                   // Voters is the new voter set
)

// Entry is one entry of the log. Entries are immutable once appended.
type Entry[C any] struct {
	Index   uint64    `json:"i"`
	Term    uint64    `json:"t"`
	Kind    EntryKind `json:"k,omitempty"`
	Command *C        `json:"c,omitempty"`
	Voters  []NodeID  `json:"v,omitempty"`
	// Outgoing is set in an EntryVoters that begins an exchange: until the next
	// EntryVoters, a majority of these voters is needed as well.
	Outgoing []NodeID `json:"out,omitempty"`
	// Vacated is set in an EntryVoters that removes a voter whose host is not expected
	// back: its place is open to any host.
	Vacated bool `json:"vac,omitempty"`
}

// HardState must be on disk before any message that depends on it is sent.
type HardState struct {
	Term uint64 `json:"term"`
	Vote NodeID `json:"vote"`
}

// Snapshot replaces all entries up to and including Index.
type Snapshot[S any] struct {
	Index  uint64   `json:"index"`
	Term   uint64   `json:"term"`
	Voters []NodeID `json:"voters"`
	// Outgoing is set during an exchange of voters; see Entry.
	Outgoing []NodeID `json:"outgoing,omitempty"`
	// Retired lists identities that have left the voter set. They never join
	// again.
	Retired []NodeID `json:"retired,omitempty"`
	// Vacated lists the retired identities whose place in the voter set is open to any
	// host. The places of the others are kept for the next identity of their host.
	Vacated []NodeID `json:"vacated,omitempty"`
	State   S        `json:"state"`
}

// Stored is what a node reads from its data folder before it starts. A zero Stored
// is an empty data folder: the node starts as a non-voter and joins.
type Stored[C, S any] struct {
	HardState HardState
	Snapshot  *Snapshot[S]
	Entries   []Entry[C]
}

// MessageKind is the kind of a protocol message.
type MessageKind uint8

// Message kinds.
const (
	MsgPreVote MessageKind = iota
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
	MsgSnapshotReply
	MsgJoin       // a non-voter asks the leader to replicate the log to it
	MsgTimeoutNow // the leader asks a voter to take over at once
	MsgRetired    // the receiver's identity has left the voter set for good
)

// Message is one protocol message.
type Message[C, S any] struct {
	Kind     MessageKind  `json:"kind"`
	From     NodeID       `json:"from"`
	To       NodeID       `json:"to"` // in MsgJoin the incarnation is empty if it is not known
	Term     uint64       `json:"term"`
	LogTerm  uint64       `json:"log_term,omitempty"` // term of the entry before Entries, or of the candidate's last entry
	Index    uint64       `json:"index,omitempty"`    // index of the same entry; in replies, the last matching index, or the index that was rejected; in MsgJoin, the sender's last index
	Commit   uint64       `json:"commit,omitempty"`   // commit index of the leader
	Entries  []Entry[C]   `json:"entries,omitempty"`
	Snapshot *Snapshot[S] `json:"snapshot,omitempty"`
	Reject   bool         `json:"reject,omitempty"`
	Hint     uint64       `json:"hint,omitempty"`     // in a rejected append: last index at which the logs may match
	Sent     model.Time   `json:"sent,omitempty"`     // the sender's clock, echoed in the reply for the leader lease
	Durable  bool         `json:"durable,omitempty"`  // in MsgJoin: the non-voter has a data folder and may become a voter
	Transfer bool         `json:"transfer,omitempty"` // in vote requests: the leader requested the election, so its lease does not prevent it
}

// Output lists what the caller has to do, in this order: install Snapshot,
// persist HardState and Entries in one synced write (entries replace any
// stored entries at or after the first index), apply Committed, send
// Messages. The caller reports the sync with Node.Persisted. Slices are
// shared with the Node and must not be modified.
type Output[C, S any] struct {
	Snapshot  *Snapshot[S]
	HardState *HardState
	Entries   []Entry[C]
	Committed []Entry[C]
	Messages  []Message[C, S]
}

// Role is the role of a node in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
	NonVoter // receives the log and does not campaign
)

// Config is constant during the lifetime of a Node.
type Config struct {
	ID                 NodeID
	Peers              []model.HostID // hosts that may know a leader, for MsgJoin
	Durable            bool           // whether this node has a data folder
	ElectionTimeoutMin model.Duration
	ElectionTimeoutMax model.Duration
	HeartbeatInterval  model.Duration
	MaxAppendEntries   int    // maximum number of entries in one append message
	MaxInflight        int    // maximum number of unanswered append messages to one peer
	SnapshotEvery      uint64 // applied entries between two snapshots; 0 disables snapshots
	MaxVoters          int    // the leader adds durable non-voters of new hosts while there are fewer voters
}
