package proof

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/rulesfile"
	"primrosedale.example/primrosedale/standin"
)

// A deployment of the present production size: five services on 50 targets of 8
// slots, six teams, and nine entry hosts in three data centres.
const (
	deploymentTargets = 50
	targetSlots       = 8
	deploymentRun     = time.Second
	phaseLength       = 5 * time.Second
	meanLoad          = 0.4 // of the slots of a service
	burstFactor       = 5
	quietFactor       = 0.05
	lossAt, returnAt  = 8 * time.Second, 18 * time.Second
)

var (
	deploymentTeams    = []string{"press", "kreol", "french", "english", "archive", "orders"}
	deploymentServices = []string{"render", "typeset", "index", "order", "catalogue"}
)

// BenchmarkDeployment sends a burst to each queue in turn on real processes, with and
// without the sudden loss of a data centre, in which the entry hosts are killed, the
// targets stop while they run requests, and both return later. It reports the ratio
// of the requests answered to the maximum that the slots allowed.
func BenchmarkDeployment(b *testing.B) {
	for name, lost := range map[string]bool{"bursts": false, "centre lost": true} {
		b.Run(name, func(b *testing.B) { runDeployment(b, lost) })
	}
}

// deployment holds the targets of the deployment by data centre.
type deployment struct {
	s       *system
	mu      sync.Mutex
	targets map[model.DataCentreID][]*standin.Target
}

func runDeployment(b *testing.B, lose bool) {
	s := startSystem(b, 3, 6)
	s.prepareDeployment()
	d := &deployment{s: s, targets: map[model.DataCentreID][]*standin.Target{}}
	for _, centre := range centres {
		d.start(centre)
	}
	b.Cleanup(d.stopAll)
	eventually(b, startLimit, "all targets are ready", func() bool { return s.readyTargets(s.leader()) == deploymentTargets })
	lost := s.hosts[s.leader()].centre
	if lose {
		defer time.AfterFunc(lossAt, func() { d.lose(lost) }).Stop()
		defer time.AfterFunc(returnAt, func() { d.restore(lost) }).Stop()
	}
	began := time.Now()
	outcomes := s.runPhases()
	c := s.tally(outcomes)
	c.check(b)
	d.report(b, outcomes, began, lose, lost)
}

func (s *system) prepareDeployment() {
	lines := []string{"revision = 1"}
	for _, team := range deploymentTeams {
		lines = append(lines, fmt.Sprintf("team.%s = { share = 16, limit = 200 }", team))
	}
	for _, service := range deploymentServices {
		lines = append(lines, fmt.Sprintf("queue.%s = { service = %q, precedence = 5, max_run_s = 10 }", service, service))
	}
	file, err := rulesfile.Parse("deployment", []byte(strings.Join(lines, " # benchmark\n")+" # benchmark\n"))
	require.NoError(s.t, err)
	ctx := context.Background()
	operators := s.operators()
	_, err = operators.Apply(ctx, file)
	require.NoError(s.t, err)
	for _, team := range deploymentTeams {
		s.keys[team], err = operators.GrantKey(ctx, team, model.TeamID(team))
		require.NoError(s.t, err)
	}
}

// start starts the targets of a data centre, which are assigned to the services in
// turn.
func (d *deployment) start(centre model.DataCentreID) {
	var platforms []string
	for _, h := range d.s.hosts {
		platforms = append(platforms, h.address(platformPort))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range deploymentTargets {
		if centres[i%len(centres)] != centre {
			continue
		}
		id := fmt.Sprint("t", i)
		t, err := standin.StartTarget(standin.TargetConfig{
			ID: model.TargetID(id), Service: model.ServiceID(serviceOf(i)), DataCentre: centre,
			Host: model.HostID("h" + id), Slots: targetSlots, Platforms: platforms,
			Work: d.s.ledger.record(id, centre, standin.Echo(deploymentRun)),
		})
		if err != nil {
			d.s.t.Error(err)
			return
		}
		d.targets[centre] = append(d.targets[centre], t)
	}
}

func serviceOf(target int) string {
	return deploymentServices[target/len(centres)%len(deploymentServices)]
}

func (d *deployment) lose(centre model.DataCentreID) {
	for _, h := range d.s.hosts {
		if h.centre == centre {
			h.kill()
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets[centre] {
		t.Stop()
	}
	d.targets[centre] = nil
}

func (d *deployment) restore(centre model.DataCentreID) {
	for _, h := range d.s.hosts {
		if h.centre == centre {
			h.start()
		}
	}
	d.start(centre)
}

func (d *deployment) stopAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, list := range d.targets {
		for _, t := range list {
			t.Stop()
		}
	}
}

// slotsOf returns the number of slots of a service outside one data centre.
func slotsOf(service string, without model.DataCentreID) int {
	n := 0
	for i := range deploymentTargets {
		if serviceOf(i) == service && centres[i%len(centres)] != without {
			n += targetSlots
		}
	}
	return n
}

// runPhases sends a burst to one queue after another while the others have little
// load. Callers retry a request that was not run at a few other hosts, as a load
// balancer does when a host is lost.
func (s *system) runPhases() []outcome {
	var all []outcome
	var mu sync.Mutex
	var done sync.WaitGroup
	for burst := range deploymentServices {
		for i, service := range deploymentServices {
			factor := quietFactor
			if i == burst {
				factor = burstFactor
			}
			rate := max(1, int(factor*meanLoad*float64(slotsOf(service, ""))/deploymentRun.Seconds()))
			st := s.startLoad(load{
				rate: rate, count: rate * int(phaseLength/time.Second), hosts: s.allHosts(), resends: 4,
				next: func(n int) request {
					return request{key: newKey(), team: deploymentTeams[n%len(deploymentTeams)], queue: service, size: 512}
				},
			})
			done.Go(func() {
				ended := st.wait()
				mu.Lock()
				defer mu.Unlock()
				all = append(all, ended...)
			})
		}
		time.Sleep(phaseLength)
	}
	done.Wait()
	return all
}

// report reports the metrics of a run.
func (d *deployment) report(b *testing.B, outcomes []outcome, began time.Time, lose bool, lost model.DataCentreID) {
	var waits []time.Duration
	answered, refused := 0, 0
	done, possible := 0.0, 0.0
	for _, o := range outcomes {
		if !o.answered {
			refused++
			continue
		}
		answered++
		waits = append(waits, o.ended.Sub(o.sent)-deploymentRun)
	}
	slices.Sort(waits)
	for _, service := range deploymentServices {
		serviceDone, servicePossible := workDone(outcomes, service, began, lose, lost)
		done += serviceDone
		possible += servicePossible
	}
	b.ReportMetric(float64(answered), "answered")
	b.ReportMetric(float64(refused), "not-answered")
	b.ReportMetric(waits[len(waits)/2].Seconds(), "wait-p50-s")
	b.ReportMetric(waits[len(waits)*99/100].Seconds(), "wait-p99-s")
	b.ReportMetric(done/possible, "work/possible")
}

// workDone returns the number of requests of a service that were answered, and the
// maximum that its slots could answer. The maximum assumes that in each second the
// slots run as many waiting requests as fit, oldest first, and that a request waits
// no longer than its caller's patience.
func workDone(outcomes []outcome, service string, began time.Time, lose bool, lost model.DataCentreID) (done, possible float64) {
	const patienceSeconds = 10
	arrived := map[int]float64{}
	for _, o := range outcomes {
		if o.queue != service {
			continue
		}
		arrived[int(o.sent.Sub(began).Seconds())]++
		if o.answered {
			done++
		}
	}
	waiting := make([]float64, patienceSeconds+1) // by age
	end := int(phaseLength/time.Second)*len(deploymentServices) + patienceSeconds
	for second := range end {
		copy(waiting[1:], waiting[:patienceSeconds])
		waiting[0] = arrived[second]
		without := model.DataCentreID("")
		if at := time.Duration(second) * time.Second; lose && at >= lossAt && at < returnAt {
			without = lost
		}
		left := float64(slotsOf(service, without)) / deploymentRun.Seconds()
		for age := patienceSeconds; age >= 0; age-- {
			served := min(left, waiting[age])
			waiting[age] -= served
			left -= served
			possible += served
		}
	}
	return done, possible
}
