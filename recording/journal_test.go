package recording

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

const ticks = 100

var config = core.Config{Host: "a", DataCentre: "west", Incarnation: "1", Replica: "1", Durable: true, MaxVoters: 1}

// recordRun records a run of a process that becomes the leader of a cluster of one.
func recordRun(t testing.TB, path string) {
	t.Helper()
	stored := consensus.Bootstrap[fleet.Command, *fleet.State]([]consensus.NodeID{{Host: "a", Incarnation: "1"}})
	s, err := core.New(config, stored, 1, 7)
	require.NoError(t, err)
	w, err := Create(path, config, stored, 1, 7)
	require.NoError(t, err)
	r := NewRecorder(w, func(err error) { t.Error(err) })
	pending := []event.Event{}
	for i := range ticks {
		pending = append(pending, event.Tick{})
		for len(pending) > 0 {
			in := event.Input{At: model.Time(i+1) * model.Time(core.TickInterval), Rand: uint64(i), Event: pending[0]}
			pending = pending[1:]
			effects := core.Reduce(s, in)
			r.Record(in, effects)
			for _, e := range effects {
				if p, ok := e.(effect.Persist); ok {
					pending = append(pending, event.Persisted{Term: p.Term, Index: p.Index})
				}
			}
		}
	}
	r.Checkpoint(s.Inspect())
	runToEnd(t, r)
}

func runToEnd(t testing.TB, r *Recorder) {
	t.Helper()
	var group tomb.Tomb
	group.Go(func() error { return r.Run(&group) })
	group.Kill(nil)
	require.NoError(t, group.Wait())
}

func read(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return text
}

// Guards against a verification that accepts a journal whose effects differ, or that
// does not report the place of the difference.
func TestVerifyNamesTheFirstDifference(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	recordRun(t, path)
	text := read(t, path)
	require.True(t, IsJournal(text))
	report, err := Verify(bytes.NewReader(text))
	require.NoError(t, err)
	require.Nil(t, report.FirstDifference)
	require.Equal(t, 1, report.States)

	lines := strings.Split(string(text), "\n")
	for i, line := range lines {
		if at := strings.Index(line, `"Publish `); at >= 0 {
			lines[i] = line[:at+9] + strings.Repeat("0", 32) + line[at+9+32:]
			report, err = Verify(strings.NewReader(strings.Join(lines, "\n")))
			require.NoError(t, err)
			require.NotNil(t, report.FirstDifference)
			require.Equal(t, i+1, report.FirstDifference.Line)
			require.Contains(t, report.FirstDifference.What, "effect")
			require.NotEmpty(t, report.FirstDifference.Content)
			return
		}
	}
	t.Fatal("the journal holds no published view")
}

// Guards against a journal that cannot be verified after its process was killed in the
// middle of a line, and against a damaged line that is accepted as such an end.
func TestVerifyAcceptsOnlyATruncatedLastLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	recordRun(t, path)
	whole := len(read(t, path))
	require.NoError(t, os.Truncate(path, int64(whole-10)))
	report, err := Verify(bytes.NewReader(read(t, path)))
	require.NoError(t, err)
	require.Equal(t, 1, report.TruncatedRuns)

	recordRun(t, path)
	text := read(t, path)
	report, err = Verify(bytes.NewReader(text))
	require.NoError(t, err)
	require.Equal(t, 2, report.Runs)
	require.Equal(t, 1, report.TruncatedRuns)

	damaged := bytes.Replace(text, []byte(`"kind":"tick"`), []byte(`"kind";"tick"`), 1)
	_, err = Verify(bytes.NewReader(damaged))
	require.Error(t, err)
}

// Guards against a slow disk that blocks the control goroutine, and against a journal
// with a gap. When the queue overflows, the queued inputs must be written, later ones
// must not be recorded, and the reason must be reported.
func TestRecorderClosesOnQueueOverflow(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	stored := consensus.Bootstrap[fleet.Command, *fleet.State]([]consensus.NodeID{{Host: "a", Incarnation: "1"}})
	var reason error
	w, err := Create(path, config, stored, 1, 7)
	require.NoError(t, err)
	r := NewRecorder(w, func(err error) { reason = err })
	s, err := core.New(config, stored, 1, 7)
	require.NoError(t, err)
	for range 2 * queueSize { // Run does not read the queue yet
		in := event.Input{At: 2, Event: event.Tick{}}
		r.Record(in, core.Reduce(s, in))
	}
	var group tomb.Tomb
	group.Go(func() error { return r.Run(&group) })
	require.NoError(t, group.Wait())
	require.ErrorIs(t, reason, ErrQueueOverflow)
	report, err := Verify(bytes.NewReader(read(t, path)))
	require.NoError(t, err)
	require.Equal(t, queueSize, report.Inputs)
}
