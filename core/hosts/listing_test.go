package hosts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// foreignEntry returns an entry of other software for the first host of a fixture.
func (f *fixture) foreignEntry() order.Host {
	entry := f.hosts[0]
	entry.Pool, entry.Worker = "telemetry", "agent"
	return entry
}

// Guards against a task that runs twice: an entry of other software in the list of hosts, for
// the host of a worker, ended the worker's runs.
func TestEntryOfOtherSoftwareEndsNoWorker(t *testing.T) {
	own := func(h *order.Host) { h.Pool, h.Worker = "render", "w" }
	for _, c := range []struct {
		name   string
		change func(h *order.Host)
		reason string
	}{
		{"the pool is unknown", func(*order.Host) {}, "unknown_pool"},
		{"the pool is unknown, moving", func(h *order.Host) { h.State = order.HostMoving }, "unknown_pool"},
		{"no pool", func(h *order.Host) { h.Pool = "" }, "unknown_pool"},
		{"no data centre", func(h *order.Host) { h.Pool, h.DataCentre = "render", "" }, "incomplete"},
		{"no capacity", func(h *order.Host) { h.Pool, h.Capacity = "render", model.Resources{} }, "incomplete"},
		{"a field is missing", func(h *order.Host) { h.Pool, h.Incomplete = "render", true }, "incomplete"},
		{"a field is missing, moving", func(h *order.Host) { h.Pool, h.Incomplete, h.State = "render", true, order.HostMoving }, "incomplete"},
		{"another worker", func(h *order.Host) { h.Pool = "render" }, "contradicted"},
		{"the same entry twice", own, ""},
	} {
		for _, first := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				f := newFixture(t, 2)
				own(&f.hosts[0])
				foreign := f.foreignEntry()
				c.change(&foreign)
				if first {
					f.hosts = append([]order.Host{foreign}, f.hosts...)
				} else {
					f.hosts = append(f.hosts, foreign)
				}
				f.startTerm()
				f.apply(jobs.Command{Announce: &jobs.Worker{ID: "w", Host: "h0", Service: "render", Address: "w", Capacity: cpu(64_000)}})
				f.advance(200 * ms)
				require.Contains(t, f.state.Workers, model.WorkerID("w"))
				require.Equal(t, model.ServiceID("render"), f.p.hosts["h0"].Pool)
				if c.reason != "" {
					require.Equal(t, 1, f.ignored[c.reason])
				}
			})
		}
	}
}

// Guards against a host of a wave that counts as gone, down or up because of an entry of
// other software, in a list that also lacks the entry of the host itself.
func TestEntryOfOtherSoftwareChangesNoHost(t *testing.T) {
	f := newFixture(t, 2)
	f.advance(200 * ms)
	foreign := f.foreignEntry()
	foreign.State, foreign.Capacity = order.HostDown, cpu(1)
	f.hosts[0] = foreign
	f.advance(idleInterval + 200*ms)
	require.Equal(t, order.HostUp, f.p.hosts["h0"].State)
	require.Equal(t, model.ServiceID("render"), f.p.hosts["h0"].Pool)
}

// Guards against pools that are too small: the capacity of a host of another owner counted
// as that of the hosts of the pools.
func TestHostOfAnUnknownPoolDoesNotCountForPools(t *testing.T) {
	f := newFixture(t, 2)
	foreign := f.foreignEntry()
	foreign.ID, foreign.Capacity = "other", cpu(1_000_000)
	f.hosts = append(f.hosts, foreign)
	f.advance(200 * ms)
	pools := f.p.collectPools(f.env())
	require.Len(t, pools, 1)
	require.Equal(t, 2, pools[0].hosts)
	require.Equal(t, cpu(64_000), pools[0].capacity)
}

// Guards against a flood of log lines: a list with many entries of other software is logged
// once for each reason.
func TestEntriesOfOtherSoftwareAreLoggedOncePerRead(t *testing.T) {
	f := newFixture(t, 2)
	for range 50 {
		f.hosts = append(f.hosts, f.foreignEntry())
	}
	var lines int
	f.handle(func(out *Out) { f.p.Advance(f.env(), out) })
	f.handle(func(out *Out) {
		f.p.Replied(f.env(), out, &order.HostReply{Call: f.calls[0], Status: order.HostAccepted, Hosts: f.hosts})
		for _, e := range out.Effects {
			if l, ok := e.(effect.Log); ok && l.Code == effect.HostEntryIgnored {
				lines++
				require.Equal(t, 50, l.Count)
			}
		}
	})
	require.Equal(t, 1, lines)
}
