package tracegen

import (
	"fmt"
	"slices"
	"strings"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
	"primrosedale.example/primrosedale/replay"
)

// A worker of both deployments.
var workerCapacity = model.Resources{MilliCPU: 64_000, MemoryMB: 256_000}

// The tasks of the scenario.
const (
	taskLoad     = 0.5  // of the processors of the pools that have work
	taskCores    = 8.0  // mean true size over the programs
	programs     = 4    // kinds of tasks of each team
	sizeSpread   = 0.2  // deviation of the logarithm of true sizes within a kind
	taskRun      = 30.0 // mean true run time in seconds
	declared     = 0.8  // deviation of the logarithm of declared to true values
	neverRuns    = 0.03 // part of the tasks that fail on every worker
	nonRepeat    = 0.3  // part of the tasks that may run only once
	badWorkers   = 2    // workers that fail everything
	cancelled    = 0.5  // part of the tasks of the last seconds that one burst cancels
	cancelWithin = 30.0 // seconds
)

// tasks runs tasks on the workers that the rules name: wrong declarations,
// tasks that can never run, workers that fail everything, a burst of
// cancellations, the loss and return of a data centre, and the waves of the
// rules under way meanwhile.
func (w *writer) tasks() {
	r := w.rules
	w.workers(r)
	w.submissions(r)
	w.cancelTasks(w.seconds / 3)
	lost := w.deployment.centres[0]
	w.add(w.seconds/2, replay.Event{Centre: &replay.Centre{ID: lost, Lost: true}})
	w.add(w.seconds/2+3, replay.Event{Operators: &replay.RulesChange{Centre: lost, Out: true}})
	w.add(w.seconds/2+40, replay.Event{Centre: &replay.Centre{ID: lost}})
	w.add(w.seconds/2+45, replay.Event{Operators: &replay.RulesChange{Centre: lost}})
}

// workers starts the hosts of the rules. Their names are DATA CENTRE-RACK-NUMBER.
func (w *writer) workers(r *rules.Rules) {
	var ids []string
	for id := range r.Hosts {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	bad := w.rand.Perm(len(ids))[:badWorkers]
	for i, id := range ids {
		rack := id[:strings.LastIndex(id, "-")]
		centre := rack[:strings.LastIndex(rack, "-")]
		w.add(0, replay.Event{Worker: &replay.Worker{
			ID: model.HostID(id), DataCentre: model.DataCentreID(centre), Rack: model.RackID(rack),
			Capacity: workerCapacity, Image: "first", Fails: slices.Contains(bad, i),
		}})
	}
}

// submissions writes the tasks of every pool that is not spare, by the teams
// in turn.
func (w *writer) submissions(r *rules.Rules) {
	teams := model.SortedKeys(r.Teams)
	pools := coresOf(r)
	n := 0
	for _, pool := range model.SortedKeys(pools) {
		rate := taskLoad * pools[pool] / taskCores / taskRun
		for at := 5.0; ; n++ {
			if at += w.rand.ExpFloat64() / rate; at >= w.seconds-4*taskRun {
				break
			}
			w.add(at, replay.Event{Task: w.task(n, teams[n%len(teams)], pool)})
		}
	}
}

// coresOf returns the cores of every pool that is not spare.
func coresOf(r *rules.Rules) map[model.PoolID]float64 {
	cores := make(map[model.PoolID]float64)
	for _, h := range r.Hosts {
		if !r.Pools[h.Pool].Spare {
			cores[h.Pool] += float64(workerCapacity.MilliCPU) / 1000
		}
	}
	return cores
}

func (w *writer) task(n int, team model.TeamID, pool model.PoolID) *replay.Task {
	program := w.rand.IntN(programs)
	mean := taskCores * (0.5 + float64(program)) * 2 / programs
	cores := min(max(w.lognormal(mean, sizeSpread), 1), 32)
	run := w.lognormal(taskRun, 0.6)
	size := func(factor float64) model.Resources {
		milli := int64(min(cores*factor, 48) * 1000)
		return model.Resources{MilliCPU: max(milli, 100), MemoryMB: max(milli*3, 100)}
	}
	return &replay.Task{
		ID: model.TaskID(fmt.Sprintf("task-%d", n)), Team: team, Pool: pool,
		Program: fmt.Sprintf("program-%d", program),
		Size:    size(1), DeclaredSize: size(w.lognormal(1, declared)),
		Run: seconds(run), DeclaredRun: seconds(run * w.lognormal(1, declared)), MaxRun: seconds(20 * taskRun),
		Idempotent: w.rand.Float64() >= nonRepeat, NeverRuns: w.rand.Float64() < neverRuns,
	}
}

func (w *writer) cancelTasks(at float64) {
	for _, e := range slices.Clone(w.trace.Events) {
		recent := e.Task != nil && e.At < seconds(at) && e.At > seconds(at-cancelWithin)
		if recent && w.rand.Float64() < cancelled {
			w.add(at, replay.Event{CancelTask: &replay.Abandon{ID: string(e.Task.ID)}})
		}
	}
}
