package devcluster

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/operator/client"
	"primrosedale.example/primrosedale/rulesfile"
	"primrosedale.example/primrosedale/settings"
	"primrosedale.example/primrosedale/standin"
)

// The size of the development system.
const (
	devReplicas  = 3
	devFollowers = 2
	devTargets   = 4
	devWorkers   = 6
	devRackSize  = 2 // workers of one rack
	devRunTime   = 20 * time.Millisecond
	startTimeout = 20 * time.Second
	statusPause  = 100 * time.Millisecond
	leaveTimeout = 5 * time.Second
	devTeam      = "press"
	devQueue     = "proofs"
	devService   = "render"
	devKeyName   = "dev"
	devRulesName = "dev rules"
)

// devRules is the first revision of the rules of the development system.
const devRules = `revision = 1                                                       # dev command
team.press    = { share = 50, limit = 20 }                         # dev command
team.archive  = { share = 30, limit = 10 }                         # dev command
queue.proofs  = { service = "render", precedence = 2, max_run_s = 30 } # dev command
queue.public  = { service = "render", open = true, team = "archive" }  # dev command
pool.press    = { hosts_min = 1, unavailable_max = 1, spare = true }   # dev command
`

// devTask is a task that the development system can run.
const devTask = `{"pool":"press","command":"sleep 5s","milli_cpu":1000,"memory_mb":500,"max_run_s":60,"idempotent":true}`

// Options holds the options of Run.
type Options struct {
	Folder string    // for the data of the replicas; if empty, a temporary folder
	Out    io.Writer // for instructions to the user
	Log    io.Writer // for log lines
}

// Run runs the development system until stop ends, and then stops it gracefully.
func Run(stop context.Context, o Options) error {
	folder, clean, err := dataFolder(o.Folder)
	if err != nil {
		return err
	}
	defer clean()
	list, err := Layout(folder, devReplicas, devFollowers)
	if err != nil {
		return err
	}
	c, err := Start(list, o.Log, true)
	if err != nil {
		return err
	}
	environment, err := StartEnvironment(list, devTargets, standin.Echo(devRunTime))
	if err != nil {
		return errors.Wrap(err, c.Stop())
	}
	defer environment.stopAtOnce()
	environment.StartWorkers(devWorkers, nil)
	key, err := c.Prepare(stop, devRulesName, devRules)
	if err != nil {
		_ = c.Stop()
		return err
	}
	printInstructions(o.Out, list, key)
	select {
	case <-stop.Done():
	case <-c.Dead():
	}
	fmt.Fprintln(o.Out, "stopping")
	return c.Stop()
}

// devTaskTime returns the run time of a task: D for the command "sleep D", else 1 s.
func devTaskTime(_ model.TaskID, command string) time.Duration {
	if word, ok := strings.CutPrefix(command, "sleep "); ok {
		if d, err := time.ParseDuration(word); err == nil && d > 0 {
			return d
		}
	}
	return time.Second
}

func dataFolder(folder string) (string, func(), error) {
	if folder != "" {
		return folder, func() {}, nil
	}
	folder, err := os.MkdirTemp("", "primrosedale-dev-")
	return folder, func() { _ = os.RemoveAll(folder) }, errors.Annotate(err, "making a temporary folder")
}

// Prepare waits until every host serves, applies the rules and grants a key for the
// development team. It returns the key.
func (c *Cluster) Prepare(ctx context.Context, name, text string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	operators := client.New(c.OperatorAddresses(), nil)
	if err := waitForService(ctx, operators); err != nil {
		return "", err
	}
	file, err := rulesfile.Parse(name, []byte(text))
	if err != nil {
		return "", err
	}
	if _, err := operators.Apply(ctx, file); err != nil {
		return "", errors.Annotate(err, "applying the rules")
	}
	key, err := operators.GrantKey(ctx, devKeyName, devTeam)
	return key, errors.Annotate(err, "granting a key")
}

// OperatorAddresses returns the operator addresses of all hosts.
func (c *Cluster) OperatorAddresses() []string {
	return addresses(c.Settings, func(l settings.Listen) string { return l.Operators.String() })
}

// waitForService returns when every host holds a serving lease.
func waitForService(ctx context.Context, operators *client.Client) error {
	for {
		serving := 0
		list := operators.StatusFromEach(ctx)
		for _, s := range list {
			if s != nil && s.Serving {
				serving++
			}
		}
		if serving == len(list) {
			return nil
		}
		select {
		case <-time.After(statusPause):
		case <-ctx.Done():
			return errors.Errorf("only %d of %d hosts serve", serving, len(list))
		}
	}
}

func addresses(list []*settings.Settings, pick func(settings.Listen) string) []string {
	var out []string
	for _, s := range list {
		out = append(out, pick(s.Listen))
	}
	return out
}

// Environment holds the stand-in targets and workers, which are outside the system.
type Environment struct {
	Targets []*standin.Target
	Workers []*standin.Worker

	platforms []string
}

// StartEnvironment starts n targets that run requests with work.
func StartEnvironment(list []*settings.Settings, n int, work standin.Work) (*Environment, error) {
	platforms := addresses(list, func(l settings.Listen) string { return l.Platform.String() })
	e := &Environment{platforms: platforms}
	for i := range n {
		t, err := standin.StartTarget(standin.TargetConfig{
			ID:         model.TargetID(fmt.Sprintf("render-%d", i+1)),
			Service:    devService,
			DataCentre: centres[i%len(centres)],
			Host:       model.HostID(fmt.Sprintf("render-host-%d", i+1)),
			Work:       work,
			Platforms:  platforms,
		})
		if err != nil {
			e.Stop()
			return nil, errors.Annotate(err, "starting a target")
		}
		e.Targets = append(e.Targets, t)
	}
	return e, nil
}

// StartWorkers starts n workers. If configure is not nil, it may modify the settings of
// each worker first.
func (e *Environment) StartWorkers(n int, configure func(*standin.WorkerConfig)) {
	checkpoints := standin.NewCheckpoints()
	for i := range n {
		cfg := standin.WorkerConfig{
			Checkpoints: checkpoints,
			ID:          model.HostID(fmt.Sprintf("worker-%d", i+1)),
			DataCentre:  centres[i/devRackSize%len(centres)],
			Rack:        model.RackID(fmt.Sprintf("rack-%d", i/devRackSize+1)),
			Platforms:   e.platforms,
			Duration:    devTaskTime,
		}
		if configure != nil {
			configure(&cfg)
		}
		e.Workers = append(e.Workers, standin.StartWorker(cfg))
	}
}

// Stop lets the targets leave and stops those that have not left within leaveTimeout. It
// also stops the workers.
func (e *Environment) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	for _, t := range e.Targets {
		_ = t.Leave(ctx)
		t.Stop()
	}
	for _, w := range e.Workers {
		w.Stop()
	}
}

// stopAtOnce stops targets and workers without announcing that they leave: once the
// cluster has stopped, no host is left to record it.
func (e *Environment) stopAtOnce() {
	for _, t := range e.Targets {
		t.Stop()
	}
	for _, w := range e.Workers {
		w.Stop()
	}
}

func printInstructions(out io.Writer, list []*settings.Settings, key string) {
	fmt.Fprintf(out, "%d hosts are running (%d with a data folder), %d targets and %d workers announce themselves.\n\n",
		len(list), devReplicas, devTargets, devWorkers)
	for _, s := range list {
		fmt.Fprintf(out, "  %-8s %-6s callers %s  operators %s\n", s.Host, s.DataCentre, s.Listen.Callers, s.Listen.Operators)
	}
	callers := list[len(list)-1].Listen.Callers
	operators := addresses(list, func(l settings.Listen) string { return l.Operators.String() })
	fmt.Fprintf(out, `
Send a request:

  curl -i -H 'Authorization: Bearer %s' --data 'ode to a library' \
    http://%s/v1/queues/%s/requests

Submit a task:

  curl -i -H 'Authorization: Bearer %s' --data '%s' \
    http://%s/v1/tasks

See the state:

  primrosedalectl status --address %s

Stop with Ctrl-C.
`, key, callers, devQueue, key, devTask, callers, strings.Join(operators, ","))
}
