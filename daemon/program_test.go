package daemon_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/devcluster"
)

// The exit codes of primrosedaled, as docs/operators/exit-codes.md gives them.
const (
	exitOK       = 0
	exitUsage    = 2
	exitSettings = 3
)

const waitLimit = 20 * time.Second

// program is primrosedaled with the settings of a cluster of one replica.
type program struct {
	path, folder, settings, operators string
}

func buildProgram(t *testing.T) *program {
	t.Helper()
	dir := t.TempDir()
	p := &program{path: filepath.Join(dir, "primrosedaled"), folder: filepath.Join(dir, "data")}
	out, err := exec.Command("go", "build", "-o", p.path, "../cmd/primrosedaled").CombinedOutput()
	require.NoError(t, err, "%s", out)
	ports := freeAddresses(t, 4)
	p.operators = ports[3]
	p.settings = writeSettings(t, "host", p.folder, ports)
	return p
}

func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	free, err := devcluster.FreeAddresses(n)
	require.NoError(t, err)
	var list []string
	for _, a := range free {
		list = append(list, a.String())
	}
	return list
}

// writeSettings names the host by hostKey.
func writeSettings(t *testing.T, hostKey, folder string, ports []string) string {
	t.Helper()
	text := fmt.Sprintf(`cluster = "test"
%s = "entry-1"
data_centre = "west"
data_folder = %q
listen = { peers = %q, callers = %q, platform = %q, operators = %q }
peer = [{ host = "entry-1", data_centre = "west", address = %q, replica = true }]
`, hostKey, folder, ports[0], ports[1], ports[2], ports[3], ports[0])
	path := filepath.Join(t.TempDir(), "entry-1.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run runs the program to its end.
func (p *program) run(t *testing.T, args ...string) (code int, output string) {
	t.Helper()
	out, err := exec.Command(p.path, args...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), string(out)
	}
	require.NoError(t, err)
	return exitOK, string(out)
}

// start runs the program until it serves and returns how to stop it.
func (p *program) start(t *testing.T) (stop func() int) {
	t.Helper()
	var log bytes.Buffer
	c := exec.Command(p.path, "run", "--settings", p.settings)
	c.Stderr = &log
	require.NoError(t, c.Start())
	t.Cleanup(func() { _ = c.Process.Kill() })
	require.Eventually(t, func() bool {
		answer, err := http.Get("http://" + p.operators + "/readyz")
		if err != nil {
			return false
		}
		defer answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	}, waitLimit, 20*time.Millisecond, "the process does not serve")
	return func() int {
		require.NoError(t, c.Process.Signal(syscall.SIGTERM))
		_ = c.Wait()
		return c.ProcessState.ExitCode()
	}
}

// Guards against a folder that is created twice, shared by two processes, or
// used although it is damaged.
func TestDataFolderMisuseIsRefused(t *testing.T) {
	p := buildProgram(t)
	code, out := p.run(t, "init", "--settings", p.settings)
	require.Equal(t, exitOK, code, out)
	code, out = p.run(t, "init", "--settings", p.settings)
	require.Equal(t, exitSettings, code, out)
	require.Contains(t, out, "data folder already holds data")

	stop := p.start(t)
	second := writeSettings(t, "host", p.folder, freeAddresses(t, 4))
	for _, command := range []string{"run", "init"} {
		code, out = p.run(t, command, "--settings", second)
		require.Equal(t, exitSettings, code, out)
		require.Contains(t, out, "data folder is in use", command)
	}
	require.Equal(t, exitOK, stop(), "SIGTERM")

	segments, err := filepath.Glob(filepath.Join(p.folder, "wal-*.log"))
	require.NoError(t, err)
	require.NotEmpty(t, segments)
	data, err := os.ReadFile(segments[0])
	require.NoError(t, err)
	data[20] ^= 0xff // in the first record, which was synced long ago
	require.NoError(t, os.WriteFile(segments[0], data, 0o600))
	code, out = p.run(t, "run", "--settings", p.settings)
	require.Equal(t, exitSettings, code, out)
	require.Contains(t, out, filepath.Base(segments[0])+" at byte 0")
	require.Contains(t, out, "data folder is damaged")
}

// Guards against a process that starts with settings it does not understand.
func TestInvalidSettingsAreRefused(t *testing.T) {
	p := buildProgram(t)
	wrong := writeSettings(t, "hoost", p.folder, freeAddresses(t, 4))
	for _, command := range []string{"run", "init"} {
		code, out := p.run(t, command, "--settings", wrong)
		require.Equal(t, exitSettings, code, out)
		require.Contains(t, out, wrong+":2: hoost: found an unknown key, allowed one of")
		require.NotContains(t, strings.ToLower(out), "panic")
	}
	require.NoFileExists(t, filepath.Join(p.folder, "identity"))
	for _, args := range [][]string{{}, {"run"}, {"init"}} {
		code, out := p.run(t, args...)
		require.Equal(t, exitUsage, code, out)
	}
}
