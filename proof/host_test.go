package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/view"
)

const (
	// startLimit bounds the time until a process or a cluster is ready.
	startLimit = 20 * time.Second
	// stopLimit bounds a graceful stop. The longest request deadline is 10 s.
	stopLimit   = 20 * time.Second
	statusLimit = 500 * time.Millisecond
	tailBytes   = 3000
)

// host is an entry host of the system, whose process may be down.
type host struct {
	s       *system
	name    string
	centre  model.DataCentreID
	replica bool
	ip      netip.Addr
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
}

// command returns a command that runs the program. The kernel kills the process if
// the test binary dies.
func (h *host) command(verb string) *exec.Cmd {
	c := exec.Command(binary, verb, "--settings", h.settings())
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c
}

// init creates the data folder of an initial replica.
func (h *host) init() {
	out, err := h.command("init").CombinedOutput()
	require.NoError(h.s.t, err, string(out))
}

func (h *host) start() {
	log, err := os.OpenFile(h.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(h.s.t, err)
	c, done := h.command("run"), make(chan struct{})
	// MultiWriter makes exec use a pipe, so that a full disk of the process does not
	// stop its log.
	c.Stderr = io.MultiWriter(log)
	require.NoError(h.s.t, c.Start())
	h.cmd, h.done = c, done
	go func() {
		_ = c.Wait() // callers read the exit code from cmd.ProcessState
		_ = log.Close()
		close(done)
	}()
}

func (h *host) signal(sig syscall.Signal) {
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(sig) // the process may have exited already
	}
}

func (h *host) pause()  { h.signal(syscall.SIGSTOP) }
func (h *host) resume() { h.signal(syscall.SIGCONT) }

// kill ends the process at once and waits until the kernel has reaped it.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	if h.cmd != nil {
		<-h.done
		h.cmd = nil
	}
}

// stop stops the process gracefully and returns its exit code and the time taken.
func (h *host) stop() (int, time.Duration) {
	began := time.Now()
	h.signal(syscall.SIGTERM)
	eventually(h.s.t, stopLimit, h.name+" ends after SIGTERM", func() bool { return isClosed(h.done) })
	code := h.cmd.ProcessState.ExitCode()
	h.cmd = nil
	return code, time.Since(began)
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (h *host) deleteData() { require.NoError(h.s.t, os.RemoveAll(h.data())) }

var statusClient = &http.Client{Timeout: statusLimit, Transport: &http.Transport{DisableKeepAlives: true}}

// status returns the status that the host reports, or nil if it does not answer in
// time.
func (h *host) status() *view.Status {
	response, err := statusClient.Get("http://" + h.address(operatorPort) + "/v1/status")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var s view.Status
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&s) != nil {
		return nil
	}
	return &s
}

// exchange sends one operator request and decodes its answer.
func exchange(ctx context.Context, method, url string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	return answerTo(http.DefaultClient, request, http.StatusOK, answer)
}

// answerTo sends a request and decodes the answer. It returns an error if no answer
// arrives or its status is not want.
func answerTo(c *http.Client, request *http.Request, want int, answer any) error {
	response, err := c.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != want {
		return fmt.Errorf("status %d: %s", response.StatusCode, content)
	}
	return json.Unmarshal(content, answer)
}

func (h *host) serving() bool {
	s := h.status()
	return s != nil && s.Serving
}

func (h *host) tail() string {
	text, _ := os.ReadFile(h.log())
	text = text[max(0, len(text)-tailBytes):]
	return strings.TrimSpace(string(text))
}
