package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/announce"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/gateway"
)

const waitFor = 10 * time.Second

// fakePlatform records announcements and answers those of workers with orders.
type fakePlatform struct {
	mu      sync.Mutex
	targets []announce.TargetAnnouncement
	workers []announce.WorkerAnnouncement
	orders  []announce.Order
	reboot  string
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := announce.Reply{}
	if r.URL.Path == "/platform/v1/targets/t1" {
		var body announce.TargetAnnouncement
		json.NewDecoder(r.Body).Decode(&body)
		p.targets = append(p.targets, body)
		answer.Acked = body.Sequence
	} else {
		var body announce.WorkerAnnouncement
		json.NewDecoder(r.Body).Decode(&body)
		p.workers = append(p.workers, body)
		answer = announce.Reply{Acked: body.Sequence, Orders: p.orders, Reboot: p.reboot != "", Image: p.reboot}
	}
	json.NewEncoder(w).Encode(answer)
}

func (p *fakePlatform) set(orders ...announce.Order) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = orders
}

// last returns the latest announcements of the target and of the worker. For the target
// it goes by sequence, because an earlier announcement may arrive later on another
// connection.
func (p *fakePlatform) last() (t announce.TargetAnnouncement, w announce.WorkerAnnouncement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.targets {
		if a.Sequence > t.Sequence {
			t = a
		}
	}
	if n := len(p.workers); n > 0 {
		w = p.workers[n-1]
	}
	return t, w
}

func startPlatform(t *testing.T) (*fakePlatform, string) {
	p := &fakePlatform{}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, server.Listener.Addr().String()
}

func runOn(t *testing.T, target *Target, request, ticket string, inc model.Incarnation) (ran string, reason string) {
	t.Helper()
	post, err := http.NewRequest(http.MethodPost, "http://"+target.Address()+"/run/proofs", bytes.NewReader([]byte("x")))
	require.NoError(t, err)
	for name, value := range map[string]string{
		"Primrosedale-Request-Id": request, gateway.TeamHeader: "press", gateway.AttemptHeader: "1",
		gateway.TicketHeader: ticket, gateway.IncarnationHeader: string(inc), gateway.DeadlineHeader: "20",
	} {
		post.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(post)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.Header.Get(gateway.RanHeader), string(bytes.TrimSpace(body))
}

// Guards against a stand-in that runs a request that a real target would refuse, and
// against one that stops while a request runs.
func TestTargetRefusesAndLeaves(t *testing.T) {
	fake, address := startPlatform(t)
	started, release := make(chan struct{}), make(chan struct{})
	target, err := StartTarget(TargetConfig{
		ID: "t1", Service: "render", DataCentre: "west", Host: "h1", Slots: 1, Interval: 5 * time.Millisecond, Platforms: []string{address},
		Work: func(context.Context, []byte) model.Answer {
			close(started)
			<-release
			return model.Answer{Status: 200, Body: []byte("done")}
		},
	})
	require.NoError(t, err)
	defer target.Stop()
	require.Eventually(t, func() bool { return target.Counts().Acked > 0 }, waitFor, time.Millisecond)

	refused := func(request, ticket string, inc model.Incarnation, want string) {
		ran, reason := runOn(t, target, request, ticket, inc)
		assert.Equal(t, "no", ran)
		assert.Equal(t, want, reason)
	}
	refused("r0", "1", "other", RefusedIncarnation)
	refused("r0", "999999", target.Incarnation(), RefusedTicket)
	first := make(chan string)
	go func() {
		defer close(first) // a failed request fails the test instead of hanging it
		_, body := runOn(t, target, "r1", "1", target.Incarnation())
		first <- body
	}()
	<-started
	refused("r2", "1", target.Incarnation(), RefusedSlots)
	require.Eventually(t, func() bool { a, _ := fake.last(); return len(a.Running) == 1 }, waitFor, time.Millisecond)

	left := make(chan error)
	go func() { left <- target.Leave(context.Background()) }()
	require.Eventually(t, func() bool { a, _ := fake.last(); return a.State == message.TargetLeaving }, waitFor, time.Millisecond)
	refused("r3", "1", target.Incarnation(), RefusedLeaving)
	close(release)
	assert.Equal(t, "done", <-first)
	require.NoError(t, <-left)
	last, _ := fake.last()
	assert.Empty(t, last.Running)
	counts := target.Counts()
	assert.Equal(t, map[model.RequestID]int{"r1": 1}, counts.Runs)
	assert.Equal(t, 1, counts.MaxRunningByTeam["press"])
}

// phaseOf returns the phase and the note that the worker last reported for a task.
func phaseOf(fake *fakePlatform, task model.TaskID) (message.TaskRunPhase, string) {
	_, report := fake.last()
	for _, run := range report.Runs {
		if run.Task == task {
			return run.Phase, run.Note
		}
	}
	return "", ""
}

// Guards against a stand-in worker that keeps running a task after its lease has
// expired, runs a task twice, or ignores an order.
func TestWorkerExecutesOrders(t *testing.T) {
	fake, address := startPlatform(t)
	worker := StartWorker(WorkerConfig{
		ID: "w1", DataCentre: "west", Rack: "r1", Interval: 5 * time.Millisecond, Platforms: []string{address},
		Checkpoints: NewCheckpoints(),
		Duration: func(task model.TaskID, _ string) time.Duration {
			if task == "short" {
				return 20 * time.Millisecond
			}
			return time.Hour
		},
	})
	defer worker.Stop()
	run := func(task model.TaskID, lease int64) announce.Order {
		return announce.Order{Kind: message.OrderRun, Task: task, Epoch: 1, LeaseMS: lease}
	}
	await := func(task model.TaskID, phase message.TaskRunPhase, note string) {
		t.Helper()
		require.Eventually(t, func() bool {
			gotPhase, gotNote := phaseOf(fake, task)
			return gotPhase == phase && gotNote == note
		}, waitFor, time.Millisecond)
	}
	fake.set(run("short", 5000), run("long", 5000))
	await("short", message.RunFinished, "")
	await("long", message.RunRunning, "")
	fake.set(announce.Order{Kind: message.OrderStop, Task: "long", Epoch: 1}, announce.Order{Kind: message.OrderForget, Task: "short", Epoch: 1})
	await("long", message.RunStopped, "stopped by order")
	await("short", "", "")
	fake.set(run("brief", 50))
	await("brief", message.RunRunning, "")
	fake.set()
	await("brief", message.RunStopped, "lease ended")
	fake.set(run("saved", 5000))
	await("saved", message.RunRunning, "")
	resumed := run("never saved", 5000)
	resumed.Resume = true
	fake.set(announce.Order{Kind: message.OrderCheckpoint, Task: "saved", Epoch: 1, Keep: true}, resumed)
	await("saved", message.RunSaved, "checkpoint saved")
	require.NotContains(t, worker.StartCounts(), RunID{"never saved", 1}, "it would repeat an earlier run")
	worker.SetMode(FailsAll)
	fake.set(run("any", 5000))
	await("any", message.RunFailed, "this worker fails every task")
	for id, count := range worker.StartCounts() {
		assert.Equal(t, 1, count, id)
	}
	require.NoError(t, worker.LastError())
}

// Guards against a caller that counts a wrong answer or a refusal as the answer to its
// request.
func TestCallerCounts(t *testing.T) {
	var mu sync.Mutex
	count := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		turn := count % 4
		count++
		mu.Unlock()
		switch turn {
		case 0:
			w.Write(body)
		case 1:
			w.Write(append(body, 'x'))
		case 2:
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(503)
			io.WriteString(w, `{"kind":"overloaded","ran":"no"}`)
		case 3:
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	counts, err := RunCaller(context.Background(), CallerConfig{
		Gateways: []string{server.Listener.Addr().String()}, Queue: "public", Requests: 40, Rate: 2000, Size: 200,
	})
	require.NoError(t, err)
	assert.Equal(t, 10, counts.Answered)
	assert.Equal(t, 10, counts.Wrong)
	assert.Equal(t, 10, counts.NotRun)
	assert.Equal(t, 10, counts.Unknown)
	assert.Equal(t, map[problem.Kind]int{problem.Overloaded: 10}, counts.Kinds)
	assert.Len(t, counts.Bodies, 40)
}
