package recording

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzVerify guards against a panic on any file, and against a result that depends on
// anything but the file. Minimising its long inputs takes longer than a short fuzzing
// run, so use -fuzzminimizetime 10x.
func FuzzVerify(f *testing.F) {
	path := filepath.Join(f.TempDir(), "run.journal")
	recordRun(f, path)
	recorded, err := os.ReadFile(path)
	require.NoError(f, err)
	lines := bytes.SplitAfter(recorded, []byte("\n"))
	f.Add(bytes.Join(lines[:12], nil))
	f.Add(append(bytes.Clone(lines[0]), lines[0]...))
	f.Add([]byte(`{"start":{"version":1}}` + "\n"))
	for _, kind := range []string{"received", "command_submitted", "target_reported", "worker_reported", "forward_ended", "request_arrived"} {
		f.Add(append(bytes.Clone(lines[0]), `{"input":{"at":2,"rand":1,"kind":"`+kind+`","event":{}}}`+"\n"...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Verify(bytes.NewReader(data))
		second, again := Verify(bytes.NewReader(data))
		require.Equal(t, err == nil, again == nil)
		require.Equal(t, first, second)
	})
}
