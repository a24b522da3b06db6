package tracegen

import (
	"fmt"
	"slices"
	"strings"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
	"primrosedale.example/primrosedale/replay"
)

// workerCapacity is the capacity of a worker in both deployments.
var workerCapacity = model.Resources{MilliCPU: 64_000, MemoryMB: 256_000}

// Parameters of the scenario tasks; other scenarios use some of them too.
const (
	taskLoad              = 0.5  // fraction of the processors of the pools that are not spare
	taskCores             = 8.0  // mean true size over all programs
	programsPerTeam       = 4    // each program has its own mean size
	sizeSpread            = 0.2  // standard deviation of the logarithm of the true sizes of a program
	taskRun               = 30.0 // mean true run time in seconds
	declaredSpread        = 0.8  // standard deviation of the logarithm of the ratio of declared to true values
	neverRunsFraction     = 0.03 // fraction of the tasks that fail on every worker
	nonIdempotentFraction = 0.3  // fraction of the tasks that may run only once
	failingWorkers        = 2    // workers that fail every task
	cancelledTaskFraction = 0.5  // fraction of the recent tasks that are cancelled together
	cancelledTaskWindow   = 30.0 // seconds; largest age of the tasks that are cancelled together
)

// mixedTasks runs tasks on the workers that the rules name, while the waves of the
// rules are in progress. It includes wrong declarations, tasks that fail on every
// worker, workers that fail every task, a burst of cancellations, and the loss and
// return of a data centre.
func (g *generator) mixedTasks() {
	r := g.rules
	g.startWorkers(r)
	g.submitTasks(r)
	g.cancelTasks(g.seconds / 3)
	lost := g.deployment.dataCentres[0]
	g.add(g.seconds/2, replay.Event{Centre: &replay.Centre{ID: lost, Lost: true}})
	g.add(g.seconds/2+3, replay.Event{Operators: &replay.RulesChange{Centre: lost, Out: true}})
	g.add(g.seconds/2+40, replay.Event{Centre: &replay.Centre{ID: lost}})
	g.add(g.seconds/2+45, replay.Event{Operators: &replay.RulesChange{Centre: lost}})
}

// startWorkers adds the start of the hosts of the rules, whose names are
// DATA CENTRE-RACK-NUMBER. Some of them fail every task.
func (g *generator) startWorkers(r *rules.Rules) {
	var ids []string
	for id := range r.Hosts {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	bad := g.rand.Perm(len(ids))[:failingWorkers]
	for i, id := range ids {
		rack := id[:strings.LastIndex(id, "-")]
		centre := rack[:strings.LastIndex(rack, "-")]
		g.add(0, replay.Event{Worker: &replay.Worker{
			ID: model.HostID(id), DataCentre: model.DataCentreID(centre), Rack: model.RackID(rack),
			Capacity: workerCapacity, Image: "first", Fails: slices.Contains(bad, i),
		}})
	}
}

// submitTasks adds the tasks of every pool that is not spare. The teams submit them
// in turn.
func (g *generator) submitTasks(r *rules.Rules) {
	teams := model.SortedKeys(r.Teams)
	pools := coresOf(r)
	n := 0
	for _, pool := range model.SortedKeys(pools) {
		rate := taskLoad * pools[pool] / taskCores / taskRun
		for at := 5.0; ; n++ {
			if at += g.rand.ExpFloat64() / rate; at >= g.seconds-4*taskRun {
				break
			}
			g.add(at, replay.Event{Task: g.newTask(n, teams[n%len(teams)], pool)})
		}
	}
}

// coresOf returns the number of cores in every pool that is not spare.
func coresOf(r *rules.Rules) map[model.PoolID]float64 {
	cores := make(map[model.PoolID]float64)
	for _, h := range r.Hosts {
		if !r.Pools[h.Pool].Spare {
			cores[h.Pool] += float64(workerCapacity.MilliCPU) / 1000
		}
	}
	return cores
}

func (g *generator) newTask(n int, team model.TeamID, pool model.PoolID) *replay.Task {
	program := g.rand.IntN(programsPerTeam)
	mean := taskCores * (0.5 + float64(program)) * 2 / programsPerTeam
	cores := min(max(g.lognormal(mean, sizeSpread), 1), 32)
	run := g.lognormal(taskRun, 0.6)
	size := func(factor float64) model.Resources {
		milli := int64(min(cores*factor, 48) * 1000)
		return model.Resources{MilliCPU: max(milli, 100), MemoryMB: max(milli*3, 100)}
	}
	return &replay.Task{
		ID: model.TaskID(fmt.Sprintf("task-%d", n)), Team: team, Pool: pool,
		Program: fmt.Sprintf("program-%d", program),
		Size:    size(1), DeclaredSize: size(g.lognormal(1, declaredSpread)),
		Run: seconds(run), DeclaredRun: seconds(run * g.lognormal(1, declaredSpread)), MaxRun: seconds(20 * taskRun),
		Idempotent: g.rand.Float64() >= nonIdempotentFraction, NeverRuns: g.rand.Float64() < neverRunsFraction,
	}
}

func (g *generator) cancelTasks(at float64) {
	for _, e := range slices.Clone(g.trace.Events) {
		recent := e.Task != nil && e.At < seconds(at) && e.At > seconds(at-cancelledTaskWindow)
		if recent && g.rand.Float64() < cancelledTaskFraction {
			g.add(at, replay.Event{CancelTask: &replay.Abandon{ID: string(e.Task.ID)}})
		}
	}
}
