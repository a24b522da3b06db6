package codec

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

func benchRun(i int) jobs.RunRef {
	job := model.JobID(fmt.Sprintf("press.example/queues/night-%d/jobs/%08x", i%7, i*2654435761))
	return jobs.RunRef{TaskRef: jobs.TaskRef{Job: job, Step: i % 3, Index: i % 16}, Run: 1 + i%2}
}

func benchWorker(i int) model.WorkerID { return model.WorkerID(fmt.Sprintf("worker-%04d", i%350)) }

// benchEntries returns n entries, alternately an assignment and an end of 1 to 4 runs.
func benchEntries(n int) []Entry {
	var entries []Entry
	for i := range n {
		c := &jobs.Command{}
		if i%2 == 0 {
			c.Assign = &jobs.Assign{}
			for j := range 1 + i%4 {
				c.Assign.Runs = append(c.Assign.Runs, jobs.Assignment{RunRef: benchRun(i + j), Worker: benchWorker(i), Incarnation: uint64(1000 + i)})
			}
		} else {
			c.End = &jobs.End{Worker: benchWorker(i), Incarnation: uint64(1000 + i), Through: uint64(70 + i)}
			for j := range 1 + i%4 {
				c.End.Runs = append(c.End.Runs, jobs.Ending{RunRef: benchRun(i + j), Outcome: jobs.OutcomeDone})
			}
		}
		entries = append(entries, Entry{Index: uint64(250_000 + i), Term: 3, Command: &fleet.Command{At: model.Time(1_780_000_000_000_000_000 + i), Jobs: c}})
	}
	return entries
}

func benchAppend() *message.Message {
	return &message.Message{Log: &message.Log{
		Kind: consensus.MsgAppend, Term: 3, LogTerm: 3, Index: 249_999, Commit: 249_980,
		From: consensus.NodeID{Host: "ubwh-a1", Incarnation: "0f3a9c4e"}, To: consensus.NodeID{Host: "ubwh-b2", Incarnation: "77aa0134"},
		Entries: benchEntries(40), Sent: 1_780_000_000_000_000_000,
	}}
}

func benchSubmit() *message.Message {
	return &message.Message{Call: &call.Call{Seq: 80_123, Incarnation: "0f3a9c4e", Patience: 5 * model.Second, Submit: &call.Submit{
		Address: call.Address{Host: "press.example", Path: "/queues/night-3/jobs/0c1d2e3f", Key: model.Digest(strings.Repeat("5e", 32))},
		Job: jobs.Job{
			Service: "press", Team: "print", Spec: strings.Repeat("render page; ", 12), Phase: "queued",
			Steps: []jobs.Step{
				{Tasks: 4, Size: model.Resources{MilliCPU: 500, MemoryMB: 512}, Estimate: 3 * model.Second, Checkpoints: true},
				{Tasks: 1, Size: model.Resources{MilliCPU: 250, MemoryMB: 128}, After: []int{0}},
			},
		},
	}}}
}

func benchContact() *message.Message {
	return &message.Message{Contact: &call.Contact{Seq: 80_123}}
}

// benchReplies returns the replies of n workers to a poll.
func benchReplies(n int) []order.Reply {
	var replies []order.Reply
	for i := range n {
		r := order.Reply{
			Call: order.Call{Seq: uint64(9000 + i), Worker: benchWorker(i), Incarnation: 1000, Address: fmt.Sprintf("10.1.2.%d:7301", i), Token: 1 << 33,
				Poll: &order.Poll{Deadline: 1_234_567, RecordedUpTo: 70, Wait: model.Second, AnswerTime: model.Second}},
			Status: order.Accepted, Clock: 1_230_000, StartedAt: 1_780_000_000_123,
		}
		for j := range 8 {
			r.Running = append(r.Running, order.Running{RunRef: benchRun(8*i + j), Percent: 10 * j, Load: 480})
		}
		r.Ended = []order.Ended{{Number: 71, RunRef: benchRun(i), Outcome: jobs.OutcomeDone}}
		replies = append(replies, r)
	}
	return replies
}

// benchEncoding measures one pair of encoder and decoder.
func benchEncoding(b *testing.B, encode func([]byte) ([]byte, error), decode func([]byte) error) {
	var data []byte
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var err error
			data, err = encode(data[:0])
			require.NoError(b, err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			require.NoError(b, decode(data))
		}
	})
}

// benchValue measures the JSON and the packed encoding of v.
func benchValue[T any](b *testing.B, v T) {
	b.Run("json", func(b *testing.B) {
		benchEncoding(b,
			func([]byte) ([]byte, error) { return encode("value", v, MaxMessageBytes) },
			func(data []byte) error {
				value := new(T)
				return decode("value", data, &value, MaxMessageBytes)
			})
	})
	l := newLayoutBuilder().layoutOf(reflect.TypeFor[T]())
	b.Run("packed", func(b *testing.B) {
		benchEncoding(b,
			func(dst []byte) ([]byte, error) {
				w := writer{data: dst}
				l.write(&w, reflect.ValueOf(&v).Elem())
				return w.data, w.err
			},
			func(data []byte) error {
				r := reader{data: data}
				l.read(&r, reflect.ValueOf(new(T)).Elem())
				return r.err
			})
	})
}

func BenchmarkEncodings(b *testing.B) {
	b.Run("append", func(b *testing.B) { benchValue(b, *benchAppend()) })
	b.Run("submit", func(b *testing.B) { benchValue(b, *benchSubmit()) })
	b.Run("contact", func(b *testing.B) { benchValue(b, *benchContact()) })
	b.Run("replies", func(b *testing.B) { benchValue(b, struct{ Replies []order.Reply }{benchReplies(20)}) })
}

// BenchmarkFollowers measures the encoding of one append message for eight followers.
func BenchmarkFollowers(b *testing.B) {
	const followers = 8
	m := benchAppend()
	b.Run("json", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			for range followers {
				_, err := EncodeMessage(m)
				require.NoError(b, err)
			}
		}
	})
	b.Run("packed", func(b *testing.B) {
		b.ReportAllocs()
		var data []byte
		for b.Loop() {
			p := new(Packer) // a new Packer: no entry is cached yet
			for range followers {
				var err error
				data, err = p.AppendMessage(data[:0], m)
				require.NoError(b, err)
			}
		}
	})
}
