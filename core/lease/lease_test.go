package lease_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/lease"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

const (
	ms    = model.Millisecond
	start = model.Time(1_000_000 * model.Second)
)

func at(d model.Duration) model.Time { return start.Add(d) }

// Guards against a lease that is not measured from the sending of its Renew, and
// against an extension by a grant of another leader or for an unknown Renew.
func TestHolderAcceptsOnlyMatchingGrants(t *testing.T) {
	cases := []struct {
		name  string
		grant message.Grant
		until model.Time
	}{
		{"for the renewal", message.Grant{Term: 3, Seq: 1, Duration: lease.Duration}, at(lease.Duration)},
		{"of another term", message.Grant{Term: 2, Seq: 1, Duration: lease.Duration}, 0},
		{"for an unknown renewal", message.Grant{Term: 3, Seq: 2, Duration: lease.Duration}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := lease.NewHolder("life", "west")
			h.SetLeader("leader", 3)
			r := h.Renew(start, 7, false)
			require.True(t, r.Full)
			require.EqualValues(t, 1, r.Seq)
			h.HandleGrant(&c.grant)
			require.Equal(t, c.until, h.LeaseEnd())
			require.Equal(t, c.until != 0, h.Valid(at(lease.Duration-1)))
			require.False(t, h.Valid(at(lease.Duration)))
		})
	}
}

// Guards against a host that still serves under the old leader after it has reported
// its forwarded requests to the new one.
func TestRenewOfNewTermEndsEarlierLease(t *testing.T) {
	h := lease.NewHolder("life", "west")
	h.SetLeader("old", 1)
	h.Renew(start, 0, false)
	h.HandleGrant(&message.Grant{Term: 1, Seq: 1, Duration: lease.Duration})
	require.True(t, h.SetLeader("new", 2))
	require.True(t, h.Valid(at(10*ms)), "the lease is valid until a Renew goes to the new leader")
	require.True(t, h.Renew(at(10*ms), 0, false).Full)
	require.False(t, h.Valid(at(10*ms)))
	h.HandleGrant(&message.Grant{Term: 1, Seq: 1, Duration: lease.Duration})
	require.False(t, h.Valid(at(10*ms)))
}

// Guards against a dispatch whose age is derived from a Renew that was never sent or
// is no longer stored.
func TestRenewSentAtReturnsRecentRenewalsOnly(t *testing.T) {
	h := lease.NewHolder("life", "west")
	h.SetLeader("leader", 1)
	for i := range 9 {
		h.Renew(at(model.Duration(i)*lease.Interval), 0, false)
	}
	for seq, known := range map[uint64]bool{0: false, 1: false, 2: true, 9: true, 10: false} {
		sent, ok := h.RenewSentAt(seq)
		require.Equal(t, known, ok, "renewal %d", seq)
		if ok {
			require.Equal(t, at(model.Duration(seq-1)*lease.Interval), sent)
		}
	}
}

type controlChange struct {
	index uint64
	at    model.Duration
}

// Guards against a host that keeps its lease while it lags behind: after a restart,
// under a new leader, or because later changes extend the grace period of earlier
// ones.
func TestGranterRefusesLaggingHost(t *testing.T) {
	cases := []struct {
		name    string
		initial uint64
		changes []controlChange
		applied uint64
		at      model.Duration
		granted bool
	}{
		{"has applied all", 5, nil, 5, 0, true},
		{"lags at the start of the term", 5, nil, 4, 0, false},
		{"within the grace period", 5, []controlChange{{6, 0}}, 5, 999 * ms, true},
		{"after the grace period", 5, []controlChange{{6, 0}}, 5, 1000 * ms, false},
		{"a later change has its own grace period", 5, []controlChange{{6, 0}, {7, 900 * ms}}, 6, 1500 * ms, true},
		{"a later change does not extend the first", 5, []controlChange{{6, 0}, {7, 900 * ms}}, 5, 1000 * ms, false},
		{"ahead of the changes", 5, []controlChange{{6, 0}}, 9, 5000 * ms, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := lease.NewGranter(start, 4, c.initial)
			for _, change := range c.changes {
				g.ControlChanged(at(change.at), change.index)
			}
			r := &message.Renew{Term: 4, Seq: 1, Incarnation: "life", Applied: c.applied, Full: true}
			grant := g.HandleRenew(at(c.at), "host", r)
			require.Equal(t, c.granted, grant != nil)
		})
	}
}

// Guards against a lease for a host whose forwarded requests are not known, or that
// follows another leader.
func TestGranterRequiresRequestListAndTerm(t *testing.T) {
	cases := []struct {
		name    string
		renew   message.Renew
		granted bool
	}{
		{"complete list", message.Renew{Term: 4, Full: true}, true},
		{"no list", message.Renew{Term: 4}, false},
		{"other term", message.Renew{Term: 3, Full: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := lease.NewGranter(start, 4, 0)
			require.Equal(t, c.granted, g.HandleRenew(start, "host", &c.renew) != nil)
		})
	}
}

// Guards against dispatching while a lease of an earlier leader may still be valid.
func TestFenceWaitsForReportsOrTime(t *testing.T) {
	members := []model.HostID{"a", "b"}
	full := func(g *lease.Granter, host model.HostID) {
		g.HandleRenew(start, host, &message.Renew{Term: 4, Seq: 1, Full: true})
	}
	cases := []struct {
		name     string
		reported []model.HostID
		at       model.Duration
		fenced   bool
	}{
		{"nobody reported", nil, 0, false},
		{"one did not report", []model.HostID{"a"}, lease.Duration, false},
		{"all reported", members, 0, true},
		{"earlier leases ended", nil, lease.Duration + lease.Margin, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := lease.NewGranter(start, 4, 0)
			for _, host := range c.reported {
				full(g, host)
			}
			require.Equal(t, c.fenced, g.Fenced(at(c.at), members))
		})
	}
}

// Guards against a change that is reported as in force while a host may still serve
// without it.
func TestInForceWhenAppliedOrLeaseEnded(t *testing.T) {
	g := lease.NewGranter(start, 4, 0)
	renew := func(host model.HostID, seq, applied uint64, now model.Duration) {
		g.HandleRenew(at(now), host, &message.Renew{Term: 4, Seq: seq, Applied: applied, Full: true})
	}
	members := []model.HostID{"a", "b"}
	renew("a", 1, 0, 0)
	renew("b", 1, 0, 0)
	g.ControlChanged(at(10*ms), 8)
	require.False(t, g.InForce(at(20*ms), members))
	renew("a", 2, 8, 300*ms)
	require.False(t, g.InForce(at(300*ms), members), "b serves without the change")
	require.True(t, g.InForce(at(lease.Duration+lease.Margin), members), "the lease of b has ended")
}

// Guards against a delayed Renew of a process that has since restarted: it would make
// the leader drop the requests of the current process.
func TestRenewOfOldIncarnationIsOutdated(t *testing.T) {
	g := lease.NewGranter(start, 4, 0)
	g.HandleRenew(start, "host", &message.Renew{Term: 4, Seq: 9, Incarnation: "first", Full: true})
	require.False(t, g.Outdated("host", "second"))
	g.HandleRenew(start, "host", &message.Renew{Term: 4, Seq: 1, Incarnation: "second", Full: true})
	require.True(t, g.Outdated("host", "first"))
	require.False(t, g.Outdated("host", "second"))
	require.EqualValues(t, 1, g.Session("host").LastSeq)
}
