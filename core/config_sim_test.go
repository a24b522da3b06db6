package core

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// The rules on changes of the configuration.
const (
	configApply     = 2 * model.Second // an acknowledged change is in force everywhere
	contactTime     = 3 * model.Second // after a fault, until a host counts as in touch
	configGivenUp   = 6 * model.Second // a change without an acknowledgement is given up
	configRoutes    = 4
	configKeys      = 3
	firstBodyBytes  = 1000 // body limit of version 0; each version has one byte more
	configFaultsEnd = 25 * model.Second
	longestStop     = 8 * model.Second
)

// configSim changes the configuration at the replicas, reads it at all hosts and makes
// calls at the entry hosts whose answers depend on the version in force.
//
// The leader alone decides calls, so the checks are stricter than the rules: a call that
// is made after an answer showed the effect of a version sees that version or a later one.
type configSim struct {
	*callers
	sent    []*sentConfig
	version uint64
	floor   uint64 // newest version that was acknowledged or had an effect
	acked   []ackedConfig
	limits  map[model.HostID]entryLimit
	changed model.Time // latest start or end of a fault
	counts  struct{ acks, resends, reads, refused, served, limits, kills, stops, lostDisks int }
}

// sentConfig is one content that was sent under a version.
type sentConfig struct {
	config *jobs.Config
	never  bool // it is invalid, or other content than that of the version held
}

type ackedConfig struct {
	version uint64
	at      model.Time
}

type entryLimit struct {
	incarnation int
	bytes       int64
}

func newConfigSim(t *testing.T, seed uint64) *configSim {
	s := &configSim{callers: newCallers(t, seed, 5, 4, 1, 0), version: 1, floor: 1, limits: make(map[model.HostID]entryLimit)}
	s.slowDisks, s.snapshotEvery, s.clockStep = true, 20, 10*model.Second
	s.sent = append(s.sent, &sentConfig{config: s.replicas[0].state.fleet.Jobs.Config})
	for _, r := range s.replicas {
		s.startReplica(r)
	}
	s.run(4 * model.Second)
	s.changed = s.now
	return s
}

// draft returns a valid configuration with a random set of routes and keys.
func (s *configSim) draft(version uint64) *jobs.Config {
	s.seq++
	c := &jobs.Config{
		Version: version, Document: fmt.Sprintf("version %d, draft %d", version, s.seq),
		Services: map[model.ServiceID]jobs.Service{"render": {}},
		Teams:    map[model.TeamID]jobs.Team{"team": {Weight: 100}},
		Keys:     make(map[model.Digest]model.TeamID),
		Limits:   jobs.Limits{BodyBytes: firstBodyBytes + int64(version)},
	}
	for i := range configRoutes {
		if s.rng.IntN(2) == 0 {
			c.Queues = append(c.Queues, jobs.Queue{
				ID: model.QueueID(fmt.Sprint("r", i)), Host: "h", Prefix: fmt.Sprintf("/r%d/", i), Service: "render",
				MaxAttempts: 3, Stretch: 100, Target: model.Second, Timeout: s.between(model.Second, 3*model.Second), Open: i == 0,
			})
		}
	}
	for i := range configKeys {
		if s.rng.IntN(2) == 0 {
			c.Keys[model.Digest(fmt.Sprint("k", i))] = "team"
		}
	}
	return c
}

// callAt makes a call at a host. handle gets its answer, nil if there was none, and the
// newest version that had been seen when it was made. Some callers do not see their answer.
func (s *configSim) callAt(r *simReplica, patience model.Duration, c call.Call, handle func(a *call.Answer, floor uint64)) {
	s.seq++
	c.Seq, c.Patience = s.seq, patience
	floor, incarnation := s.floor, r.incarnation
	arrived := event.CallArrived{Call: c}
	s.after(s.between(0, 3*millisecond), func() { s.read(r, incarnation, arrived) })
	until := s.now.Add(patience + 150*millisecond)
	if s.rng.IntN(10) == 0 {
		until = s.now.Add(s.between(0, 100*millisecond))
	}
	var wait func()
	wait = func() {
		a, answered := s.answers[c.Seq]
		switch {
		case answered:
			handle(&a, floor)
		case s.now < until:
			s.after(5*millisecond, wait)
		default:
			s.read(r, incarnation, event.CallAbandoned{Seq: c.Seq, Class: event.ClassOf(arrived)})
			handle(nil, floor)
		}
	}
	wait()
}

func (s *configSim) anyReplica() *simReplica { return s.replicas[s.rng.IntN(len(s.replicas))] }

func (s *configSim) anyEntry() *simReplica { return s.entries[s.rng.IntN(len(s.entries))] }

// operate makes changes, repeats them, and sends what must not take effect.
func (s *configSim) operate(until model.Time) {
	if s.now >= until {
		return
	}
	switch kind := s.rng.IntN(20); {
	case kind < 11 || s.counts.acks == 0:
		s.version += 1 + s.rng.Uint64N(3)
		s.send(&sentConfig{config: s.draft(s.version)}, configGivenUp)
	case kind < 17:
		s.counts.resends++
		s.send(s.sent[max(0, len(s.sent)-1-s.rng.IntN(4))], configGivenUp)
	case kind < 19:
		s.send(&sentConfig{config: s.draft(s.floor), never: true}, model.Second)
	default:
		s.version++
		invalid := s.draft(s.version)
		invalid.Queues = append(invalid.Queues, jobs.Queue{ID: "x", Host: "h", Prefix: "/x/", Service: "unknown", Timeout: model.Second})
		s.send(&sentConfig{config: invalid, never: true}, model.Second)
	}
	s.after(s.between(10*millisecond, 500*millisecond), func() { s.operate(until) })
}

// send sends a change to one replica after the other until it is acknowledged.
func (s *configSim) send(c *sentConfig, patience model.Duration) {
	if !slices.Contains(s.sent, c) {
		s.sent = append(s.sent, c)
	}
	until := s.now.Add(patience)
	var attempt func()
	attempt = func() {
		s.callAt(s.anyReplica(), 850*millisecond, call.Call{Configure: c.config}, func(a *call.Answer, _ uint64) {
			switch {
			case a != nil && a.Problem == nil:
				s.acknowledged(c)
			case a != nil && a.Problem.Kind == problem.ConfigRejected:
				require.Error(s.t, c.config.Check(), "a valid change is refused: %v", a.Problem)
			case s.now < until:
				s.after(s.between(0, 100*millisecond), attempt)
			}
		})
	}
	attempt()
}

func (s *configSim) acknowledged(c *sentConfig) {
	require.NoError(s.t, c.config.Check(), "an invalid change is acknowledged")
	s.counts.acks++
	s.acked = append(s.acked, ackedConfig{c.config.Version, s.now})
	s.floor = max(s.floor, c.config.Version)
}

// readAll reads the configuration at all hosts, again and again.
func (s *configSim) readAll(until model.Time) {
	if s.now >= until {
		return
	}
	for _, r := range slices.Concat(s.replicas, s.entries) {
		s.callAt(r, 850*millisecond, call.Call{ReadConfig: &call.ReadConfig{}}, func(a *call.Answer, floor uint64) {
			if a != nil && a.Problem == nil {
				s.checkRead(r, a.Document, floor)
			} else if a != nil {
				require.NotEqual(s.t, problem.NotConfigured, a.Problem.Kind, "%s has no configuration", r.host)
			}
		})
	}
	s.after(s.between(20*millisecond, 300*millisecond), func() { s.readAll(until) })
}

func (s *configSim) checkRead(r *simReplica, document string, floor uint64) {
	s.counts.reads++
	i := slices.IndexFunc(s.sent, func(c *sentConfig) bool { return c.config.Document == document })
	require.GreaterOrEqual(s.t, i, 0, "%s answers with a document that was not sent", r.host)
	c := s.sent[i]
	require.False(s.t, c.never, "%s answers with %q, which must not take effect", r.host, document)
	require.GreaterOrEqual(s.t, c.config.Version, floor, "%s answers with an older version", r.host)
	s.floor = max(s.floor, c.config.Version)
}

// callQueues makes calls that need a route and a key.
func (s *configSim) callQueues(until model.Time) {
	if s.now >= until {
		return
	}
	e, route := s.anyEntry(), s.rng.IntN(configRoutes)
	address := call.Address{Host: "h", Path: fmt.Sprintf("/r%d/", route), Key: model.Digest(fmt.Sprint("k", s.rng.IntN(configKeys)))}
	if route == 0 {
		address.Key = ""
	}
	c := call.Call{Query: &address}
	switch id := fmt.Sprintf("%016x", s.seq); s.rng.IntN(4) {
	case 0:
		address.Path += id
	case 1:
		address.Path += id
		c = call.Call{Cancel: &address}
	case 2:
		address.Path += id
		step := jobs.Step{Tasks: 1, Size: model.Resources{MilliCPU: 1000}, Estimate: model.Second}
		c = call.Call{Submit: &call.Submit{Address: address, Job: jobs.Job{Steps: []jobs.Step{step}, Rounds: make([]jobs.Round, 1)}}}
	}
	s.callAt(e, callerPatience-callerMargin, c, func(a *call.Answer, floor uint64) {
		if a != nil {
			s.checkAnswer(e, &address, a.Problem, floor)
		}
	})
	s.after(s.between(5*millisecond, 60*millisecond), func() { s.callQueues(until) })
}

// checkAnswer checks that a version which may be in force allows the answer.
func (s *configSim) checkAnswer(e *simReplica, address *call.Address, p *problem.Problem, floor uint64) {
	kind := problem.Kind("")
	switch {
	case p == nil, p.Kind == problem.UnknownJob, p.Kind == problem.QueueOverloaded:
		s.counts.served++
	case p.Kind == problem.UnknownQueue, p.Kind == problem.CallKeyRejected:
		s.counts.refused++
		kind = p.Kind
	default:
		require.NotEqual(s.t, problem.NotConfigured, p.Kind, "%s has no configuration", e.host)
		return
	}
	var oldest uint64
	for _, c := range s.sent {
		if !c.never && c.config.Version >= floor && refusalUnder(c.config, address) == kind && (oldest == 0 || c.config.Version < oldest) {
			oldest = c.config.Version
		}
	}
	require.NotZero(s.t, oldest, "%s answers %v to %+v, which no version from %d on allows", e.host, p, address, floor)
	s.floor = max(s.floor, oldest)
}

// refusalUnder returns the kind of refusal that a configuration demands, empty for none.
func refusalUnder(c *jobs.Config, a *call.Address) problem.Kind {
	q, _ := c.Find(a.Host, a.Path)
	if q == nil {
		return problem.UnknownQueue
	}
	if _, known := c.Keys[a.Key]; !known && (a.Key != "" || !q.Open) {
		return problem.CallKeyRejected
	}
	return ""
}

// checkLimits checks the body limits that the entry hosts apply themselves.
func (s *configSim) checkLimits(until model.Time) {
	if s.now >= until {
		return
	}
	for _, e := range s.entries {
		now := entryLimit{e.incarnation, e.state.relay.BodyLimit()}
		if before := s.limits[e.host]; before.incarnation == now.incarnation {
			require.GreaterOrEqual(s.t, now.bytes, before.bytes, "%s goes back to an older body limit", e.host)
		}
		s.limits[e.host] = now
		if s.now < max(s.changed, s.stalledUntil).Add(contactTime) {
			continue
		}
		for _, a := range s.acked {
			if s.now > a.at.Add(configApply) {
				s.counts.limits++
				require.GreaterOrEqual(s.t, now.bytes, firstBodyBytes+int64(a.version), "%s applies an older body limit", e.host)
			}
		}
	}
	s.after(50*millisecond, func() { s.checkLimits(until) })
}

// restartInSeries kills or stops hosts, which start again, and cuts hosts off, from one
// other or from all. With short gaps the faults overlap.
func (s *configSim) restartInSeries(until model.Time) {
	if s.now >= until {
		return
	}
	r := s.anyReplica()
	switch l := s.leader(); {
	case l != nil && s.rng.IntN(3) == 0:
		r = l
	case s.rng.IntN(4) == 0:
		r = s.anyEntry()
	}
	end := s.between(100*millisecond, 4*model.Second)
	switch kind := s.rng.IntN(8); {
	case r.state.halted:
	case kind < 2:
		s.cutPairs[pairOf(r, s.anyReplica())] = s.now.Add(end)
	case kind < 3:
		r.cutUntil = s.now.Add(end)
	case kind < 4:
		s.counts.stops++
		s.stopAndStart(r)
		end = longestStop
	default:
		s.counts.kills++
		s.kill(r, end/2)
	}
	s.changed = max(s.changed, s.now.Add(end))
	s.after(s.between(100*millisecond, 3*model.Second), func() { s.restartInSeries(until) })
}

// stopAndStart stops a process as an operator does, and starts it again once it has ended.
func (s *configSim) stopAndStart(r *simReplica) {
	incarnation := r.incarnation
	s.deliver(r, incarnation, event.StopRequested{})
	s.after(longestStop-model.Second, func() {
		r.partitioned = false
		switch {
		case r.state.halted && r.incarnation == incarnation+1:
			s.startReplica(r)
		case r.incarnation == incarnation:
			s.kill(r, model.Second)
		}
	})
}

// loseDisk ends the process of a replica, which starts again with an empty data folder.
func (s *configSim) loseDisk(r *simReplica) {
	if r.state.halted {
		return
	}
	s.counts.lostDisks++
	s.kill(r, s.between(model.Second, 2*model.Second))
	r.stored, r.disk = Stored{}, "2"
}

// disturbAll adds freezes, cuts of whole hosts and kills of all replicas.
func (s *configSim) disturbAll(until model.Time) {
	s.disturb(until)
	s.changed = max(s.changed, until.Add(5*model.Second))
}

// Guards against an answer that only an older configuration than an acknowledged one
// allows, a change that comes back older or is refused when it is sent again, an invalid
// change or other content of a version in force, and an entry host that goes back to an
// older limit: replicas and entry hosts restart in series, are cut off and freeze.
func TestConfirmedConfigurationsStayInForce(t *testing.T) {
	for seed := range simSeeds(t, 30) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			playConfigurations(newConfigSim(t, seed), seed%3 == 0)
		})
	}
}

func playConfigurations(s *configSim, disturbed bool) {
	faultsEnd := s.now.Add(configFaultsEnd)
	until := faultsEnd.Add(2 * contactTime)
	s.operate(until)
	s.readAll(until)
	s.callQueues(until)
	s.checkLimits(until)
	s.restartInSeries(faultsEnd)
	s.diskStalls = 0.02
	s.after(faultsEnd.Sub(s.now), func() { s.diskStalls = 0 })
	if s.rng.IntN(3) == 0 {
		s.after(s.between(0, 15*model.Second), func() { s.loseDisk(s.anyReplica()) })
	}
	if disturbed {
		s.disturbAll(faultsEnd)
	}
	s.run(until.Sub(s.now) + configGivenUp + model.Second)
	var newest uint64
	for _, a := range s.acked {
		newest = max(newest, a.version)
	}
	for _, r := range s.replicas {
		require.GreaterOrEqual(s.t, r.state.fleet.Jobs.Config.Version, newest, "%s has lost an acknowledged change", r.host)
	}
	require.NotZero(s.t, s.counts.reads)
	require.NotZero(s.t, s.counts.refused)
	require.NotZero(s.t, s.counts.served)
	s.t.Logf("%+v", s.counts)
}
