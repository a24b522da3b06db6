package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// machine applies random commands of several proposers to two replicas. From time
// to time the second is replaced by a decoded snapshot of the first.
type machine struct {
	first, second *State
	sent          []*Command
	coverage      map[string]int
	withdrawn     map[model.Digest]bool
	clone         *State // of first, taken at some point
	encoded       []byte // encoding of clone when it was taken
}

func draw[V any](t *rapid.T, name string, values ...V) V {
	return rapid.SampledFrom(values).Draw(t, name)
}

func drawName[N ~string](t *rapid.T, prefix string, n int) N {
	return N(fmt.Sprint(prefix, rapid.IntRange(1, n).Draw(t, prefix)))
}

func drawRules(t *rapid.T, revision uint64) *rules.Rules {
	r := &rules.Rules{Revision: revision, Pools: map[model.PoolID]rules.Pool{}, Teams: map[model.TeamID]rules.Team{}}
	for i := range rapid.IntRange(1, 3).Draw(t, "pools") {
		r.Pools[model.PoolID(fmt.Sprint("p", i+1))] = rules.Pool{
			HostsMin:       rapid.IntRange(0, 2).Draw(t, "hosts_min"),
			UnavailableMax: rapid.IntRange(0, 3).Draw(t, "unavailable_max"),
			Spare:          rapid.Bool().Draw(t, "spare"),
		}
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "teams") {
		r.Teams[model.TeamID(fmt.Sprint("t", i+1))] = rules.Team{Limit: rapid.IntRange(1, 3).Draw(t, "limit")}
	}
	out := draw(t, "out", false, false, true)
	r.DataCentres = map[model.DataCentreID]rules.DataCentre{"d1": {Out: out}}
	r.Hosts = map[model.HostID]rules.HostPlacement{"h1": {Pool: "p1"}, "h2": {Pool: "p1"}}
	return r
}

// drawCommand draws a command. It also returns the kind under which coverage counts
// the command.
func (m *machine) drawCommand(t *rapid.T) (string, *Command) {
	team := drawName[model.TeamID](t, "t", 3)
	claim := ClaimID{team, drawName[model.Digest](t, "key", 3)}
	request := drawName[model.RequestID](t, "r", 3)
	host := drawName[model.HostID](t, "h", 6)
	task := drawName[model.TaskID](t, "task", 30)
	pool := draw[model.PoolID](t, "pool", "p1", "p1", "p2", "p3")
	kind := draw(t, "kind", "rules", "grant", "withdraw", "claim", "complete", "release", "target", "remove",
		"report", "report", "drain", "drain", "drain", "reboot", "reboot", "return", "return",
		"submit", "submit", "place", "place", "place", "end", "end", "cancel")
	c := &Command{}
	switch kind {
	case "rules":
		base := draw(t, "base", m.first.Rules.Revision, m.first.Rules.Revision, 1)
		hash := drawName[model.Digest](t, "hash", 5)
		c.ApplyRules = &ApplyRules{Base: base, Hash: hash, Rules: drawRules(t, base+1)}
	case "grant":
		c.GrantKey = &GrantKey{Name: drawName[string](t, "k", 3), Hash: drawName[model.Digest](t, "digest", 4), Team: team}
	case "withdraw":
		c.WithdrawKey = &WithdrawKey{Name: drawName[string](t, "k", 3)}
	case "claim":
		c.Claim = &Claim{ClaimID: claim, Request: request, Body: drawName[model.Digest](t, "body", 2)}
	case "complete":
		c.Complete = &Complete{ClaimID: claim, Request: request, Status: 200, Unknown: rapid.Bool().Draw(t, "unknown")}
	case "release":
		c.Release = &Release{ClaimID: claim, Request: request}
	case "target":
		c.RegisterTarget = &RegisterTarget{Target: Target{ID: "x", Incarnation: drawName[model.Incarnation](t, "i", 2)}}
	case "remove":
		c.RemoveTarget = &RemoveTarget{ID: "x", Incarnation: drawName[model.Incarnation](t, "i", 2)}
	case "report":
		up := draw(t, "up", true, true, true, false)
		c.ReportHost = &ReportHost{Host: host, DataCentre: drawName[model.DataCentreID](t, "d", 2), Up: up, Image: draw(t, "image", "", "k9")}
	case "drain", "reboot", "return":
		move := draw(t, "move", "", pool)
		c.PlanHost = &PlanHost{Host: host, Action: HostAction(kind), Pool: move, Image: draw(t, "want", "", "", "k9")}
	case "submit":
		c = new(submit(task, team, pool))
		c.SubmitTask.Spec.Precedence = rapid.IntRange(0, 2).Draw(t, "precedence")
		c.SubmitTask.Spec.Idempotent = rapid.Bool().Draw(t, "idempotent")
	case "place":
		task = m.drawTask(t, TaskQueued, task)
		c.PlaceTask = &PlaceTask{Task: task, Worker: m.drawWorker(t, task, host)}
	case "end":
		outcome := draw(t, "outcome", OutcomeFinished, OutcomeFailed, OutcomeFailed, OutcomeNotStarted, OutcomeStopped, OutcomeLost)
		task = m.drawTask(t, TaskPlaced, task)
		epoch := rapid.Uint64Range(1, 3).Draw(t, "epoch")
		if known, ok := m.first.Tasks[task]; ok {
			epoch = draw(t, "current", epoch, known.Epoch, known.Epoch)
		}
		c.EndTask = &EndTask{Task: task, Epoch: epoch, Outcome: outcome}
	case "cancel":
		c.CancelTask = &CancelTask{Task: task, Team: team}
	}
	// Proposers' clocks differ; some commands are minutes apart.
	c.At = m.first.Now.Add(draw(t, "step", -model.Minute, model.Second, model.Second, 2*model.Minute))
	c.ID = draw(t, "id", "", model.CommandID(fmt.Sprint("c", len(m.sent))))
	return kind, c
}

// drawTask draws a task, mostly one in this phase.
func (m *machine) drawTask(t *rapid.T, phase TaskPhase, other model.TaskID) model.TaskID {
	tasks := []model.TaskID{other}
	for _, id := range slices.Sorted(maps.Keys(m.first.Tasks)) {
		if m.first.Tasks[id].Phase == phase {
			tasks = append(tasks, id)
		}
	}
	return draw(t, "task in phase", tasks...)
}

// drawWorker draws a host for a task, mostly one of its pool.
func (m *machine) drawWorker(t *rapid.T, id model.TaskID, other model.HostID) model.HostID {
	workers := []model.HostID{other}
	if task, ok := m.first.Tasks[id]; ok {
		for _, host := range slices.Sorted(maps.Keys(m.first.Hosts)) {
			if m.first.Hosts[host].Pool == task.Spec.Pool {
				workers = append(workers, host)
			}
		}
	}
	return draw(t, "worker", workers...)
}

func (m *machine) step(t *rapid.T) {
	kind, c := "resend", (*Command)(nil)
	if len(m.sent) > 0 && draw(t, "resend", false, false, false, false, true) {
		c = rapid.SampledFrom(m.sent).Draw(t, "earlier")
	} else {
		kind, c = m.drawCommand(t)
		m.sent = append(m.sent, c)
	}
	before := m.first.Clone()
	before.RebuildIndex()
	result := m.first.Apply(before.Index+1, c)
	require.Equal(t, result, m.second.Apply(before.Index+1, c))
	if result.Problem == nil {
		m.coverage[kind]++
	}
	m.checkRules(t, before)
	m.checkHosts(t, before)
	m.checkTasks(t, before)
	m.checkClaims(t, before)
	m.checkKeys(t)
}

func (m *machine) checkRules(t *rapid.T, before *State) {
	s := m.first
	require.GreaterOrEqual(t, s.Rules.Revision, before.Rules.Revision)
	require.LessOrEqual(t, s.Rules.Revision, before.Rules.Revision+1)
	require.GreaterOrEqual(t, s.ControlIndex, before.ControlIndex)
	for _, task := range s.Tasks {
		if task.Ended == 0 {
			require.Contains(t, s.Rules.Teams, task.Team)
			require.Contains(t, s.Rules.Pools, task.Spec.Pool)
		}
	}
}

// checkHosts guards against a host in no pool or in two, and against plans
// that make more hosts unavailable than the budget allows.
func (m *machine) checkHosts(t *rapid.T, before *State) {
	s := m.first
	planned := plannedUnavailable(s)
	plannedBefore := plannedUnavailable(before)
	hosts := s.HostsIn("")
	for pool, budget := range s.Rules.Pools {
		hosts += s.HostsIn(pool)
		if planned[pool] > plannedBefore[pool] {
			m.coverage["planned out"]++
			require.LessOrEqual(t, s.UnavailableIn(pool), budget.UnavailableMax)
		}
	}
	require.Equal(t, len(s.Hosts), hosts)
	for id, host := range s.Hosts {
		earlier, known := before.Hosts[id]
		if known && host.Pool != earlier.Pool {
			m.coverage["moved"]++
			require.Equal(t, HostRebooting, earlier.Phase)
			require.Empty(t, s.PlacedOn(id))
		}
		if host.MoveTo != "" && earlier.MoveTo == "" && host.Pool != "" {
			serving := s.HostsIn(host.Pool) - s.UnavailableIn(host.Pool)
			require.GreaterOrEqual(t, serving, s.Rules.Pools[host.Pool].HostsMin)
		}
	}
}

func plannedUnavailable(s *State) map[model.PoolID]int {
	planned := map[model.PoolID]int{}
	for _, host := range s.Hosts {
		if host.Phase != HostServing {
			planned[host.Pool]++
		}
	}
	return planned
}

// checkTasks guards against a placement over the team's limit, and against a task
// that runs again after it has ended, such as a lost one that must not run twice.
func (m *machine) checkTasks(t *rapid.T, before *State) {
	s := m.first
	for id, task := range s.Tasks {
		earlier, known := before.Tasks[id]
		if !known || task == earlier {
			continue
		}
		if earlier.Ended != 0 {
			// Only a new task may have the id of an ended one that has expired.
			require.Greater(t, s.Now.Sub(earlier.Ended), TaskRetention)
			require.Equal(t, s.Index, task.SubmitIndex)
			continue
		}
		if task.Epoch > earlier.Epoch {
			require.Equal(t, earlier.Epoch+1, task.Epoch)
			require.LessOrEqual(t, s.PlacedByTeam(task.Team), s.Rules.Teams[task.Team].Limit)
			require.False(t, s.Rules.DataCentres[s.Hosts[task.Worker].DataCentre].Out)
		}
		m.coverage["task "+string(task.Phase)]++
	}
}

// checkClaims guards against a claim that passes from one request to another
// without a release, and against a change of a claim that has ended.
func (m *machine) checkClaims(t *rapid.T, before *State) {
	for id, record := range m.first.Claims {
		earlier, known := before.Claims[id]
		if !known || record == earlier {
			continue
		}
		if earlier.State != ClaimHeld {
			require.Greater(t, m.first.Now.Sub(earlier.Since), ClaimRetention)
			continue
		}
		require.Equal(t, earlier.Request, record.Request)
		m.coverage["claim "+string(record.State)]++
	}
}

// checkKeys guards against a withdrawn key that is valid again.
func (m *machine) checkKeys(t *rapid.T) {
	for _, key := range m.first.Keys {
		if key.Withdrawn {
			m.withdrawn[key.Hash] = true
		}
	}
	for hash := range m.withdrawn {
		_, ok := m.first.TeamOfKey(hash)
		require.False(t, ok)
	}
}

// compare guards against an index that differs from a rebuilt one, against replicas
// that differ, and against a clone that changes.
func (m *machine) compare(t *rapid.T) {
	fresh := m.first.Clone()
	fresh.RebuildIndex()
	require.True(t, reflect.DeepEqual(withCompactQueues(fresh.index), withCompactQueues(m.first.index)))
	require.Equal(t, encode(t, m.first.Clone()), encode(t, m.second.Clone()))
	require.Equal(t, m.encoded, encode(t, m.clone), "a clone does not change")
}

// withCompactQueues returns x without the unused space in its queues, which a rebuilt
// index does not have.
func withCompactQueues(x *index) index {
	c := *x
	c.recent = fifo[model.CommandID]{items: append([]model.CommandID{}, x.recent.pending()...)}
	c.endedClaims = fifo[ClaimID]{items: append([]ClaimID{}, x.endedClaims.pending()...)}
	c.answers = fifo[ClaimID]{items: append([]ClaimID{}, x.answers.pending()...)}
	c.endedTasks = fifo[model.TaskID]{items: append([]model.TaskID{}, x.endedTasks.pending()...)}
	return c
}

func (m *machine) takeClone(t *rapid.T) {
	m.clone = m.first.Clone()
	m.encoded = encode(t, m.clone)
}

// restoreSecond replaces the second replica by a decoded snapshot of the first.
func (m *machine) restoreSecond(t *rapid.T) {
	restored := &State{}
	require.NoError(t, json.Unmarshal(encode(t, m.first.Clone()), restored))
	restored.RebuildIndex()
	m.second = restored
}

func encode(t *rapid.T, s *State) []byte {
	data, err := json.Marshal(s)
	require.NoError(t, err)
	return data
}

// Guards against commands that break an invariant of the state when they are
// repeated, stale or out of order.
func TestRandomCommands(t *testing.T) {
	coverage := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{first: New(), second: New(), coverage: coverage, withdrawn: map[model.Digest]bool{}}
		m.setUp()
		m.takeClone(t)
		t.Repeat(map[string]func(*rapid.T){
			"step":    func(t *rapid.T) { m.steps(t) },
			"clone":   m.takeClone,
			"restart": m.restoreSecond,
			"":        m.compare,
		})
	})
	// Checks that the generator reaches every relevant state.
	t.Log(coverage)
	for _, kind := range []string{"rules", "grant", "withdraw", "drain", "reboot", "return", "planned out", "moved",
		"task placed", "task queued", "task finished", "task cancelled", "task unknown", "claim complete", "claim unknown"} {
		require.NotZero(t, coverage[kind], "no command led to %q", kind)
	}
}

// setUp applies initial rules and host reports, so that few commands are refused
// because these are missing.
func (m *machine) setUp() {
	first := testRules(1)
	first.Teams = map[model.TeamID]rules.Team{"t1": {Limit: 2}, "t2": {Limit: 1}, "t3": {Limit: 3}}
	first.Pools = map[model.PoolID]rules.Pool{"p1": {HostsMin: 1, UnavailableMax: 2}, "p2": {UnavailableMax: 1}, "p3": {Spare: true}}
	first.Hosts = map[model.HostID]rules.HostPlacement{"h1": {Pool: "p1"}, "h2": {Pool: "p1"}, "h3": {Pool: "p1"}, "h4": {Pool: "p2"}}
	commands := []*Command{{ApplyRules: &ApplyRules{Hash: "hash1", Rules: first}}}
	for i := range 5 {
		id := model.HostID(fmt.Sprint("h", i+1))
		commands = append(commands, &Command{ReportHost: &ReportHost{Host: id, DataCentre: "d1", Up: true}})
	}
	for i, c := range commands {
		m.first.Apply(uint64(i+1), c)
		m.second.Apply(uint64(i+1), c)
	}
}

func (m *machine) steps(t *rapid.T) {
	for range 30 {
		m.step(t)
	}
}
