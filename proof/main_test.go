// Package proof runs the built primrosedaled as separate processes, injects
// faults between them, and checks the invariants of docs/design.md 2.1 against the
// records kept by the stand-in targets, workers and callers. docs/PROOFS.md lists
// the results.
package proof

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// binary is the path of the program under test. PROOF_BINARY selects one that is
// already built, for instance a mutant.
var binary = os.Getenv("PROOF_BINARY")

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	logrus.SetOutput(io.Discard) // the proxies log each connection
	if binary == "" {
		folder, err := os.MkdirTemp("", "primrosedale-proof-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(folder)
		binary = filepath.Join(folder, "primrosedaled")
		build := exec.Command("go", "build", "-o", binary, "../cmd/primrosedaled")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintln(os.Stderr, err, string(out))
			return 1
		}
	}
	return m.Run()
}

// eachFault runs a proof under each of the named faults, in parallel.
func eachFault[F any](t *testing.T, faults map[string]F, run func(*testing.T, F)) {
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(t, fault)
		})
	}
}

// pollPause is the time between two checks of a condition.
const pollPause = 10 * time.Millisecond

// eventually waits until the condition holds and returns how long it took.
func eventually(t testing.TB, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			require.FailNow(t, "condition not met", "%s: not within %s", what, limit)
		}
		time.Sleep(pollPause)
	}
	return time.Since(began)
}

// stays checks that the condition holds for the whole duration.
func stays(t testing.TB, length time.Duration, what string, condition func() bool) {
	t.Helper()
	for began := time.Now(); time.Since(began) < length; time.Sleep(pollPause) {
		require.True(t, condition(), "%s: did not hold after %s", what, time.Since(began))
	}
}
