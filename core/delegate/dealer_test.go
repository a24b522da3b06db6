package delegate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

const start = 1000 * model.Time(model.Second)

func heard(at model.Time, hosts ...model.HostID) []Replica {
	var list []Replica
	for _, h := range hosts {
		list = append(list, Replica{h, at})
	}
	return list
}

func startCall(seq uint64, worker model.WorkerID) order.Call {
	return order.Call{Seq: seq, Worker: worker, Start: &order.Start{}}
}

// hostOf returns the delegate that has a call to make.
func hostOf(t *testing.T, d *Dealer, seq uint64) model.HostID {
	t.Helper()
	require.NotNil(t, d.pending[seq])
	return d.pending[seq].host
}

// Guards against one replica that gets most of the calls.
func TestCallsAreSpreadEvenly(t *testing.T) {
	d := NewDealer(1)
	hosts := []model.HostID{"10.1.0.17", "10.1.0.18", "10.2.0.22", "10.2.0.23", "10.3.0.45", "10.3.0.46"}
	d.Advance(start, heard(start, hosts...))
	count := make(map[model.HostID]int)
	for i := range 600 {
		host, ok := d.Nearest(model.WorkerID(fmt.Sprintf("i-%04x", i)), "")
		require.True(t, ok)
		count[host]++
	}
	for _, h := range hosts {
		require.InDelta(t, 100, count[h], 40, h)
	}
}

// Guards against calls that cross between data centres though a replica of the
// worker's own could make them.
func TestDelegateIsOfTheWorkersDataCentre(t *testing.T) {
	d := NewDealer(1)
	d.Advance(start, heard(start, "a", "b", "c"))
	for host, dc := range map[model.HostID]model.DataCentreID{"a": "east", "b": "west", "c": "east"} {
		d.Returned(start, host, &message.WorkerReplies{Term: 1, DataCentre: dc})
	}
	for i := range 20 {
		worker := model.WorkerID(fmt.Sprint(i))
		host, _ := d.Nearest(worker, "west")
		require.Equal(t, model.HostID("b"), host)
	}
}

// Guards against calls that wait for a replica that has gone: a poll that is not
// known to be lost keeps its worker without new runs for seconds.
func TestCallsOfASilentDelegateEnd(t *testing.T) {
	d := NewDealer(1)
	d.Advance(start, heard(start, "a"))
	require.True(t, d.Take(start, startCall(1, "w"), ""))
	require.Empty(t, d.Advance(start.Add(heardTime), heard(start, "a")))
	ended := d.Advance(start.Add(heardTime+1), heard(start, "a"))
	require.Len(t, ended, 1)
	require.Equal(t, order.Silent, ended[0].Status)
	require.Equal(t, model.WorkerID("w"), ended[0].Call.Worker)
	require.False(t, d.Take(start, startCall(2, "w"), ""), "the leader makes calls itself when no replica is heard")

	late := &message.WorkerReplies{Term: 1, Replies: []order.Reply{{Call: order.Call{Seq: 1}, Status: order.Accepted}}}
	require.Empty(t, d.Returned(start, "a", late), "a result that is not waited for any more")
}

// Guards against a result that is waited for until its time limit though the call
// was lost with a connection or a restart of its delegate.
func TestCallsThatDidNotArriveEnd(t *testing.T) {
	d, k := NewDealer(1), NewDesk("west")
	d.Advance(start, heard(start, "a"))
	hold := func(seq uint64) order.Call {
		return order.Call{Seq: seq, Worker: "w", Hold: &order.Hold{Wait: 3 * model.Second}}
	}
	require.True(t, d.Take(start, hold(1), ""))
	d.Flush() // lost on the way
	require.True(t, d.Take(start, hold(2), ""))
	k.Called("leader", d.Flush()[0].Message.WorkerCalls)

	now := start.Add(reportInterval + heardTime + 1)
	report, ok := k.Flush(now)
	require.True(t, ok)
	ended := d.Returned(now, "a", report.Message.WorkerReplies)
	require.Len(t, ended, 1)
	require.Equal(t, uint64(1), ended[0].Call.Seq)
	require.Equal(t, order.Silent, ended[0].Status)
}

// Guards against a worker that is called through the same delegate again and again
// though only the link between the two is cut.
func TestAnotherDelegateAfterACallWithoutAnswer(t *testing.T) {
	d := NewDealer(1)
	d.Advance(start, heard(start, "a", "b", "c"))
	tried := make(map[model.HostID]bool)
	for seq := uint64(1); seq <= 3; seq++ {
		require.True(t, d.Take(start, startCall(seq, "w"), ""))
		host := hostOf(t, d, seq)
		tried[host] = true
		silent := order.Reply{Call: order.Call{Seq: seq}, Status: order.Silent}
		require.Len(t, d.Returned(start, host, &message.WorkerReplies{Term: 1, Replies: []order.Reply{silent}}), 1)
	}
	require.Len(t, tried, 3)
	require.False(t, d.Take(start, startCall(4, "w"), ""), "the leader tries it after all others")
	require.True(t, d.Take(start.Add(skipTime+1), startCall(5, "w"), ""))
	nearest, _ := d.Nearest("w", "")
	require.Equal(t, nearest, hostOf(t, d, 5))
}

// Guards against calls of a leader that was replaced, and results given to the
// wrong one.
func TestDeskServesTheLatestTerm(t *testing.T) {
	k := NewDesk("west")
	require.Len(t, k.Called("old", &message.WorkerCalls{Term: 1, Calls: []order.Call{startCall(1, "w")}}), 1)
	require.Len(t, k.Called("new", &message.WorkerCalls{Term: 2, Calls: []order.Call{startCall(1, "w")}}), 1)
	require.Empty(t, k.Called("old", &message.WorkerCalls{Term: 1, Calls: []order.Call{startCall(2, "w")}}))
	k.Done(1, order.Reply{Call: startCall(1, "w"), Status: order.Refused})
	k.Done(2, order.Reply{Call: startCall(1, "w"), Status: order.Accepted})
	m, ok := k.Flush(start)
	require.True(t, ok)
	require.Equal(t, model.HostID("new"), m.To)
	require.Len(t, m.Message.WorkerReplies.Replies, 1)
	require.Equal(t, order.Accepted, m.Message.WorkerReplies.Replies[0].Status)
}
