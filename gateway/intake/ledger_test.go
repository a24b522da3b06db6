package intake

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testLimits allow 3 connections and 100 bytes of callers, and as much of operators.
func testLimits() Limits {
	var l Limits
	l.Connections[Callers], l.Connections[Operators] = 3, 3
	l.Bytes[Callers], l.Bytes[Operators] = 100, 100
	return l
}

func open(t *testing.T, l *Ledger, c Class, now time.Duration) ID {
	id, _, ok := l.Open(c, now)
	require.True(t, ok)
	return id
}

// Guards against a process without descriptors for other classes, and against limits below
// what the largest deployments need.
func TestLimitsLeaveAReserve(t *testing.T) {
	for _, descriptors := range []int{512, 1024, 4096, 4100, 65536} {
		l := NewLimits(184<<20, descriptors)
		entry := l.Connections[Callers] + l.Connections[Readiness] + l.Connections[Metrics] + l.Connections[Peers]
		require.Less(t, entry+64, descriptors)
		require.Positive(t, l.Connections[Callers])
	}
	replica := NewLimits(408<<20, 4096)
	require.GreaterOrEqual(t, replica.Connections[Operators], 3000, "workers with a connection each")
	require.GreaterOrEqual(t, replica.Connections[Peers], 9+35, "other hosts")
	require.GreaterOrEqual(t, replica.Bytes[Operators], int64(8*4<<20), "eight calls of operators")
	require.GreaterOrEqual(t, replica.Bytes[Workers], int64(2000*requestCost), "the heartbeats of 3,000 workers of one second at once")
}

// Guards against a crowd of silent connections that keeps everyone else out: the one that
// has been silent for longest gives way, and never one whose request is being served.
func TestSilentConnectionsGiveWay(t *testing.T) {
	l := NewLedger(testLimits())
	serving := open(t, l, Callers, 0)
	l.SetPhase(serving, Serving, 0)
	idle := open(t, l, Callers, 0)
	l.SetPhase(idle, Idle, 0)
	silent := open(t, l, Callers, time.Millisecond)

	_, _, ok := l.Open(Callers, stallTime/2)
	require.False(t, ok, "nobody has stalled yet")
	_, shed, ok := l.Open(Callers, 2*stallTime)
	require.True(t, ok)
	require.Equal(t, silent, shed, "a connection without any request comes before an idle one")
	_, shed, ok = l.Open(Callers, 2*stallTime)
	require.True(t, ok)
	require.Equal(t, idle, shed)
	_, _, ok = l.Open(Callers, 2*stallTime)
	require.False(t, ok)
	open(t, l, Operators, 2*stallTime)
}

// Guards against a crowd of unfinished bodies that keeps everyone else out: the one that
// holds most of those that stopped sending gives way. A body that still arrives does not.
func TestUnfinishedBodiesGiveWay(t *testing.T) {
	l := NewLedger(testLimits())
	small, large, active := open(t, l, Callers, 0), open(t, l, Callers, 0), open(t, l, Callers, 0)
	for id, n := range map[ID]int64{small: 20, large: 40, active: 40} {
		l.SetPhase(id, Receiving, 0)
		_, ok := l.Hold(id, Callers, n, 0)
		require.True(t, ok)
	}
	l.Progress(active, 2*stallTime)
	shed, ok := l.Hold(active, Callers, 30, 2*stallTime)
	require.False(t, ok)
	require.Equal(t, []ID{large}, shed)
	shed, ok = l.Hold(active, Callers, 30, 2*stallTime)
	require.False(t, ok, "its bytes count until it is closed")
	require.Empty(t, shed, "it is enough to close one")
	l.Close(large)
	_, ok = l.Hold(active, Callers, 30, 2*stallTime)
	require.True(t, ok)
	_, ok = l.Hold(active, Operators, 100, 2*stallTime)
	require.True(t, ok, "operators have a part of their own")
	_, ok = l.Hold(active, Callers, 101, 2*stallTime)
	require.False(t, ok)
}

// Guards against bytes or connections that are given back twice or not at all, on any
// sequence of calls.
func TestLedgerBalances(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		limits := testLimits()
		l := NewLedger(limits)
		var ids []ID
		now := time.Duration(0)
		for range 300 {
			now += time.Duration(random.Int64N(int64(stallTime)))
			var id ID
			if len(ids) > 0 {
				id = ids[random.IntN(len(ids))]
			}
			switch random.IntN(6) {
			case 0, 1:
				if opened, _, ok := l.Open(Class(random.IntN(2)*int(Operators)), now); ok {
					ids = append(ids, opened)
				}
			case 2:
				l.Close(id)
			case 3:
				l.Hold(id, Class(random.IntN(2)*int(Operators)), random.Int64N(60), now)
			case 4:
				l.Release(id)
			case 5:
				l.SetPhase(id, Phase(random.IntN(int(Idle)+1)), now)
			}
			for c := range classCount {
				connections, bytes := l.Used(c)
				require.LessOrEqual(t, connections, limits.Connections[c])
				require.LessOrEqual(t, bytes, limits.Bytes[c])
				require.GreaterOrEqual(t, bytes, int64(0))
			}
		}
		for _, id := range ids {
			l.Close(id)
		}
		for c := range classCount {
			connections, bytes := l.Used(c)
			require.Zero(t, connections)
			require.Zero(t, bytes)
		}
	}
}

// Guards against decoding a document whose values take many times its bytes.
func TestShape(t *testing.T) {
	require.Equal(t, Shape{Values: 9, Objects: 2, Depth: 3}, ShapeOf([]byte(`{"a":[{},-1.5e3, true ,null],"b":"x\"[{"}`)))
	require.Equal(t, Shape{Values: 1, Depth: 0}, ShapeOf([]byte(`"unclosed {`)))
	require.Equal(t, Shape{}, ShapeOf(nil))
	require.NoError(t, Shape{1, 1, 1}.Check(Shape{1, 1, 1}))
	require.ErrorContains(t, Shape{Objects: 2}.Check(Shape{1, 1, 1}), "objects")
	require.ErrorContains(t, Shape{Depth: 2}.Check(Shape{1, 1, 1}), "nested")
}

// FuzzShape guards against a panic, and against counting fewer values than a document has.
func FuzzShape(f *testing.F) {
	f.Add([]byte(`{"a":[{},-1.5e3,true,null],"b":"x\"[{"}`))
	f.Add([]byte(`[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := ShapeOf(data)
		require.LessOrEqual(t, s.Values, len(data))
		require.LessOrEqual(t, s.Objects, s.Values)
	})
}
