package consensus

import (
	"errors"
	"fmt"

	"primrosedale.example/primrosedale/core/model"
)

// Errors of New. ErrConfig marks settings that cannot work, and ErrStored a
// data folder whose contents contradict each other or the settings.
var (
	ErrConfig = errors.New("consensus: invalid configuration")
	ErrStored = errors.New("consensus: invalid stored state")
)

// keptEntries is the number of entries kept before a snapshot, so that a peer
// that lags a little does not need the whole snapshot.
const defaultTrailingEntries = 1024

// Node is one replica or follower of the log.
type Node[C, S any] struct {
	cfg    Config
	now    model.Time // of the last call
	random uint64     // of the last call

	role      Role
	term      uint64
	vote      NodeID
	leader    NodeID
	lastHeard model.Time // last message of the leader, or Start
	deadline  model.Time // next election step, for roles that campaign

	log             raftLog[C]
	snapshot        *Snapshot[S] // latest, for slow peers
	memberships     []membership // by index; the last one is in effect
	trailingEntries uint64       // entries kept before a snapshot

	votes      map[NodeID]bool // granted to this candidate or pre-candidate
	leadership leadership
	joinState  joinState

	disk              durability
	deferred          *Message[C, S] // latest message that waits for the writes in flight
	pending           []pendingMessage[C, S]
	messages          []Message[C, S]
	snapshotToInstall *Snapshot[S] // to be handed out
	ignored           uint64
}

// New returns a node that continues from what is on disk. It returns
// ErrConfig or ErrStored, wrapped with the cause.
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

// Bootstrap returns the stored state that every first voter of a new cluster
// starts with.
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
	n.memberships = []membership{{index: snap.Index, voters: snap.Voters, retired: snap.Retired}}
}

// restoreEntries takes the stored entries after the snapshot.
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

// Start arms the timers. It is called once, before any other call.
func (n *Node[C, S]) Start(now model.Time, rand uint64) {
	n.recordInputs(now, rand)
	n.lastHeard = now
	n.resetElectionTimer()
}

// Tick lets time pass. It is called several times per heartbeat.
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

// Step handles a message from another node. Messages that are malformed,
// impossible or not for this node have no effect but to be counted.
func (n *Node[C, S]) Step(now model.Time, rand uint64, m Message[C, S]) {
	n.recordInputs(now, rand)
	if n.isRetired() || !n.wellFormed(m) || !n.handle(m) {
		n.ignored++
	}
}

// handle dispatches a message and reports whether it was possible.
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
	}
	return false
}

// Propose appends commands to the leader's log and returns the index of the
// first. It returns false on a node that is not the leader, that is handing
// over the leadership, or without commands. The entries are sent with the
// next Output, so that several proposals share messages.
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

// propose appends an entry of the leader's term.
func (n *Node[C, S]) propose(e Entry[C]) {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.term
	n.appendEntry(e)
}

// MakeSnapshot returns a snapshot of the state that results from applying the
// entries up to index, complete with term and voters. It returns false when
// index is not applied or already compacted. The caller persists the snapshot
// and passes it to Compact.
func (n *Node[C, S]) MakeSnapshot(index uint64, state S) (Snapshot[S], bool) {
	term, ok := n.log.term(index)
	if !ok || index == 0 || index > n.log.applied {
		return Snapshot[S]{}, false
	}
	m, ok := n.membershipAt(index)
	if !ok {
		return Snapshot[S]{}, false
	}
	return Snapshot[S]{Index: index, Term: term, Voters: m.voters, Retired: m.retired, State: state}, true
}

// Compact records a snapshot that is on disk and drops the entries it
// replaces, except a few for slow peers. Term and voters of snap are filled
// in. Snapshots that are older than the last one or not applied are ignored.
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

// WantsSnapshot reports whether SnapshotEvery entries were handed out since
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

func (n *Node[C, S]) recordInputs(now model.Time, rand uint64) {
	n.now = max(n.now, now)
	n.random = rand
}
