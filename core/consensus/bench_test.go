package consensus

import (
	"testing"

	"primrosedale.example/primrosedale/core/model"
)

// BenchmarkLeaderAppend measures a leader with two other voters and six non-voters:
// one proposal, its sync, the replies of all peers, and the outputs.
func BenchmarkLeaderAppend(b *testing.B) {
	n, now := newLeader(b)
	n.cfg.MaxAppendEntries = 64
	n.cfg.MaxInflight = 16
	var peers []NodeID
	for _, host := range []model.HostID{"d", "e", "f", "g", "h", "i"} {
		id := NodeID{Host: host, Incarnation: "1"}
		peers = append(peers, id)
		join(n, now, id, false)
	}
	peers = append(peers, idB, idC)
	n.Step(now, 0, appendReply(idB, 2, now))
	processOutputs(n)
	b.ReportAllocs()
	for b.Loop() {
		index, _ := n.Propose("x")
		n.TakeOutput()
		n.Persisted(2, index)
		for _, id := range peers {
			n.Step(now, 0, appendReply(id, index, now))
			n.TakeOutput()
		}
		if index%10_000 == 0 {
			snap, _ := n.MakeSnapshot(index, "state")
			n.Compact(snap)
		}
	}
}
