package proof

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/operator"
	"primrosedale.example/primrosedale/operator/client"
	"primrosedale.example/primrosedale/rulesfile"
	"primrosedale.example/primrosedale/standin"
)

// inForceLimit is the time within which design 2.1, points 3 and 11, guarantees that
// a change is in force on every host.
const inForceLimit = 3 * time.Second

// markedFile returns a rules file that differs from others of the same revision.
func (s *system) markedFile(revision uint64, mark string) *rulesfile.File {
	return s.file(revision, fmt.Sprintf("team.%s = { share = 0, limit = 1 }", mark))
}

// apply submits a file to the given hosts and fails the test if it is rejected.
func (s *system) apply(f *rulesfile.File, hosts ...int) {
	s.t.Helper()
	_, err := s.operators(hosts...).Apply(context.Background(), f)
	require.NoError(s.t, err)
}

// waitInForce waits until each host has applied the file.
func (s *system) waitInForce(f *rulesfile.File, hosts ...int) {
	s.t.Helper()
	for _, i := range hosts {
		eventually(s.t, startLimit, fmt.Sprintf("%s has revision %d", s.hosts[i].name, f.Rules.Revision), func() bool {
			st := s.hosts[i].status()
			return st != nil && st.Revision == f.Rules.Revision && st.RulesHash == f.Hash && st.Serving
		})
	}
}

// applyEverywhere applies a file and waits until it is in force on every host.
func (s *system) applyEverywhere(f *rulesfile.File) {
	s.t.Helper()
	s.apply(f)
	s.waitInForce(f, s.allHosts()...)
}

// Guards against two operators who change the same revision concurrently and are
// both told that their change is in force, and against a repeated submission that
// has an effect.
func TestEqualBaseRevisions(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	const rounds = 10
	s.apply(s.file(1))
	for round := range uint64(rounds) {
		files := []*rulesfile.File{s.markedFile(round+2, "left"), s.markedFile(round+2, "right")}
		first, other := s.operators(int(round)%5, 0), s.operators(int(round)%5, 1)
		errs := applyConcurrently([]*client.Client{first, other}, files)
		winner, loser := 0, 1
		if errs[winner] != nil {
			winner, loser = 1, 0
		}
		require.NoError(t, errs[winner])
		var refusal *client.Refusal
		require.True(t, errors.As(errs[loser], &refusal), "%v", errs[loser])
		require.Equal(t, problem.RevisionConflict, refusal.Kind)
		require.Contains(t, refusal.Detail, fmt.Sprintf("%d with hash %s", round+2, files[winner].Hash))
		s.apply(files[winner], 4) // a repeated submission with a new submission ID
		_, err := s.operators(3).Apply(context.Background(), files[loser])
		require.ErrorContains(t, err, string(problem.RevisionConflict))
	}
	t.Logf("%d rounds: one winner each, %d losers told revision and hash of the winner, %d resends got the first answer", rounds, rounds, rounds)
}

// applyConcurrently submits each file through its own client at the same time.
func applyConcurrently(operators []*client.Client, files []*rulesfile.File) []error {
	errs := make([]error, len(files))
	var both sync.WaitGroup
	for i, f := range files {
		both.Go(func() { _, errs[i] = operators[i].Apply(context.Background(), f) })
	}
	both.Wait()
	return errs
}

// Guards against a change that is submitted again after its answer was lost and is
// then applied a second time, or reverts changes accepted since.
func TestResendAfterLostAnswer(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	s.apply(s.file(1))
	f := s.markedFile(2, "first")
	change := operator.RulesChange{Base: 1, Hash: f.Hash, Rules: f.Rules, ID: model.CommandID(newKey())}
	follower := s.except(0, 1, 2)[0]
	s.isolate(follower)
	require.Error(t, s.post(follower, change, time.Second), "the answer is lost")
	s.reconnect(follower)
	require.NoError(t, s.post(0, change, 10*time.Second))
	next := s.markedFile(3, "second")
	s.apply(next)
	require.NoError(t, s.post(1, change, 10*time.Second), "a repeated submission gets the first answer")
	require.NoError(t, s.post(follower, change, 10*time.Second))
	s.waitInForce(next, s.allHosts()...)
}

// post submits a change to one host, without retries.
func (s *system) post(i int, change operator.RulesChange, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var answer operator.ChangeAnswer
	return exchange(ctx, http.MethodPost, "http://"+s.hosts[i].address(operatorPort)+"/v1/rules", change, &answer)
}

// Guards against a host that keeps serving under an old configuration because it
// misses or receives the change late: one host is cut off, one paused, and the
// messages to one are delayed.
func TestInForceEverywhere(t *testing.T) {
	s := startTargets(t, 3, standin.Echo(5*time.Millisecond))
	leader := s.leader()
	rest := s.except(leader)
	cut, paused, late := rest[1], rest[2], rest[3]
	var worst time.Duration
	for round := range uint64(3) {
		revision := 2 * (round + 1)
		name := fmt.Sprintf("open%d", revision)
		s.apply(s.file(revision, `queue.`+name+` = { service = "render", open = true, team = "archive", max_run_s = 10 }`))
		next := func(int) request { return request{key: newKey(), team: "archive", queue: name} }
		eventually(t, startLimit, "the queue is open", func() bool { return s.send(leader, next(0)).answered })
		st := s.startLoad(load{rate: 200, count: 2000, hosts: s.allHosts(), next: next})
		s.isolate(cut)
		s.hosts[paused].pause()
		s.eachLinkTo(late, func(l *link) { l.delay(700 * time.Millisecond) })
		closed := s.file(revision + 1)
		s.apply(closed, leader)
		answered := time.Now()
		worst = max(worst, s.timeInForce(revision+1, answered, s.except(paused)))
		// The paused host resumes after its lease has expired.
		time.Sleep(time.Until(answered.Add(inForceLimit)))
		s.hosts[paused].resume()
		probe := s.send(paused, next(0))
		require.False(t, probe.answered, "the paused host serves under the old revision")
		st.cancel()
		s.reconnect(cut)
		s.eachLinkTo(late, (*link).heal)
		outcomes := st.wait()
		s.waitInForce(closed, s.allHosts()...)
		s.tally(outcomes).check(t)
		last := s.ledger.last(func(start) bool { return true }).Sub(answered)
		require.Less(t, last, inForceLimit, "start of a request of the removed queue")
		t.Logf("round %d: in force after %s, last start of a request of the removed queue after %s", round, worst, last)
	}
	require.Less(t, worst, inForceLimit)
	t.Logf("in force on every host, or the host serves nothing, within %s of the operator's answer", worst)
}

// timeInForce returns how long after the answer it took until every host either had
// the revision or had stopped serving.
func (s *system) timeInForce(revision uint64, answered time.Time, hosts []int) time.Duration {
	times := make([]time.Duration, len(s.hosts))
	var all sync.WaitGroup
	for _, i := range hosts {
		all.Go(func() {
			for time.Since(answered) < startLimit {
				asked := time.Now()
				st := s.hosts[i].status()
				if st != nil && (st.Revision >= revision || !st.Serving) {
					times[i] = asked.Sub(answered)
					return
				}
				time.Sleep(pollPause)
			}
			times[i] = startLimit
		})
	}
	all.Wait()
	worst := time.Duration(0)
	for _, d := range times {
		worst = max(worst, d)
	}
	return worst
}

// Guards against a replica whose data folder was replaced by an old copy and that
// restores an old configuration or never catches up.
func TestOldDiskReturns(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	s.apply(s.file(1))
	old := s.except(s.leader())[0]
	require.True(t, s.hosts[old].replica)
	s.hosts[old].kill()
	saved := s.hosts[old].data() + ".saved"
	require.NoError(t, os.CopyFS(saved, os.DirFS(s.hosts[old].data())))
	s.hosts[old].start()
	s.waitServing(old)
	var last *rulesfile.File
	for revision := uint64(2); revision <= 30; revision++ {
		last = s.markedFile(revision, "late")
		s.apply(last)
	}
	s.waitInForce(last, s.allHosts()...)
	s.hosts[old].kill()
	s.hosts[old].deleteData()
	require.NoError(t, os.CopyFS(s.hosts[old].data(), os.DirFS(saved)))
	s.hosts[old].start()
	s.waitInForce(last, s.allHosts()...)
	// The acknowledgements that the replica gave after the copy was made no longer
	// hold, so the other replicas must keep the configuration whichever leads next.
	s.hosts[s.leader()].kill()
	up := s.runningHosts()
	s.leader(up...)
	s.waitInForce(last, up...)
	_, err := s.operators(up...).Apply(context.Background(), s.markedFile(5, "stale"))
	require.ErrorContains(t, err, string(problem.RevisionConflict))
}

// runningHosts returns the indices of the hosts whose process was started and not
// stopped by the test.
func (s *system) runningHosts() []int {
	var list []int
	for i, h := range s.hosts {
		if h.cmd != nil {
			list = append(list, i)
		}
	}
	return list
}

// Guards against the loss of an accepted change because a replica with a new disk
// votes although it no longer has the entries that it acknowledged. The changes are
// on two replicas only; one of them loses its disk, then the other is killed.
func TestSecondReplicaLostAfterRepair(t *testing.T) {
	t.Parallel()
	eachFault(t, map[string]bool{"repaired=false": false, "repaired=true": true}, secondLoss)
}

func secondLoss(t *testing.T, repaired bool) {
	s := startSystem(t, 3, 2)
	s.apply(s.file(1))
	leader := s.leader()
	others := s.except(leader, 3, 4)
	behind, broken := others[0], others[1]
	s.isolate(behind)
	var last *rulesfile.File
	for revision := uint64(2); revision <= 10; revision++ {
		last = s.markedFile(revision, "kept")
		s.apply(last, leader)
	}
	s.hosts[broken].kill()
	s.hosts[broken].deleteData()
	if repaired {
		s.reconnect(behind)
		s.hosts[broken].start()
		s.waitInForce(last, s.allHosts()...)
		eventually(t, startLimit, "the repaired replica votes", func() bool {
			status := s.hosts[broken].status()
			return status != nil && status.Role == "follower"
		})
		s.hosts[leader].kill()
		s.leader(behind, broken)
		s.waitInForce(last, s.runningHosts()...)
		s.apply(s.markedFile(11, "after"), s.runningHosts()...)
		return
	}
	s.hosts[leader].kill()
	s.reconnect(behind)
	s.hosts[broken].start()
	// No majority of the voters is left, so no host may lead or serve.
	eventually(t, inForceLimit, "the earlier lease expires", func() bool { return !s.hosts[behind].serving() })
	stays(t, 4*time.Second, "no host serves without the only copy", func() bool {
		return !s.hosts[behind].serving() && !s.hosts[broken].serving()
	})
	s.hosts[leader].start()
	s.waitInForce(last, s.allHosts()...)
	s.apply(s.markedFile(11, "after"))
}

// Guards against changes that are lost or reverted when every process is killed
// after several hundred changes and restarted from disk.
func TestRestartAfter500Changes(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	var last *rulesfile.File
	for revision := uint64(1); revision <= 500; revision++ {
		last = s.markedFile(revision, fmt.Sprintf("mark%d", revision))
		s.apply(last)
	}
	s.killAll()
	began := time.Now()
	s.startAll()
	s.waitInForce(last, s.allHosts()...)
	t.Logf("500 changes; all 5 processes killed; every host serves revision 500 %s after the restart", time.Since(began))
}
