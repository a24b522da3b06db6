package hosts

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Guards against a leader that loses its leadership because it orders thousands of hosts
// in one tick. The load is a fleet of 3,000 hosts that has just started and is idle, whose
// owner accepts 500 orders per second.
func TestOrdersOfALargeFleetAreSpread(t *testing.T) {
	const hosts, perSecond, tick = 3000, 500, 50 * ms
	f := newFixture(t, hosts)
	f.apply(jobs.Command{Configure: &jobs.Config{Version: 2, Services: map[model.ServiceID]jobs.Service{"render": {}, "off": {Standby: true}}}})
	for i := range f.hosts {
		id := model.WorkerID("w-" + fmt.Sprint(i))
		f.apply(jobs.Command{Announce: &jobs.Worker{ID: id, Host: f.hosts[i].ID, Service: "render", Address: string(id), Capacity: f.hosts[i].Capacity}})
	}
	f.bounds.HostOrdersPerSecond = perSecond
	f.startTerm()
	f.advance(2 * tick)
	ordered, most := 0, 0
	for range 100 {
		f.calls = nil
		f.advance(tick)
		moves := 0
		for _, c := range f.calls {
			if c.Move != nil {
				moves++
				at := slices.IndexFunc(f.hosts, func(h order.Host) bool { return h.ID == c.Move.Host })
				f.hosts[at].Pool = c.Move.Pool
				f.reply(order.HostReply{Call: c, Status: order.HostAccepted})
			}
		}
		ordered, most = ordered+moves, max(most, moves)
	}
	require.LessOrEqual(t, most, moveBurst, "orders in one tick")
	require.Greater(t, ordered, hosts/3, "hosts switched off within 5 s")
	require.LessOrEqual(t, ordered, 6*perSecond, "orders within 5 s")
}
