package transport

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/logevent"
)

// appendAt returns an append message with n new entries after index.
func appendAt(index uint64, n int) message.Message {
	log := &message.Log{Kind: consensus.MsgAppend, Term: 3, LogTerm: 3, Index: index, Commit: index}
	for i := range n {
		run := jobs.RunRef{TaskRef: jobs.TaskRef{Job: model.JobID(fmt.Sprintf("press.example/queues/night/jobs/%08x", i)), Index: i}, Run: 1}
		worker := model.WorkerID(fmt.Sprintf("worker-%04d", i))
		c := &jobs.Command{Assign: &jobs.Assign{Runs: []jobs.Assignment{{RunRef: run, Worker: worker, Incarnation: 1000}}}}
		if i%2 == 1 {
			c = &jobs.Command{End: &jobs.End{Worker: worker, Incarnation: 1000, Through: 70, Runs: []jobs.Ending{{RunRef: run, Outcome: jobs.OutcomeDone}}}}
		}
		log.Entries = append(log.Entries, consensus.Entry[fleet.Command]{
			Index: index + 1 + uint64(i), Term: 3, Command: &fleet.Command{At: 1_780_000_000_000_000_000, Jobs: c},
		})
	}
	return message.Message{Log: log}
}

// BenchmarkAppend measures sending an append message of 40 new entries to eight followers
// over loopback, without the processing by the followers.
func BenchmarkAppend(b *testing.B) {
	b.Run("json", func(b *testing.B) { benchmarkAppend(b, nil) })
	b.Run("packed", func(b *testing.B) { benchmarkAppend(b, []string{codec.PackedFormat()}) })
}

func benchmarkAppend(b *testing.B, reads []string) {
	const followers, entries = 8, 40
	arrived := make(chan int, followers)
	peers := map[model.HostID]string{}
	var tb tomb.Tomb
	for i := range followers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		defer l.Close()
		host := model.HostID(fmt.Sprint(i))
		peers[host] = l.Addr().String()
		tb.Go(func() error {
			_ = acceptOne(l, helloReply{Host: host, Frames: true, Reads: reads}, func(message []byte) { arrived <- len(message) })
			return nil
		})
	}
	tr := New(Config{Cluster: "c", Host: "a", Peers: peers}, make(inbox, 1), logevent.Logger{})
	tb.Go(func() error {
		tr.Run(&tb)
		<-tb.Dying()
		return nil
	})
	index, size := uint64(0), 0
	send := func(m message.Message) {
		for host := range peers {
			tr.Send(effect.Send{To: host, Message: m})
		}
		size = 0
		for range followers {
			size += <-arrived
		}
	}
	send(appendAt(0, entries)) // returns once all followers are connected
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		index += entries
		m := appendAt(index, entries)
		b.StartTimer()
		send(m)
	}
	b.ReportMetric(float64(size)/followers, "bytes")
	tb.Kill(nil)
	require.NoError(b, tb.Wait())
}
