package consensus

import (
	"errors"
	"fmt"

	"primrosedale.example/primrosedale/core/model"
)

// Errors of New. ErrConfig marks an invalid configuration, and ErrStored a data
// folder whose contents are inconsistent with each other or with the configuration.
var (
	ErrConfig = errors.New("consensus: invalid configuration")
	ErrStored = errors.New("consensus: invalid stored state")
)

// defaultTrailingEntries is the number of entries that are kept in memory before a
// snapshot, so that a peer that lags slightly does not need the whole snapshot.
const defaultTrailingEntries = 1024

// Node is one member of the cluster that replicates the log, as a voter or as a
// non-voter.
type Node[C, S any] struct {
	cfg    Config
	now    model.Time // of the last call
	random uint64     // of the last call

	role       Role
	term       uint64
	vote       NodeID
	leader     NodeID
	lastHeard  model.Time // last message of the leader, or Start
	votedAt    model.Time // when the vote was given
	votingEnds model.Time // until then, other voters may still be writing their votes
	deadline   model.Time // when the next pre-vote is requested, unless this is a leader or a non-voter

	log             raftLog[C]
	snapshot        *Snapshot[S] // latest, for peers that need compacted entries
	memberships     []membership // ascending by index; the last one is in effect
	trailingEntries uint64       // entries kept before a snapshot; see defaultTrailingEntries

	preVotes   map[NodeID]bool // pre-votes granted to this node
	votes      map[NodeID]bool // votes granted to this node in its term; nil if none count
	leadership leadership
	joinState  joinState
	retired    bool // another node has reported that this identity is retired

	disk              durability
	deferred          *Message[C, S] // latest message that must wait until the writes in flight are reported
	pending           []pendingMessage[C, S]
	messages          []Message[C, S]
	snapshotToInstall *Snapshot[S] // installed from the leader; for the next Output
	ignored           uint64
}

// New returns a node that continues from the stored state. Its errors wrap ErrConfig
// or ErrStored.
func New[C, S any](cfg Config, stored Stored[C, S]) (*Node[C, S], error) {
	if err := checkConfig(cfg); err != nil {
		return nil, err
	}
	n := &Node[C, S]{cfg: cfg, memberships: []membership{{}}, trailingEntries: defaultTrailingEntries}
	n.term = stored.HardState.Term
	n.vote = stored.HardState.Vote
	if stored.Snapshot != nil {
		n.restoreSnapshot(*stored.Snapshot)
	}
	if err := n.restoreEntries(stored.Entries); err != nil {
		return nil, err
	}
	if n.log.lastTerm() > n.term {
		return nil, fmt.Errorf("%w: last entry has term %d, hard state has term %d", ErrStored, n.log.lastTerm(), n.term)
	}
	if !cfg.Durable && n.membership().contains(cfg.ID) {
		return nil, fmt.Errorf("%w: voter %v must be durable", ErrStored, cfg.ID)
	}
	n.disk.handedOutIndex = n.log.lastIndex()
	n.disk.persistedIndex = n.log.lastIndex()
	n.disk.hardStateTerm = n.term
	n.role = n.passiveRole()
	return n, nil
}

// Bootstrap returns the stored state with which each initial voter of a new cluster
// starts.
func Bootstrap[C, S any](voters []NodeID) Stored[C, S] {
	return Stored[C, S]{
		HardState: HardState{Term: 1},
		Entries:   []Entry[C]{{Index: 1, Term: 1, Kind: EntryVoters, Voters: voters}},
	}
}

func checkConfig(cfg Config) error {
	switch {
	case cfg.ID.Host == "" || cfg.ID.Incarnation == "":
		return fmt.Errorf("%w: ID %v is incomplete", ErrConfig, cfg.ID)
	case cfg.HeartbeatInterval <= 0:
		return fmt.Errorf("%w: HeartbeatInterval must be positive", ErrConfig)
	case cfg.ElectionTimeoutMin < 2*cfg.HeartbeatInterval:
		return fmt.Errorf("%w: ElectionTimeoutMin must be at least two heartbeats", ErrConfig)
	case cfg.ElectionTimeoutMax <= cfg.ElectionTimeoutMin:
		return fmt.Errorf("%w: ElectionTimeoutMax must exceed ElectionTimeoutMin", ErrConfig)
	case cfg.MaxAppendEntries < 1 || cfg.MaxInflight < 1:
		return fmt.Errorf("%w: MaxAppendEntries and MaxInflight must be positive", ErrConfig)
	}
	return nil
}

func (n *Node[C, S]) restoreSnapshot(snap Snapshot[S]) {
	n.snapshot = &snap
	n.log.reset(snap.Index, snap.Term)
	n.memberships = []membership{{
		index: snap.Index, voters: snap.Voters, outgoing: snap.Outgoing, retired: snap.Retired, vacated: snap.Vacated,
	}}
}

// restoreEntries appends the stored entries that follow the snapshot.
func (n *Node[C, S]) restoreEntries(entries []Entry[C]) error {
	for _, e := range entries {
		if e.Index <= n.log.prevIndex {
			continue
		}
		if e.Index != n.log.lastIndex()+1 || e.Term < n.log.lastTerm() {
			return fmt.Errorf("%w: entry %d of term %d follows entry %d of term %d",
				ErrStored, e.Index, e.Term, n.log.lastIndex(), n.log.lastTerm())
		}
		n.appendEntry(e)
	}
	return nil
}

// Start starts the timers. It must be called once, before any other method.
func (n *Node[C, S]) Start(now model.Time, rand uint64) {
	n.recordInputs(now, rand)
	n.lastHeard = now
	n.resetElectionTimer()
}

// Tick advances the time and performs the actions that are due. It must be called
// several times per heartbeat interval.
func (n *Node[C, S]) Tick(now model.Time, rand uint64) {
	n.recordInputs(now, rand)
	switch n.role {
	case Leader:
		n.tickLeader()
	case NonVoter:
		n.tickNonVoter()
	default:
		n.tickElection()
	}
}

// Step handles a message from another node. Messages that are malformed, invalid in
// the current state or not for this node are ignored and counted.
func (n *Node[C, S]) Step(now model.Time, rand uint64, m Message[C, S]) {
	n.recordInputs(now, rand)
	if n.isRetired() || !n.wellFormed(m) || !n.handle(m) {
		n.ignored++
	}
}

// handle dispatches a message and reports whether it was valid in the current state.
func (n *Node[C, S]) handle(m Message[C, S]) bool {
	switch m.Kind {
	case MsgPreVote:
		return n.handlePreVote(m)
	case MsgPreVoteReply:
		return n.handlePreVoteReply(m)
	case MsgVote:
		return n.handleVote(m)
	case MsgVoteReply:
		return n.handleVoteReply(m)
	case MsgAppend:
		return n.handleAppend(m)
	case MsgAppendReply:
		return n.handleAppendReply(m)
	case MsgSnapshot:
		return n.handleSnapshot(m)
	case MsgSnapshotReply:
		return n.handleSnapshotReply(m)
	case MsgJoin:
		return n.handleJoin(m)
	case MsgTimeoutNow:
		return n.handleTimeoutNow(m)
	case MsgRetired:
		return n.handleRetired()
	}
	return false
}

// Propose appends commands to the leader's log and returns the index of the first
// one. It returns false if this node is not the leader or is transferring the
// leadership, or if there are no commands. The entries are sent with the next
// Output, so that several proposals share messages.
func (n *Node[C, S]) Propose(cmds ...C) (first uint64, ok bool) {
	if n.role != Leader || n.leadership.transfer.active() || len(cmds) == 0 {
		return 0, false
	}
	first = n.log.lastIndex() + 1
	for i := range cmds {
		cmd := cmds[i]
		n.propose(Entry[C]{Kind: EntryCommand, Command: &cmd})
	}
	return first, true
}

// propose appends an entry with the next index and the leader's term.
func (n *Node[C, S]) propose(e Entry[C]) {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.term
	n.appendEntry(e)
}

// MakeSnapshot returns a snapshot of the state that results from applying the
// entries up to index, with its term and voters filled in. It returns false if index
// is not applied or already compacted. The caller persists the snapshot and then
// passes it to Compact.
func (n *Node[C, S]) MakeSnapshot(index uint64, state S) (Snapshot[S], bool) {
	term, ok := n.log.term(index)
	if !ok || index == 0 || index > n.log.applied {
		return Snapshot[S]{}, false
	}
	m, ok := n.membershipAt(index)
	if !ok {
		return Snapshot[S]{}, false
	}
	return Snapshot[S]{
		Index: index, Term: term, State: state,
		Voters: m.voters, Outgoing: m.outgoing, Retired: m.retired, Vacated: m.vacated,
	}, true
}

// Compact records a snapshot that is on disk and removes the entries that it covers,
// except the trailing ones that are kept for slow peers. The term and the voters of
// snap are filled in. Snapshots that are not newer than the last one, or not
// applied, are ignored.
func (n *Node[C, S]) Compact(snap Snapshot[S]) {
	complete, ok := n.MakeSnapshot(snap.Index, snap.State)
	if !ok || snap.Index <= n.snapshotIndex() {
		return
	}
	n.snapshot = &complete
	n.compactMemberships(snap.Index)
	if snap.Index > n.trailingEntries {
		n.log.compact(snap.Index - n.trailingEntries)
	}
}

// WantsSnapshot reports whether at least SnapshotEvery entries were applied since
// the last snapshot.
func (n *Node[C, S]) WantsSnapshot() bool {
	every := n.cfg.SnapshotEvery
	return every > 0 && n.log.applied >= n.snapshotIndex()+every
}

func (n *Node[C, S]) snapshotIndex() uint64 {
	if n.snapshot == nil {
		return 0
	}
	return n.snapshot.Index
}

// recordInputs stores the time and the random number of a call. The time never goes
// backwards.
func (n *Node[C, S]) recordInputs(now model.Time, rand uint64) {
	n.now = max(n.now, now)
	n.random = rand
}
