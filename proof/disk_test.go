package proof

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"primrosedale.example/primrosedale/standin"
)

const (
	// freeBytes is less than the size of a log frame, so that the last write is torn.
	freeBytes = 10
	// largeBody is a request size at which the stored answers fill a log segment of
	// 16 MiB within seconds.
	largeBody = 60_000
)

// diskCase is one kind of disk fault of a replica.
type diskCase struct {
	name     string
	leader   bool // the leader's disk, else that of another replica
	fail     func(*host)
	size     int  // of the requests' bodies
	replaced bool // the replica returns with an empty folder
}

// Guards against a replica that acknowledges an entry that its disk failed to store,
// that keeps running after the failure, or that cannot be brought back as described
// in docs/operators/replace-host.md.
func TestDiskFails(t *testing.T) {
	cases := []diskCase{
		{"disk of a replica full", false, (*host).fillDisk, 0, false},
		{"disk of the leader full", true, (*host).fillDisk, 0, false},
		{"disk of the leader full and replaced", true, (*host).fillDisk, 0, true},
		{"sync of a replica fails", false, (*host).failSync, largeBody, false},
		{"sync of the leader fails", true, (*host).failSync, largeBody, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			diskFails(t, c)
		})
	}
}

// fillDisk limits the running process to freeBytes more in its current log segment.
func (h *host) fillDisk() {
	segments, err := filepath.Glob(filepath.Join(h.data(), "wal-*.log"))
	require.NoError(h.s.t, err)
	info, err := os.Stat(slices.Max(segments))
	require.NoError(h.s.t, err)
	size := uint64(info.Size()) + freeBytes
	limit := unix.Rlimit{Cur: size, Max: size}
	require.NoError(h.s.t, unix.Prlimit(h.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
}

// failSync makes the sync of the next segment fail by a link to the null device,
// which accepts every write but does not support sync.
func (h *host) failSync() {
	next := filepath.Join(h.data(), "wal-00000000000000000002.log.tmp")
	require.NoError(h.s.t, os.Symlink(os.DevNull, next))
}

func diskFails(t *testing.T, c diskCase) {
	s := startSystem(t, 3, 2)
	s.prepare(3, standin.Echo(5*time.Millisecond))
	leader := s.leader()
	victim := leader
	if !c.leader {
		victim = s.except(leader)[0]
	}
	others := s.except(victim)
	st := s.startLoad(load{rate: 150, count: 3000, hosts: s.allHosts(), next: func(i int) request {
		r := mixedRequest(i)
		r.size = max(r.size, c.size)
		return r
	}})
	changes := s.startChanges(others)
	s.waitProgress()
	c.fail(s.hosts[victim])
	halted := eventually(t, startLimit, "the replica halts", func() bool { return isClosed(s.hosts[victim].done) })
	line := s.hosts[victim].firstLogLine("sync_failed")
	require.NotEmpty(t, line, "the log event sync_failed")
	s.leader(others...)
	s.waitProgress()
	s.hosts[victim].cmd = nil
	if c.replaced {
		s.hosts[victim].deleteData()
	}
	s.hosts[victim].start()
	s.waitServing()
	s.waitVoter(victim)
	s.waitProgress()
	outcomes, revision := st.stop(), changes.stop()
	s.tally(outcomes).check(t)
	s.checkLimits()
	// With the leader down, every remaining majority includes the victim's copy.
	s.hosts[s.leader(others...)].kill()
	kept := s.checkNothingLost(outcomes, revision, victim)
	t.Logf("halted %s after the fault; %d answers and revision %d kept; %s", halted, kept, revision, line)
}

// firstLogLine returns the first line of an event in the log, or an empty string.
func (h *host) firstLogLine(event string) string {
	text, err := os.ReadFile(h.log())
	require.NoError(h.s.t, err)
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, " event="+event+" ") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// waitVoter waits until the host is a voting member.
func (s *system) waitVoter(i int) {
	s.t.Helper()
	eventually(s.t, startLimit, "the replica votes", func() bool {
		status := s.hosts[i].status()
		return status != nil && (status.Role == "follower" || status.Role == "leader")
	})
}

// checkNothingLost checks that no acknowledged change and no stored answer is lost.
// It requests the answers again through the given host and returns their number.
func (s *system) checkNothingLost(outcomes []outcome, revision uint64, through int) int {
	s.t.Helper()
	s.leader(s.runningHosts()...)
	s.waitServing(s.runningHosts()...)
	for _, i := range s.runningHosts() {
		// A leader that is killed may not have told the others of its last commit.
		eventually(s.t, inForceLimit, "the accepted changes are in force", func() bool {
			status := s.hosts[i].status()
			return status != nil && status.Revision >= revision
		})
	}
	before, _ := s.ledger.counts()
	kept := 0
	for _, o := range outcomes {
		if !o.nonIdempotent || !o.answered {
			continue
		}
		again := s.send(through, o.request)
		require.True(s.t, again.answered, "a stored answer is lost: %+v", again)
		kept++
	}
	after, _ := s.ledger.counts()
	require.Equal(s.t, before, after, "a repeated request ran again")
	return kept
}
