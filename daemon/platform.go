package daemon

import (
	"context"
	"net/http"
	"net/http/pprof"
	"os"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/gateway/intake"
	"primrosedale.example/primrosedale/gateway/reply"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/platform"
	"primrosedale.example/primrosedale/socket"
	"primrosedale.example/primrosedale/storage"
	"primrosedale.example/primrosedale/transport"
)

const (
	// platformCluster is the name of every cluster that is formed from seeds. Clusters
	// of different deployments share no network.
	platformCluster = "platform"
	// maxVoters bounds the replicas that vote. More would slow each commit.
	maxVoters = 9
	// maxInflight bounds the appends in flight to one replica. Commands that arrive
	// while an answer is awaited share the next append.
	maxInflight = 1
	// writeInterval is the minimum time between two writes to a peer: each write costs
	// both sides a wake-up, and a sync to disk takes longer than the interval.
	writeInterval = 8 * time.Millisecond
	// platformStopDelay is how long a stopping entry host continues to serve, so that
	// the load balancer, which checks readiness once a second and reacts to two failed
	// checks, stops sending it callers first.
	platformStopDelay = 2200 * time.Millisecond
	// stopMargin is the reserve that is subtracted from the time until the process is
	// killed.
	stopMargin = 700 * time.Millisecond
	// peerTimeout is the silence after which a connection between processes is closed
	// because its peer is considered lost.
	peerTimeout = 6 * time.Second
	// callerTimeout is the same for connections of clients, operators and workers.
	callerTimeout = 30 * time.Second
	// memoryLimitShare is the part of the machine's memory above which the garbage
	// collector runs more often (the soft memory limit of the Go runtime).
	memoryLimitShare = 0.7
)

// PlatformDaemon is one process on the users' platform: an entry host, which
// takes clients' calls and forwards them to the leader, or a replica.
type PlatformDaemon struct {
	process
	settings     *platform.Settings
	settingsPath string // read again by reload
	server       *platform.Server
	client       *platform.Client
}

// NewPlatformDaemon opens the data folder and the listeners of a process, which does
// not serve yet. Cancelling stop ends the wait for free space on a full disk.
func NewPlatformDaemon(stop context.Context, s *platform.Settings, path string, log logevent.Logger) (*PlatformDaemon, error) {
	d := &PlatformDaemon{process: newProcess(log.With(logevent.Self(s.Host)), intake.NewLimits(s.MemoryLimit, descriptorLimit(s.MaxDescriptors))), settings: s, settingsPath: path}
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimit) * memoryLimitShare))
	}
	if err := d.assemble(stop); err != nil {
		d.closeAll()
		return nil, err
	}
	return d, nil
}

func (d *PlatformDaemon) assemble(stop context.Context) error {
	s := d.settings
	inc := newIncarnation()
	cfg := core.Config{
		Host: s.Host, DataCentre: s.DataCentre, Incarnation: inc, Replica: inc,
		Durable: s.IsReplica(), MaxVoters: maxVoters, MaxInflight: maxInflight, Bounds: s.Bounds,
	}
	cfg.Seeds = s.Seeds
	if s.IsReplica() {
		cfg.Peers = s.Seeds
	}
	stored, err := d.openStore(stop, &cfg)
	if err != nil {
		return err
	}
	state, err := core.New(cfg, stored, d.loop.Now(), d.loop.Rand())
	if err != nil {
		return errors.Annotate(err, "starting from the stored state")
	}
	d.peers = transport.New(transport.Config{
		Cluster: platformCluster, Host: s.Host, Incarnation: inc, PeerAddress: s.PeerAddress,
		WriteInterval: writeInterval,
	}, d.loop, d.log)
	d.server = platform.NewServer(s, d.loop, d.log)
	d.client = platform.NewClient(s, d.loop, d.log)
	d.loop.Start(state, &platformExecutor{
		executor: executor{transport: d.peers, writer: d.writer, log: d.log}, server: d.server, client: d.client,
	}, nil)
	return d.listen()
}

// openStore opens the data folder. At the first start of the system, each seed
// creates its folder, with the seeds as the first voters.
func (d *PlatformDaemon) openStore(stop context.Context, cfg *core.Config) (core.Stored, error) {
	if !cfg.Durable {
		return core.Stored{}, nil
	}
	folder := d.settings.DataFolder
	if d.settings.Bootstrap && d.settings.IsSeed() {
		if err := retryWhileDiskFull(stop, d.log, func() error { return initSeed(d.settings) }); err != nil {
			return core.Stored{}, err
		}
	}
	return d.openDataFolder(stop, folder, platformCluster, cfg)
}

// initSeed creates the data folder of a first voter. A folder that exists already,
// because the process was restarted during the first start, is kept.
func initSeed(s *platform.Settings) error {
	var voters []consensus.NodeID
	for _, seed := range s.Seeds {
		voters = append(voters, consensus.NodeID{Host: seed, Incarnation: firstIncarnation})
	}
	id := storage.Identity{Cluster: platformCluster, Host: s.Host, Incarnation: firstIncarnation}
	err := storage.Init(s.DataFolder, id, voters)
	if errors.Is(err, storage.ErrNotEmpty) {
		return nil
	}
	return err
}

func (d *PlatformDaemon) listen() error {
	s := d.settings
	keepAlive := socket.KeepAlive(callerTimeout)
	if err := d.listenPeers(s.PeerListen, socket.KeepAlive(peerTimeout)); err != nil {
		return err
	}
	if s.CallerListen != "" {
		closing := func() []byte { return reply.ClosingResponse(d.loop.Rand()) }
		if err := d.addCallers(s.CallerListen, d.server.CallerHandler(), closing, keepAlive); err != nil {
			return err
		}
		if _, err := d.addServer(s.ReadinessListen, intake.Readiness, d.server.ReadinessHandler(), keepAlive); err != nil {
			return err
		}
	}
	if s.ControlListen != "" {
		if _, err := d.addMixedServer(s.ControlListen, intake.Operators, platform.ControlClass, d.server.ControlHandler(), keepAlive); err != nil {
			return err
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	_, err := d.addServer(s.MetricsListen, intake.Metrics, mux, keepAlive)
	return err
}

// Run serves until the process halts, stop ends, or a part fails. Each value on reload
// makes it read the settings file again. A replica whose identity is retired goes on
// with an empty data folder.
func (d *PlatformDaemon) Run(stop context.Context, reload <-chan os.Signal) error {
	for {
		err := d.serve(stop, reload)
		if !errors.Is(err, errRetired) {
			return err
		}
		if err := d.rejoin(stop); err != nil {
			d.closeAll()
			return errors.Annotate(err, "joining with a new identity")
		}
	}
}

// rejoin prepares a replica whose identity is retired to join with a new one.
func (d *PlatformDaemon) rejoin(stop context.Context) error {
	if err := storage.Discard(d.settings.DataFolder); err != nil {
		return err
	}
	settings := *d.settings
	if s, err := platform.LoadSettings(d.settingsPath); err == nil {
		settings.Seeds = s.Seeds
	}
	settings.Bootstrap = false // the cluster exists
	d.settings = &settings
	d.process = newProcess(d.log, intake.NewLimits(settings.MemoryLimit, descriptorLimit(settings.MaxDescriptors)))
	return d.assemble(stop)
}

func (d *PlatformDaemon) serve(stop context.Context, reload <-chan os.Signal) error {
	defer d.closeAll()
	var parts tomb.Tomb
	parts.Go(func() error {
		d.log.Emit(logevent.ProcessStarted, logevent.Str(logevent.NameRole, d.role()))
		d.start(&parts)
		return nil
	})
	err := d.wait(&parts, stop, reload)
	for _, s := range d.servers {
		_ = s.http.Close()
	}
	parts.Kill(err)
	result := parts.Wait()
	d.log.Emit(logevent.ProcessStopped, logevent.Err(result))
	return result
}

func (d *PlatformDaemon) role() string {
	if d.settings.IsReplica() {
		return "replica"
	}
	return "entry"
}

// wait returns when the process has halted or must end.
func (d *PlatformDaemon) wait(parts *tomb.Tomb, stop context.Context, reload <-chan os.Signal) error {
	for {
		select {
		case <-stop.Done():
			d.stop(parts)
			return nil
		case <-reload:
			d.reload()
		case <-d.loop.Halted():
			return d.haltError()
		case <-parts.Dying():
			return parts.Err()
		}
	}
}

// stop ends the service without cutting off a request. A replica first transfers the
// leadership; an entry host is first taken out of the load balancer's rotation.
func (d *PlatformDaemon) stop(parts *tomb.Tomb) {
	d.log.Emit(logevent.ProcessStopping)
	d.server.StartDraining()
	ctx, cancel := context.WithTimeout(context.Background(), max(d.settings.StopTimeout-stopMargin, stopMargin))
	defer cancel()
	if d.settings.IsReplica() {
		d.loop.PostWait(ctx, event.StopRequested{})
	}
	if d.callers != nil {
		pause(ctx, parts, platformStopDelay)
		d.drainCallers(ctx)
	}
	for _, s := range d.servers {
		_ = s.http.Shutdown(ctx) // Run closes the connections that remain
	}
	d.loop.PostWait(ctx, event.StopRequested{})
	select {
	case <-d.loop.Halted():
	case <-ctx.Done():
	case <-parts.Dying():
	}
}

func pause(ctx context.Context, parts *tomb.Tomb, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-parts.Dying():
	}
}

// reload reads the settings file again. Only the list of seeds can change while the
// process runs.
func (d *PlatformDaemon) reload() {
	s, err := platform.LoadSettings(d.settingsPath)
	if err != nil {
		d.log.Emit(logevent.SettingsRefused, logevent.Err(err))
		return
	}
	d.log.Emit(logevent.SettingsLoaded, logevent.Str(logevent.NameFile, d.settingsPath))
	d.loop.PostWait(context.Background(), event.SettingsChanged{Seeds: s.Seeds})
}

func (d *PlatformDaemon) closeAll() {
	if d.client != nil {
		d.client.Close()
	}
	d.closeResources()
}

// platformExecutor carries out the effects of a process on the platform.
type platformExecutor struct {
	executor
	server *platform.Server
	client *platform.Client
}

// Execute implements control.Executor.
func (x *platformExecutor) Execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.CallWorker:
		x.client.CallWorker(e)
	case effect.CallHosts:
		x.client.CallHosts(e)
	case effect.CallAdvice:
		x.client.CallAdvice(e.Call)
	case effect.AnswerCall:
		x.server.Answer(e.Answer)
	case effect.Send:
		x.transport.Send(e)
	case effect.Persist:
		x.writer.persist(e)
	case effect.Log:
		x.emit(e)
	}
}
