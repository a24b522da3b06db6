package proof

import (
	"sync"
	"testing"
	"time"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/standin"
)

// Guards against faults that occur only with nine hosts, the size in production: the
// leader is killed, a data centre is cut off with its replica, its followers and the
// announcements of its targets, and every data centre is restarted in turn.
func TestNineHosts(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 6)
	s.prepare(6, standin.Echo(50*time.Millisecond))
	work := load{rate: 80, count: 4000, hosts: s.allHosts(), resends: resends, next: mixedRequest}
	st := s.startLoad(work)
	s.waitProgress()
	s.apply(s.file(2))
	killed := s.leader()
	s.hosts[killed].kill()
	s.leader(s.except(killed)...)
	s.apply(s.file(3), s.except(killed)...)
	s.waitProgress()
	s.hosts[killed].start()
	s.waitServing()
	s.isolateDataCentre(s.hosts[s.except(s.leader())[0]].centre)
	s.checkOutcomes(st.stop())
	st = s.startLoad(work)
	for _, centre := range centres {
		s.restartDataCentre(centre)
	}
	s.checkAllAnswered(st.stop())
	s.waitInForce(s.file(3), s.allHosts()...)
}

// Guards against a loss of the leader's data centre, including its targets, that
// blocks new work in the other data centres until every run of the earlier leader
// must have ended.
func TestDataCentreOfLeaderLost(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	s.prepare(6, standin.Echo(50*time.Millisecond))
	st := s.startLoad(load{rate: 80, count: 2000, hosts: s.allHosts(), resends: resends, next: mixedRequest})
	s.waitProgress()
	s.isolateDataCentre(s.hosts[s.leader()].centre)
	s.tally(st.stop()).check(t)
	s.checkLimits()
}

// hostsIn returns the indices of the hosts of a data centre.
func (s *system) hostsIn(centre model.DataCentreID) []int {
	var list []int
	for i, h := range s.hosts {
		if h.centre == centre {
			list = append(list, i)
		}
	}
	return list
}

// isolateDataCentre partitions a data centre from the others until work continues in
// those.
func (s *system) isolateDataCentre(centre model.DataCentreID) {
	inside := s.hostsIn(centre)
	across := func(do func(*link)) {
		s.eachLinkAcross(inside, do)
		for i, target := range s.targets {
			for j, l := range target.links {
				if (centres[i%len(centres)] == centre) != (s.hosts[j].centre == centre) {
					do(l)
				}
			}
		}
	}
	across((*link).block)
	s.leader(s.except(inside...)...)
	s.waitProgress()
	across((*link).heal)
	s.waitServing()
}

// restartDataCentre gracefully stops all hosts of a data centre at the same time and
// starts them again.
func (s *system) restartDataCentre(centre model.DataCentreID) {
	var all sync.WaitGroup
	codes := make([]int, len(s.hosts))
	for _, i := range s.hostsIn(centre) {
		all.Go(func() { codes[i], _ = s.hosts[i].stop() })
	}
	all.Wait()
	for _, i := range s.hostsIn(centre) {
		if codes[i] != 0 {
			s.t.Errorf("exit code %d of %s", codes[i], s.hosts[i].name)
		}
		s.hosts[i].start()
	}
	s.waitServing()
}
