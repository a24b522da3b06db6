// Package core is the reducer: the only place where the system makes decisions.
//
// A process has one State, owned by its control goroutine. Reduce takes one event with
// its time and random number, changes the state, and returns effects as data. Parts of
// the decision are left to sub-reducers in packages of their own: consensus (the
// replicated log), fleet (the replicated state), lease (who may serve), gateway
// (requests held for callers), dispatch (the request queues), placement (tasks on
// workers), maintenance (hosts and pools) and burn (counts for the objectives). Reduce
// routes events to them and their messages to each other.
//
// On a platform whose workers the leader calls, more sub-reducers take part: relay
// (calls held for callers), handler (the leader's decisions on calls), schedule (tasks
// on workers), delegate (calls to workers, spread over the replicas) and hosts (hosts
// and pools).
package core

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/delegate"
	"primrosedale.example/primrosedale/core/dispatch"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/gateway"
	"primrosedale.example/primrosedale/core/handler"
	"primrosedale.example/primrosedale/core/hosts"
	"primrosedale.example/primrosedale/core/lease"
	"primrosedale.example/primrosedale/core/maintenance"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/placement"
	"primrosedale.example/primrosedale/core/relay"
	"primrosedale.example/primrosedale/core/schedule"
	"primrosedale.example/primrosedale/core/view"
)

// Parameters of the replicated log; docs/design.md gives the reasons.
const (
	HeartbeatInterval  = 200 * model.Millisecond
	ElectionTimeoutMin = 800 * model.Millisecond
	ElectionTimeoutMax = 1200 * model.Millisecond
	TickInterval       = 50 * model.Millisecond
	maxAppendEntries   = 256
	maxInflight        = 8
	snapshotEvery      = 10_000
)

// Config does not change while a process runs.
type Config struct {
	Host        model.HostID
	DataCentre  model.DataCentreID
	Incarnation model.Incarnation // of the process
	Replica     model.Incarnation // of the data folder; equals Incarnation without one
	Durable     bool              // the process has a data folder
	Peers       []model.HostID    // the other hosts of the cluster
	MaxVoters   int               // new hosts with a data folder become voters up to this number
	// SnapshotEvery is the number of applied entries between two snapshots; zero
	// stands for the default of 10,000.
	SnapshotEvery uint64
	// Policy orders the requests; empty stands for the default.
	Policy dispatch.PolicyName
	// HostPolicy plans moves and drains of hosts; empty stands for the default.
	HostPolicy maintenance.PolicyName
	// MaxInflight is the number of unanswered appends that may be in flight to one
	// replica; zero stands for the default of 8. With a small number, commands that
	// arrive while an answer is awaited share the next append.
	MaxInflight int
	// Bounds are the limits of a platform whose workers the leader calls. With the zero
	// Bounds no jobs with steps are run.
	Bounds schedule.Bounds
	// Seeds are the replicas to ask which one leads.
	Seeds []model.HostID
}

type logNode = consensus.Node[fleet.Command, *fleet.State]

// Stored is what the data folder holds at start.
type Stored = consensus.Stored[fleet.Command, *fleet.State]

// State is the control state of one process.
type State struct {
	cfg        Config
	log        *logNode
	fleet      *fleet.State
	holder     *lease.Holder
	table      *gateway.Table
	relay      *relay.Table
	agent      *delegate.Agent
	commits    commitSamples
	horizon    callHorizon
	leading    *leadership // nil unless this process leads
	burn       *burn.Sender
	objectives objectiveKeys // counters needed under the rules that this host has applied

	leaseTerm   uint64 // the last term in which this process held the leader lease
	leaseCommit uint64 // commit index when it got that lease; the leader acts once it has applied it

	pending       map[model.CommandID]*pendingCommand
	loggedTerm    uint64                             // the last term that was logged
	replicas      map[model.HostID]model.Incarnation // incarnation of the latest voter of each host
	loggedServing bool                               // whether the last lease event logged says that this host serves
	stopping      bool
	stopAt        model.Time
	halted        bool
	stallLogged   bool // for the current stall of the disk

	now              model.Time
	rand             uint64
	out              []effect.Effect
	local            []message.Message // messages of this process to itself that are not handled yet
	view             *view.View
	viewControlIndex uint64 // fleet.State.ControlIndex when view was made

	keys             map[model.Digest]model.TeamID // keys in force
	keysControlIndex uint64                        // fleet.State.ControlIndex when keys was made
}

// pendingCommand is a command that was submitted on this host and is not applied here
// yet.
type pendingCommand struct {
	command  fleet.Command
	deadline model.Time
	resendAt model.Time
}

// leadership is the state of a leader in one term. It is kept in memory only.
type leadership struct {
	term    uint64
	granter *lease.Granter
	owner   *dispatch.Owner
	placer  *placement.Placer
	planner *maintenance.Planner

	handler       *handler.Handler      // nil if no jobs are run
	dispatcher    *delegate.Dispatcher  // nil if no jobs are run
	scheduler     *schedule.Scheduler   // nil if no jobs are run
	hosts         *hosts.Planner        // nil if no jobs are run
	members       []model.HostID        // sorted
	silent        map[model.HostID]bool // members whose lease has ended
	startedAt     model.Time
	startClock    model.Time      // fleet.State.Now when the term began
	deferred      []fleet.Command // proposed while the log accepted no commands
	loggedInForce uint64          // index of the last change of rules or keys logged as in force
	burn          *burn.Collector
}

// New returns the State of a process that starts from the stored log and snapshot.
func New(cfg Config, stored Stored, now model.Time, rand uint64) (*State, error) {
	node, err := consensus.New[fleet.Command, *fleet.State](consensus.Config{
		ID:                 consensus.NodeID{Host: cfg.Host, Incarnation: cfg.Replica},
		Peers:              cfg.Peers,
		Durable:            cfg.Durable,
		ElectionTimeoutMin: ElectionTimeoutMin,
		ElectionTimeoutMax: ElectionTimeoutMax,
		HeartbeatInterval:  HeartbeatInterval,
		MaxAppendEntries:   maxAppendEntries,
		MaxInflight:        cmp.Or(cfg.MaxInflight, maxInflight),
		SnapshotEvery:      cmp.Or(cfg.SnapshotEvery, snapshotEvery),
		MaxVoters:          cfg.MaxVoters,
	}, stored)
	if err != nil {
		return nil, err
	}
	s := &State{
		cfg:    cfg,
		log:    node,
		fleet:  fleet.New(),
		holder: lease.NewHolder(cfg.Incarnation, cfg.DataCentre),
		table:  gateway.New(cfg.Incarnation),
		relay: relay.New(relay.Config{
			Host: cfg.Host, Incarnation: cfg.Incarnation, Replica: cfg.Durable, Seeds: cfg.Seeds,
			DurableRefusals: cfg.Bounds.Enabled(schedule.DurableRefusals),
		}),
		agent:    delegate.NewAgent(cfg.DataCentre),
		burn:     burn.NewSender(),
		pending:  make(map[model.CommandID]*pendingCommand),
		view:     &view.View{},
		replicas: make(map[model.HostID]model.Incarnation),
	}
	if stored.Snapshot != nil && stored.Snapshot.State != nil {
		s.fleet = stored.Snapshot.State.Clone()
		s.fleet.RebuildIndex()
	}
	s.loadReplicas(stored.Snapshot)
	s.loggedTerm = node.Status().Term
	node.Start(now, rand)
	return s, nil
}

func (s *State) emit(effects ...effect.Effect) {
	for _, e := range effects {
		if send, ok := e.(effect.Send); ok && send.To == s.cfg.Host {
			s.local = append(s.local, send.Message)
			continue
		}
		s.out = append(s.out, e)
	}
}

func (s *State) send(to model.HostID, m message.Message) {
	s.emit(effect.Send{To: to, Message: m})
}

func (s *State) env() dispatch.Env {
	return dispatch.Env{
		Now:          s.now,
		Fleet:        s.fleet,
		Granter:      s.leading.granter,
		Members:      s.leading.members,
		TasksRunning: s.tasksRunning,
		Policy:       s.cfg.Policy,
	}
}

// tasksRunning returns the number of tasks that a team has on workers, including those
// whose placement is proposed.
func (s *State) tasksRunning(team model.TeamID) int {
	n := s.fleet.PlacedByTeam(team)
	if s.leading.placer != nil {
		n += s.leading.placer.PendingByTeam(team)
	}
	return n
}

func memberHosts(f *fleet.State) []model.HostID {
	hosts := make([]model.HostID, 0, len(f.Members))
	for h := range f.Members {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return hosts
}
