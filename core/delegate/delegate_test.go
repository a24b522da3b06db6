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

// newTestDispatcher returns the Dispatcher of term 1 after reports of the agents of
// hosts.
func newTestDispatcher(hosts ...model.HostID) *Dispatcher {
	d := NewDispatcher(1)
	for _, h := range hosts {
		d.HandleReplies(start, h, &message.WorkerReplies{Term: 1, Report: &message.AgentReport{At: start}})
	}
	d.Advance(start, heard(start, hosts...))
	return d
}

// newTestAgent returns an Agent that has reported at start.
func newTestAgent() *Agent {
	a := NewAgent("west")
	a.Follow("leader", 1)
	a.Flush(start)
	return a
}

func result(seq uint64, status order.Status) *message.WorkerReplies {
	return &message.WorkerReplies{Term: 1, Replies: []order.Reply{{Call: order.Call{Seq: seq}, Status: status}}}
}

// hostOf returns the delegate of a pending call.
func hostOf(t *testing.T, d *Dispatcher, seq uint64) model.HostID {
	t.Helper()
	require.NotNil(t, d.pending[seq])
	return d.pending[seq].host
}

// Guards against a choice of delegates that gives one replica most of the calls.
func TestCallsAreSpreadEvenly(t *testing.T) {
	hosts := []model.HostID{"10.1.0.17", "10.1.0.18", "10.2.0.22", "10.2.0.23", "10.3.0.45", "10.3.0.46"}
	d := newTestDispatcher(hosts...)
	count := make(map[model.HostID]int)
	for i := range 600 {
		host, ok := d.DelegateFor(start, model.WorkerID(fmt.Sprintf("i-%04x", i)), "")
		require.True(t, ok)
		count[host]++
	}
	for _, h := range hosts {
		require.InDelta(t, 100, count[h], 40, h)
	}
}

// Guards against calls that cross between data centres although a replica in the data
// centre of the worker could make them.
func TestDelegateIsInTheWorkersDataCentre(t *testing.T) {
	d := newTestDispatcher("a", "b", "c")
	for host, dc := range map[model.HostID]model.DataCentreID{"a": "east", "b": "west", "c": "east"} {
		d.HandleReplies(start, host, &message.WorkerReplies{Term: 1, Report: &message.AgentReport{At: start, DataCentre: dc}})
	}
	for i := range 20 {
		host, _ := d.DelegateFor(start, model.WorkerID(fmt.Sprint(i)), "west")
		require.Equal(t, model.HostID("b"), host)
	}
}

// Guards against calls assigned to a replica that cannot make them: one of an earlier
// build, which does not report, or one that is stopping.
func TestOnlyAgentsThatReportAreCalled(t *testing.T) {
	d := NewDispatcher(1)
	d.Advance(start, heard(start, "a"))
	require.False(t, d.Enqueue(start, startCall(1, "w"), ""))

	d = newTestDispatcher("a")
	require.True(t, d.Enqueue(start, startCall(1, "w"), ""))
	d.HandleReplies(start, "a", &message.WorkerReplies{Term: 1, Report: &message.AgentReport{Leaving: true, Open: []uint64{1}}})
	require.False(t, d.Enqueue(start, startCall(2, "w"), ""))
	d.Advance(start, heard(start, "a"))
	require.False(t, d.Enqueue(start, startCall(3, "w"), ""))
	require.Len(t, d.HandleReplies(start, "a", result(1, order.Accepted)), 1, "calls in progress are finished")
}

// Guards against calls that wait for a replica that has gone: as long as a poll is not
// known to be lost, its worker gets no new runs, which takes seconds.
func TestCallsOfASilentDelegateEnd(t *testing.T) {
	d := newTestDispatcher("a")
	require.True(t, d.Enqueue(start, startCall(1, "w"), ""))
	now := start
	for now.Sub(start) < silenceTimeout {
		now = now.Add(50 * model.Millisecond)
		require.Empty(t, d.Advance(now, heard(start, "a")))
	}
	ended := d.Advance(now.Add(1), heard(start, "a"))
	require.Len(t, ended, 1)
	require.Equal(t, order.NoAnswer, ended[0].Status)
	require.Equal(t, model.WorkerID("w"), ended[0].Call.Worker)
	require.False(t, d.Enqueue(now, startCall(2, "w"), ""), "the leader makes calls itself when no replica is heard")
	require.Empty(t, d.HandleReplies(now, "a", result(1, order.Accepted)), "the result is no longer awaited")
}

// Guards against awaiting a result until its time limit although the call was lost with
// a connection or by a restart of its delegate.
func TestCallsThatDidNotArriveEnd(t *testing.T) {
	d, a := newTestDispatcher("a"), newTestAgent()
	poll := func(seq uint64) order.Call {
		return order.Call{Seq: seq, Worker: "w", Poll: &order.Poll{Wait: 3 * model.Second}}
	}
	require.True(t, d.Enqueue(start, poll(1), ""))
	d.Flush() // lost on the way
	require.True(t, d.Enqueue(start, poll(2), ""))
	a.AcceptCalls(start, "leader", d.Flush()[0].Message.WorkerCalls)

	now := start.Add(lossDetectionTime + 1)
	report, ok := a.Flush(now)
	require.True(t, ok)
	ended := d.HandleReplies(now, "a", report.Message.WorkerReplies)
	require.Len(t, ended, 1)
	require.Equal(t, uint64(1), ended[0].Call.Seq)
	require.Equal(t, order.NoAnswer, ended[0].Status)
}

// Guards against calling a worker through the same delegate again and again although
// only the link between the two is cut. Calls that fail at the same time count once.
func TestFailedCallMovesWorkerToAnotherDelegate(t *testing.T) {
	d := newTestDispatcher("a", "b", "c")
	tried := make(map[model.HostID]bool)
	seq := uint64(0)
	for range 3 {
		var host model.HostID
		for range 2 {
			seq++
			require.True(t, d.Enqueue(start, startCall(seq, "w"), ""))
			host = hostOf(t, d, seq)
		}
		tried[host] = true
		require.Len(t, d.HandleReplies(start, host, result(seq, order.NoAnswer)), 1)
		require.Len(t, d.HandleReplies(start, host, result(seq-1, order.NoAnswer)), 1)
	}
	require.Len(t, tried, 3)
	require.False(t, d.Enqueue(start, startCall(9, "w"), ""), "the leader tries it after all others")
	require.True(t, d.Enqueue(start.Add(avoidDuration), startCall(10, "w"), ""))
}

// Guards against a leader that drops answers which have already arrived, and sends all
// its orders again, because it was stalled itself: results are queued behind the ticks.
func TestAnswerThatTheLeaderHandlesLateCounts(t *testing.T) {
	d := newTestDispatcher("a")
	require.True(t, d.Enqueue(start, startCall(1, "w"), ""))
	late := start.Add(2 * model.Second)
	require.Empty(t, d.Advance(late, heard(late, "a")))
	require.Len(t, d.HandleReplies(late, "a", result(1, order.Accepted)), 1, "the worker has accepted the order")
}

// Guards against a leader that makes all calls itself after a stall of its own: it
// handles the messages that the replicas sent meanwhile only after its first tick.
func TestLeaderStallDoesNotSilenceDelegates(t *testing.T) {
	d := newTestDispatcher("a", "b")
	require.True(t, d.Enqueue(start, startCall(1, "w"), ""))
	stalled := start.Add(silenceTimeout + 50*model.Millisecond)
	require.Empty(t, d.Advance(stalled, heard(start, "a", "b")))
	require.True(t, d.Enqueue(stalled, startCall(2, "w"), ""))
	ended := 0
	for now := stalled; now.Sub(stalled) <= silenceTimeout; {
		now = now.Add(50 * model.Millisecond)
		ended += len(d.Advance(now, heard(start, "a", "b")))
	}
	require.Equal(t, 2, ended, "the replicas stay silent for another silenceTimeout")
}

// Guards against orders that a delegate carries out long after it was frozen: neither
// deadline nor token binds a later process of the worker.
func TestAgentDropsOldCalls(t *testing.T) {
	a := newTestAgent()
	calls := &message.WorkerCalls{Term: 1, Reported: start, Calls: []order.Call{startCall(1, "w")}}
	require.Len(t, a.AcceptCalls(start.Add(MaxCallAge), "leader", calls), 1)
	calls.Calls[0].Seq = 2
	require.Empty(t, a.AcceptCalls(start.Add(MaxCallAge+1), "leader", calls))
	m, ok := a.Flush(start)
	require.True(t, ok)
	require.Len(t, m.Message.WorkerReplies.Replies, 1)
	require.Equal(t, uint64(2), m.Message.WorkerReplies.Replies[0].Call.Seq)
	require.Equal(t, order.NoAnswer, m.Message.WorkerReplies.Replies[0].Status)
}

// Guards against an age that is reckoned with the clock of an earlier process of the delegate,
// which was ahead of the present one's: the call seems to be younger than it is.
func TestAgentMakesNoCallsToItsEarlierProcess(t *testing.T) {
	a := newTestAgent()
	for i, reported := range []model.Time{start.Add(10 * model.Second), start.Add(-1), start.Add(1), 0} {
		calls := &message.WorkerCalls{Term: 1, Reported: reported, Calls: []order.Call{startCall(uint64(i), "w")}}
		require.Empty(t, a.AcceptCalls(start.Add(2), "leader", calls))
	}
	m, _ := a.Flush(start.Add(2))
	require.Len(t, m.Message.WorkerReplies.Replies, 4)

	second := start.Add(reportInterval)
	a.Flush(second)
	for i, reported := range []model.Time{start, second} {
		calls := &message.WorkerCalls{Term: 1, Reported: reported, Calls: []order.Call{startCall(uint64(9+i), "w")}}
		require.Len(t, a.AcceptCalls(start.Add(MaxCallAge), "leader", calls), 1)
	}
}

// Guards against the loss of ends that a later process of a worker lists, because a poll for
// the earlier one comes late.
func TestOldPollForgetsNoEnds(t *testing.T) {
	for age, want := range map[model.Duration]uint64{maxRecordedAge - recordedSendTime: 7, maxRecordedAge - recordedSendTime + 1: 0} {
		sent := []order.Call{{Seq: 1, Worker: "w", Poll: &order.Poll{RecordedUpTo: 7, Wait: model.Second}}}
		calls := newTestAgent().AcceptCalls(start.Add(age), "leader", &message.WorkerCalls{Term: 1, Reported: start, Calls: sent})
		require.Len(t, calls, 1)
		require.Equal(t, order.Poll{RecordedUpTo: want, Wait: model.Second}, *calls[0].Poll)
	}
}

// Guards against the same loss by a poll that was accepted in time and is sent late.
func TestPollThatForgetsEndsIsSentSoonOrNot(t *testing.T) {
	poll := order.Call{Poll: &order.Poll{RecordedUpTo: 7}}
	require.Equal(t, start.Add(maxRecordedAge), SendBy(&poll, start))
	for _, c := range []order.Call{startCall(1, "w"), {Poll: &order.Poll{}}, {Stop: &order.Stop{}}} {
		require.Equal(t, start.Add(MaxCallAge), SendBy(&c, start))
	}
}

// Guards against making calls of a leader that was replaced, and against returning
// results to the wrong leader.
func TestAgentServesTheLatestTerm(t *testing.T) {
	a := newTestAgent()
	require.Len(t, a.AcceptCalls(start, "old", &message.WorkerCalls{Term: 1, Reported: start, Calls: []order.Call{startCall(1, "w")}}), 1)
	require.Len(t, a.AcceptCalls(start, "new", &message.WorkerCalls{Term: 2, Reported: start, Calls: []order.Call{startCall(1, "w")}}), 1)
	require.Empty(t, a.AcceptCalls(start, "old", &message.WorkerCalls{Term: 1, Reported: start, Calls: []order.Call{startCall(2, "w")}}))
	a.CompleteCall(start, 1, order.Reply{Call: startCall(1, "w"), Status: order.Refused})
	a.CompleteCall(start, 2, order.Reply{Call: startCall(1, "w"), Status: order.Accepted})
	m, ok := a.Flush(start)
	require.True(t, ok)
	require.Equal(t, model.HostID("new"), m.To)
	require.Len(t, m.Message.WorkerReplies.Replies, 1)
	require.Equal(t, order.Accepted, m.Message.WorkerReplies.Replies[0].Status)
}
