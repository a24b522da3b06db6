package fleet

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

// index holds data derived from the state, so that commands and queries need no
// scan. Entries whose count is zero are removed.
type index struct {
	keyNames map[model.Digest]string // granted and withdrawn keys
	teamKeys counter[model.TeamID]   // granted keys

	teamClaims  counter[model.TeamID] // held and ended claims
	heldClaims  map[ClaimID]struct{}
	endedClaims fifo[ClaimID]
	answers     fifo[ClaimID] // ended claims with a stored answer
	answerBytes int           // of the bodies of stored answers

	recent fifo[model.CommandID]

	queued     map[model.PoolID]*taskTree
	placedOn   map[model.HostID]map[model.TaskID]struct{}
	placed     counter[model.TeamID]
	teamTasks  counter[model.TeamID] // queued and placed
	poolTasks  counter[model.PoolID] // queued and placed
	endedTasks fifo[model.TaskID]
	phases     counter[TaskPhase]

	pools map[model.PoolID]poolCount
	hostCounts
}

// poolCount counts the hosts of one pool.
type poolCount struct {
	hosts       int
	unavailable int // of hosts: draining, rebooting or not up
	incoming    int // hosts of other pools that move to this one
}

// counter counts by key. Keys with a count of zero are absent.
type counter[K comparable] map[K]int

func (c counter[K]) add(key K, n int) {
	if c[key]+n == 0 {
		delete(c, key)
		return
	}
	c[key] += n
}

func newIndex() *index {
	return &index{
		keyNames:   make(map[model.Digest]string),
		teamKeys:   make(counter[model.TeamID]),
		teamClaims: make(counter[model.TeamID]),
		heldClaims: make(map[ClaimID]struct{}),
		queued:     make(map[model.PoolID]*taskTree),
		placedOn:   make(map[model.HostID]map[model.TaskID]struct{}),
		placed:     make(counter[model.TeamID]),
		teamTasks:  make(counter[model.TeamID]),
		poolTasks:  make(counter[model.PoolID]),
		phases:     make(counter[TaskPhase]),
		pools:      make(map[model.PoolID]poolCount),
		hostCounts: newHostCounts(),
	}
}

// RebuildIndex computes the index. Call it after decoding a state and before
// queries on a clone.
func (s *State) RebuildIndex() {
	s.initFields()
	s.index = newIndex()
	for name, key := range s.Keys {
		s.index.addKey(name, key)
	}
	for _, host := range s.Hosts {
		s.index.addHost(host)
	}
	for _, record := range sortedBy(s.Claims, func(r *ClaimRecord) uint64 { return r.Index }) {
		s.index.addClaim(record)
	}
	for _, task := range sortedBy(s.Tasks, func(t *Task) uint64 { return t.EndIndex }) {
		s.index.addTask(task)
	}
	s.rebuildRecent()
}

func (s *State) rebuildRecent() {
	ids := slices.Collect(maps.Keys(s.Recent))
	slices.SortFunc(ids, func(a, b model.CommandID) int {
		return cmp.Compare(s.Recent[a].Index, s.Recent[b].Index)
	})
	for _, id := range ids {
		s.index.recent.push(id)
	}
}

func sortedBy[K comparable, V any](m map[K]V, order func(V) uint64) []V {
	values := slices.Collect(maps.Values(m))
	slices.SortFunc(values, func(a, b V) int { return cmp.Compare(order(a), order(b)) })
	return values
}

// QueuedIn yields the queued tasks of a pool: larger precedence first, then in
// order of submission. The state must not change during the iteration.
func (s *State) QueuedIn(pool model.PoolID) iter.Seq[*Task] {
	return s.index.queued[pool].all()
}

// QueuedCount returns the number of queued tasks of a pool.
func (s *State) QueuedCount(pool model.PoolID) int {
	if tree, ok := s.index.queued[pool]; ok {
		return tree.size
	}
	return 0
}

// PlacedByTeam returns the number of tasks of a team that are on workers.
func (s *State) PlacedByTeam(team model.TeamID) int { return s.index.placed[team] }

// PlacedOn returns the tasks on a worker, sorted by id.
func (s *State) PlacedOn(host model.HostID) []*Task {
	ids := slices.Sorted(maps.Keys(s.index.placedOn[host]))
	tasks := make([]*Task, len(ids))
	for i, id := range ids {
		tasks[i] = s.Tasks[id]
	}
	return tasks
}

// TasksByPhase returns the number of stored tasks in each phase, including ended
// tasks until they expire.
func (s *State) TasksByPhase() map[TaskPhase]int { return maps.Clone(s.index.phases) }

// HostsIn returns the number of hosts of a pool.
func (s *State) HostsIn(pool model.PoolID) int { return s.index.pools[pool].hosts }

// UnavailableIn returns the number of hosts of a pool that are draining,
// rebooting or not up.
func (s *State) UnavailableIn(pool model.PoolID) int { return s.index.pools[pool].unavailable }

func (x *index) addKey(name string, key Key) {
	x.keyNames[key.Hash] = name
	if !key.Withdrawn {
		x.teamKeys.add(key.Team, 1)
	}
}

func (x *index) removeKey(key Key) {
	delete(x.keyNames, key.Hash)
	if !key.Withdrawn {
		x.teamKeys.add(key.Team, -1)
	}
}

func (x *index) addClaim(record *ClaimRecord) {
	x.teamClaims.add(record.Team, 1)
	if record.State == ClaimHeld {
		x.heldClaims[record.ClaimID] = struct{}{}
	} else {
		x.endedClaims.push(record.ClaimID)
	}
	if record.Answer != nil {
		x.answers.push(record.ClaimID)
		x.answerBytes += len(record.Answer.Body)
	}
}

// removeAnswer removes the oldest stored answer, which must be that of record, from
// the index.
func (x *index) removeAnswer(record *ClaimRecord) {
	x.answers.pop()
	x.answerBytes -= len(record.Answer.Body)
}

// removeClaim removes a held claim. Ended claims are removed only when they expire.
func (x *index) removeClaim(record *ClaimRecord) {
	x.teamClaims.add(record.Team, -1)
	delete(x.heldClaims, record.ClaimID)
}

func (x *index) addHost(host Host) { x.countHost(host, 1) }

func (x *index) removeHost(host Host) { x.countHost(host, -1) }

func (x *index) countHost(host Host, n int) {
	count := x.pools[host.Pool]
	count.hosts += n
	if host.Phase != HostServing || !host.Up {
		count.unavailable += n
	}
	x.setPool(host.Pool, count)
	x.hostCounts.count(host, n)
	if host.MoveTo != "" {
		count = x.pools[host.MoveTo]
		count.incoming += n
		x.setPool(host.MoveTo, count)
	}
}

func (x *index) setPool(pool model.PoolID, count poolCount) {
	if count == (poolCount{}) {
		delete(x.pools, pool)
		return
	}
	x.pools[pool] = count
}

func (x *index) addTask(task *Task) {
	x.phases.add(task.Phase, 1)
	switch task.Phase {
	case TaskQueued:
		x.countUnfinished(task, 1)
		tree, ok := x.queued[task.Spec.Pool]
		if !ok {
			tree = &taskTree{}
			x.queued[task.Spec.Pool] = tree
		}
		tree.insert(task)
	case TaskPlaced:
		x.countUnfinished(task, 1)
		x.placed.add(task.Team, 1)
		if x.placedOn[task.Worker] == nil {
			x.placedOn[task.Worker] = make(map[model.TaskID]struct{})
		}
		x.placedOn[task.Worker][task.ID] = struct{}{}
	default:
		x.endedTasks.push(task.ID)
	}
}

// removeTask removes an unfinished task. Ended tasks are removed only when they
// expire.
func (x *index) removeTask(task *Task) {
	x.phases.add(task.Phase, -1)
	x.countUnfinished(task, -1)
	switch task.Phase {
	case TaskQueued:
		tree := x.queued[task.Spec.Pool]
		tree.remove(task)
		if tree.size == 0 {
			delete(x.queued, task.Spec.Pool)
		}
	case TaskPlaced:
		x.placed.add(task.Team, -1)
		delete(x.placedOn[task.Worker], task.ID)
		if len(x.placedOn[task.Worker]) == 0 {
			delete(x.placedOn, task.Worker)
		}
	}
}

func (x *index) countUnfinished(task *Task, n int) {
	x.teamTasks.add(task.Team, n)
	x.poolTasks.add(task.Spec.Pool, n)
}
