package devcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/gateway"
	"primrosedale.example/primrosedale/operator/client"
	"primrosedale.example/primrosedale/standin"
)

// taskClient submits tasks to one host of a cluster.
type taskClient struct {
	t    *testing.T
	base string
	key  string
}

// exchange makes one call and returns the status and the body.
func (c taskClient) exchange(method, path, body string) (int, []byte) {
	c.t.Helper()
	r, err := http.NewRequest(method, c.base+path, bytes.NewBufferString(body))
	require.NoError(c.t, err)
	r.Header.Set("Authorization", "Bearer "+c.key)
	response, err := http.DefaultClient.Do(r)
	require.NoError(c.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return response.StatusCode, content
}

func (c taskClient) call(method, path, body string, want int, answer any) {
	c.t.Helper()
	status, content := c.exchange(method, path, body)
	require.Equal(c.t, want, status, "%s", content)
	require.NoError(c.t, json.Unmarshal(content, answer))
}

// awaitKey returns once the host has applied the grant of the key.
func (c taskClient) awaitKey() {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		status, _ := c.exchange(http.MethodGet, "/v1/tasks/none", "")
		return status == http.StatusNotFound
	}, 5*time.Second, 20*time.Millisecond, "the key is not in force")
}

func (c taskClient) submit(command string) model.TaskID {
	c.t.Helper()
	var answer struct {
		Task model.TaskID `json:"task"`
	}
	body := `{"pool":"press","command":"` + command + `","milli_cpu":1000,"memory_mb":500,"max_run_s":60,"idempotent":true}`
	c.call(http.MethodPost, "/v1/tasks", body, http.StatusAccepted, &answer)
	return answer.Task
}

// await waits until done returns true for the task, and returns the task.
func (c taskClient) await(id model.TaskID, done func(gateway.TaskStatus) bool) gateway.TaskStatus {
	c.t.Helper()
	var task gateway.TaskStatus
	require.Eventually(c.t, func() bool {
		task = gateway.TaskStatus{}
		c.call(http.MethodGet, "/v1/tasks/"+string(id), "", http.StatusOK, &task)
		return done(task)
	}, 30*time.Second, 50*time.Millisecond, "task %s", id)
	return task
}

func inPhase(phase fleet.TaskPhase) func(gateway.TaskStatus) bool {
	return func(t gateway.TaskStatus) bool { return t.Phase == phase }
}

const taskObjective = `objective.press-tasks = { team = "press", pool = "press", good = 0.9, window_h = 24 } # test` + "\n"

// startSystem starts a cluster with four workers. It returns the cluster, the targets and
// workers, and a client whose key is in force.
func startSystem(t *testing.T, configure func(*standin.WorkerConfig)) (*Cluster, *Environment, taskClient) {
	list := layout(t, devReplicas, 1)
	cluster := startCluster(t, list, io.Discard, true)
	environment, key := startWork(t, cluster, 1, standin.Echo(devRunTime), devRules+taskObjective)
	environment.StartWorkers(4, configure)
	c := taskClient{t, "http://" + list[3].Listen.Callers.String(), key}
	c.awaitKey()
	return cluster, environment, c
}

// Guards against tasks that stay queued, cannot be cancelled or are lost with their
// worker. It uses real daemons with stand-in workers.
func TestTasksOnWorkers(t *testing.T) {
	cluster, environment, c := startSystem(t, nil)
	finished := c.await(c.submit("sleep 1s"), inPhase(fleet.TaskFinished))
	require.EqualValues(t, 1, finished.Epoch)

	cancelled := c.submit("sleep 50s")
	c.await(cancelled, inPhase(fleet.TaskPlaced))
	c.call(http.MethodDelete, "/v1/tasks/"+string(cancelled), "", http.StatusAccepted, &struct{}{})
	c.await(cancelled, inPhase(fleet.TaskCancelled))

	moved := c.submit("sleep 3s")
	first := c.await(moved, inPhase(fleet.TaskPlaced))
	for i, w := range environment.Workers {
		if first.Worker == model.HostID([]string{"worker-1", "worker-2", "worker-3", "worker-4"}[i]) {
			w.SetMode(standin.Silent)
		}
	}
	last := c.await(moved, inPhase(fleet.TaskFinished))
	require.EqualValues(t, 2, last.Epoch)
	require.NotEqual(t, first.Worker, last.Worker)

	status, err := client.New(cluster.OperatorAddresses(), nil).Status(context.Background())
	require.NoError(t, err)
	require.Equal(t, map[fleet.TaskPhase]int{fleet.TaskFinished: 2, fleet.TaskCancelled: 1}, status.Tasks)
	require.Len(t, status.Pools, 1)
	require.Equal(t, 4, status.Pools[0].Hosts)
	require.Equal(t, 1, status.Pools[0].Unavailable)
	report := awaitReport(t, cluster, 2)
	require.Equal(t, burn.Counts{Good: 2}, report.Lines[0].Counts, "a cancelled task does not count, one that ran again counts once")
}

// Guards against a wave whose reboots do not reach the workers, and against a task that
// never finishes because of a wave.
func TestWaveRebootsWorkers(t *testing.T) {
	rebooted := make(chan string, 8)
	cluster, _, c := startSystem(t, func(cfg *standin.WorkerConfig) {
		cfg.Image = "k8"
		cfg.Rebooted = func(image string) { rebooted <- image }
	})
	task := c.submit("sleep 1s")
	apply(t, cluster, strings.Replace(devRules, "revision = 1", "revision = 2", 1)+
		"wave.kernel = { pools = [\"press\"], image = \"k9\" } # test\n")
	for count := 0; count < 4; {
		select {
		case image := <-rebooted:
			if image == "k9" {
				count++
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("%d of 4 workers were rebooted", count)
		}
	}
	c.await(task, inPhase(fleet.TaskFinished))
}
