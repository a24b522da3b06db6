// Package daemon assembles one process of the system from the library
// packages: storage, the control goroutine, the connections between processes
// and the HTTP interfaces.
package daemon

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/announce"
	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/view"
	"primrosedale.example/primrosedale/gateway"
	"primrosedale.example/primrosedale/gateway/intake"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/operator"
	"primrosedale.example/primrosedale/recording"
	"primrosedale.example/primrosedale/settings"
	"primrosedale.example/primrosedale/storage"
	"primrosedale.example/primrosedale/transport"
)

// Times of the HTTP servers.
const (
	// headerTimeout is more than three times what a configuration allows to clients by
	// default (headerTimeoutMs).
	headerTimeout = 10 * time.Second
	// idleTimeout is four times the default time for which clients keep unused connections
	// open (idleTimeoutMs).
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is twice the default of the configuration.
	maxHeaderBytes  = 32 << 10
	shutdownTimeout = 5 * time.Second
	// stopDelay is how long a stopping process continues to refuse requests, as not run
	// and with "Connection: close", before it drains its connections, so that the load
	// balancer detects that it is not ready.
	stopDelay = time.Second
)

// Daemon is one process of the system.
type Daemon struct {
	process
	settings  *settings.Settings
	journal   *recording.Recorder // nil without the setting record
	gateway   *gateway.Server
	announcer *announce.Server
	operator  *operator.Server
}

// New opens the data folder and the listeners of a process. An error leaves nothing
// open. Cancelling stop ends the wait for free space on a full disk.
func New(stop context.Context, s *settings.Settings, log logevent.Logger) (*Daemon, error) {
	d := &Daemon{process: newProcess(log.With(logevent.Self(s.Host)), intakeLimits(s.Limits.HeldRequests)), settings: s}
	if err := d.assemble(stop); err != nil {
		d.closeAll()
		return nil, err
	}
	return d, nil
}

// intakeLimits returns the limits of a process that serves callers, the platform and
// operators, each at an address of its own, and holds a number of requests. The settings do
// not name the memory of the machine: each request may take 128 KiB with its connection, and
// their bodies what the gateway allows.
func intakeLimits(heldRequests int) intake.Limits {
	const perRequest = 128 << 10 // bytes
	memory := int64(heldRequests) * perRequest
	l := intake.NewLimits(memory, descriptorLimit(0))
	clients := l.Connections[intake.Callers]
	l.Connections[intake.Operators] = l.Connections[intake.Peers] / 2
	l.Connections[intake.Workers] = clients / 4
	l.Connections[intake.Callers] = clients - clients/4 - l.Connections[intake.Operators]
	l.Bytes[intake.Callers] = memory + gateway.DefaultMaxHeldBytes
	return l
}

func (d *Daemon) assemble(stop context.Context) error {
	s := d.settings
	inc := newIncarnation()
	cfg := core.Config{
		Host: s.Host, DataCentre: s.DataCentre, Incarnation: inc, Replica: inc,
		Durable: s.IsReplica(),
	}
	addresses := make(map[model.HostID]string)
	for _, p := range s.Peers {
		if p.Replica {
			cfg.MaxVoters++
		}
		if p.Host != s.Host {
			cfg.Peers = append(cfg.Peers, p.Host)
			addresses[p.Host] = p.Address.String()
		}
	}
	stored, err := d.openStore(stop, &cfg)
	if err != nil {
		return err
	}
	now, rand := d.loop.Now(), d.loop.Rand()
	if d.journal, err = d.openJournal(cfg, stored, now, rand); err != nil {
		return err
	}
	state, err := core.New(cfg, stored, now, rand)
	if err != nil {
		return errors.Annotate(err, "starting from the stored state")
	}
	tlsServer, tlsClient, err := tlsConfigs(s.TLS)
	if err != nil {
		return err
	}
	d.peers = transport.New(transport.Config{
		Cluster: s.Cluster, Host: s.Host, Incarnation: inc, Peers: addresses,
		TLSServer: tlsServer, TLSClient: tlsClient,
	}, d.loop, d.log)
	d.gateway = gateway.New(gateway.Config{
		Host: s.Host, Incarnation: inc, MaxBody: s.Limits.BodyBytes,
		MaxAnswer: s.Limits.AnswerBytes, MaxHeldRequests: int64(s.Limits.HeldRequests),
	}, d.loop, d.log)
	d.announcer = announce.New(d.loop, d.log)
	d.operator = operator.New(operator.Config{}, d.loop, d.log)
	d.loop.Start(state, &executor{
		transport: d.peers, writer: d.writer, gateway: d.gateway,
		announcer: d.announcer, operator: d.operator, log: d.log,
	}, d.recorder())
	return d.listen(tlsServer)
}

// View returns what the control goroutine published last, never nil.
func (d *Daemon) View() *view.View { return d.loop.View() }

// newIncarnation returns 64 random bits. Incarnations only have to differ between the
// processes of one host over time. Every message carries one, and a full UUID would
// make up most of a heartbeat.
func newIncarnation() model.Incarnation {
	return model.Incarnation(strconv.FormatUint(rand.Uint64(), 36))
}

// openStore opens the data folder, if the host has one.
func (d *Daemon) openStore(stop context.Context, cfg *core.Config) (core.Stored, error) {
	if !cfg.Durable {
		return core.Stored{}, nil
	}
	return d.openDataFolder(stop, d.settings.DataFolder, d.settings.Cluster, cfg)
}

// listen opens the listeners. Operators must present a certificate, as peers do;
// callers and the platform are behind the platform's load balancer.
func (d *Daemon) listen(operatorTLS *tls.Config) error {
	listen := d.settings.Listen
	defaults := net.KeepAliveConfig{}
	if err := d.listenPeers(listen.Peers.String(), defaults); err != nil {
		return err
	}
	if err := d.addCallers(listen.Callers.String(), d.gateway.Handler(), d.gateway.ClosingResponse, defaults); err != nil {
		return err
	}
	if _, err := d.addServer(listen.Platform.String(), intake.Workers, d.announcer.Handler(), defaults); err != nil {
		return err
	}
	operators, err := d.addServer(listen.Operators.String(), intake.Operators, d.operator.Handler(), defaults)
	if err != nil {
		return err
	}
	if operatorTLS != nil {
		operators.listener = tls.NewListener(operators.listener, operatorTLS)
	}
	return nil
}

// Run runs the process until the reducer halts it or t is killed. Cancelling stop
// starts a graceful stop.
func (d *Daemon) Run(t *tomb.Tomb, stop context.Context) error {
	defer d.closeAll()
	var parts tomb.Tomb
	parts.Go(func() error {
		d.log.Emit(logevent.ProcessStarted)
		if d.journal != nil {
			parts.Go(func() error { return d.journal.Run(&parts) })
		}
		d.start(&parts)
		return nil
	})
	err := d.wait(t, &parts, stop)
	if err == nil {
		waitStopDelay(t, &parts)
	}
	d.shutDown(err == nil)
	parts.Kill(err)
	result := parts.Wait()
	d.gateway.Close() // after the control goroutine, which starts attempts
	d.log.Emit(logevent.ProcessStopped, logevent.Err(result))
	if errors.Is(err, errRetired) {
		d.closeAll()
		return firstError(storage.Discard(d.settings.DataFolder), result)
	}
	return result
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// wait returns when the process must end, with an error if it failed.
func (d *Daemon) wait(t, parts *tomb.Tomb, stop context.Context) error {
	stopping := stop.Done()
	for {
		select {
		case <-stopping:
			stopping = nil
			d.loop.PostWait(context.Background(), event.StopRequested{})
		case <-d.loop.Halted():
			return d.haltError()
		case <-parts.Dying():
			return parts.Err()
		case <-t.Dying():
			return errors.New("killed")
		}
	}
}

// waitStopDelay keeps the HTTP servers running for stopDelay after the last held
// request was answered.
func waitStopDelay(t, parts *tomb.Tomb) {
	timer := time.NewTimer(stopDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-parts.Dying():
	case <-t.Dying():
	}
}

// shutDown closes the HTTP servers. If graceful, it first drains the callers'
// connections and lets pending answers be sent.
func (d *Daemon) shutDown(graceful bool) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if graceful {
		d.drainCallers(ctx)
	}
	for _, s := range d.servers {
		if graceful {
			_ = s.http.Shutdown(ctx)
		}
		_ = s.http.Close()
	}
}

func (d *Daemon) closeAll() {
	if d.journal != nil {
		_ = d.journal.Close() // a second close has no effect
	}
	d.closeResources()
}
