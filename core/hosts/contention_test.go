package hosts

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// contentionLoad is a load that exceeds the fleet for some seconds.
type contentionLoad struct {
	name string
	play func(f *fleetReplay)
}

// jobKind describes the jobs of one kind: their tasks have log-normal times and sizes.
type jobKind struct {
	queue          model.QueueID
	extraStep      float64 // probability of a second step
	cores, largest float64
	median         model.Duration
	estimateSigma  float64
}

var (
	shortKind = jobKind{"short", 0.6, 6.2, 19, 930 * ms, 0.3}
	wideKind  = jobKind{"wide", 1, 13, 40, 1200 * ms, 0.9}
)

func (f *fleetReplay) jobOf(k jobKind, team model.TeamID) *replayJob {
	steps := 1
	if f.rng.Float64() < k.extraStep {
		steps = 2
	}
	size := model.Resources{MilliCPU: int64(min(k.cores*f.rng.ExpFloat64()/2+k.cores/2, k.largest) * 1000), MemoryMB: 8_000}
	j := f.newJob(k.queue, steps, 8, size, k.median, func() model.Duration { return f.logNormal(k.median, k.estimateSigma) })
	j.Service = f.state.Config.Queue(k.queue).Service
	j.Team = team
	return j
}

const contentionTeams = 20

// newContentionReplay returns a fleet with 20 teams, two queues, and long-running tasks
// that leave workers partly used.
func newContentionReplay(t testing.TB, seed uint64, hosts int) *fleetReplay {
	f := newFleetReplay(t, hosts, model.Resources{MilliCPU: 64_000, MemoryMB: 128_000}, "short", "wide", "off")
	f.rng = rand.New(rand.NewPCG(seed, 7))
	f.state.Config.Queue("wide").Precedence = 1
	f.state.Config.Teams = make(map[model.TeamID]jobs.Team)
	for i := range contentionTeams {
		f.state.Config.Teams[team(i)] = jobs.Team{}
		f.teams[team(i)] = &replayResult{}
	}
	for i, queue := range []model.QueueID{"short", "wide"} {
		j := &replayJob{Job: jobs.Job{ID: model.JobID(fmt.Sprintf("%016x", 1<<32+i)), Queue: queue, Service: model.ServiceID(queue), Rounds: make([]jobs.Round, 1), Steps: []jobs.Step{
			{Tasks: 12, Size: model.Resources{MilliCPU: 9_000, MemoryMB: 9_000}, LongRunning: true, PerWorker: 1},
		}}}
		f.jobs[j.ID] = j
		f.submit(j)
	}
	return f
}

func team(i int) model.TeamID { return model.TeamID(fmt.Sprintf("team%02d", i)) }

// submitBursts submits jobs of random teams at a rate that is high for 4 s of each 16 s,
// from a given time on, and a twentieth of its mean between.
func (f *fleetReplay) submitBursts(k jobKind, mean float64, first, until model.Duration) {
	newJob := func() *replayJob { return f.jobOf(k, team(f.rng.IntN(contentionTeams))) }
	f.submitAtRate(mean/20, 0, until, newJob)
	for at := first; at < until; at += 16 * model.Second {
		f.submitAtRate(mean*4, at, at+4*model.Second, newJob)
	}
}

var contentionLoads = []contentionLoad{
	{"a team at 8 times its rate", func(f *fleetReplay) {
		const usual = 1.0 // jobs per second of one team
		for i := range contentionTeams {
			f.state.Config.Teams[team(i)] = jobs.Team{Weight: 1.3 * usual}
			newJob := func() *replayJob { return f.jobOf(shortKind, team(i)) }
			f.submitAtRate(usual, 0, 24*model.Second, newJob)
			if i == 0 {
				f.submitAtRate(7*usual, 8*model.Second, 18*model.Second, newJob)
			}
		}
		f.run(40 * model.Second)
	}},
	{"overlapping bursts of two queues", func(f *fleetReplay) {
		f.submitBursts(shortKind, 11, 3*model.Second, 34*model.Second)
		f.submitBursts(wideKind, 3.3, 5*model.Second, 34*model.Second)
		f.run(50 * model.Second)
	}},
	{"submissions repeated after 3 s without a leader", func(f *fleetReplay) {
		f.submitBursts(shortKind, 8, 3*model.Second, 34*model.Second)
		f.submitBursts(wideKind, 2.2, 11*model.Second, 34*model.Second)
		f.run(4 * model.Second)
		f.changeLeader(3 * model.Second)
		f.run(46 * model.Second)
	}},
	{"a long queue behind a short one of higher precedence", func(f *fleetReplay) {
		f.state.Config.Queue("wide").Service = "short"
		f.submitBursts(shortKind, 8, 3*model.Second, 34*model.Second)
		f.submitBursts(wideKind, 3.3, 2*model.Second, 34*model.Second)
		f.run(50 * model.Second)
	}},
}

func (r *replayResult) add(other replayResult) {
	r.asked += other.asked
	r.onTime += other.onTime
	r.late += other.late
	r.refused += other.refused
}

func TestContentionFigures(t *testing.T) {
	for _, load := range contentionLoads {
		sums := map[model.QueueID]*replayResult{"short": {}, "wide": {}}
		var greedy, others replayResult
		for seed := range uint64(4) {
			f := newContentionReplay(t, seed, 36)
			load.play(f)
			for queue, r := range f.results {
				sums[queue].add(*r)
			}
			for id, r := range f.teams {
				if id == team(0) {
					greedy.add(*r)
				} else {
					others.add(*r)
				}
			}
		}
		all := *sums["short"]
		all.add(*sums["wide"])
		t.Logf("ALL %+v", all)
		t.Logf("%s: short %+v wide %+v, team00 %+v others %+v", load.name, *sums["short"], *sums["wide"], greedy, others)
	}
}
