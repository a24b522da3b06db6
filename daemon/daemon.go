// Package daemon assembles one process of the system from the library
// packages: storage, the control goroutine, the connections between processes
// and the HTTP interfaces.
package daemon

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/announce"
	"primrosedale.example/primrosedale/control"
	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/view"
	"primrosedale.example/primrosedale/drain"
	"primrosedale.example/primrosedale/gateway"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/operator"
	"primrosedale.example/primrosedale/recording"
	"primrosedale.example/primrosedale/settings"
	"primrosedale.example/primrosedale/storage"
	"primrosedale.example/primrosedale/transport"
)

// Times of the HTTP servers.
const (
	headerTimeout   = 10 * time.Second
	shutdownTimeout = 5 * time.Second
	// lingerTime is how long a stopping process goes on refusing requests, as
	// not run and with "Connection: close", before it drains its connections, so
	// that the load balancer notices that it is not ready.
	lingerTime = time.Second
)

// Daemon is one process of the system.
type Daemon struct {
	settings  *settings.Settings
	log       logevent.Logger
	loop      *control.Loop
	store     *storage.Store // nil without a data folder
	writer    *logWriter
	journal   *recording.Recorder // nil without the setting record
	gateway   *gateway.Server
	announcer *announce.Server
	operator  *operator.Server
	peers     *transport.Transport
	servers   []*server
	callers   *drain.Listener
	peerSide  net.Listener
}

type server struct {
	listener net.Listener
	http     *http.Server
}

// New opens the data folder and the listeners of a process. An error leaves
// nothing open.
func New(s *settings.Settings, log logevent.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log.With(logevent.Self(s.Host)), loop: control.New()}
	var full logevent.Seldom
	d.loop.OnFull(func() { full.Emit(d.log, logevent.ControlQueueFull) })
	if err := d.assemble(); err != nil {
		d.closeAll()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) assemble() error {
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
	stored, err := d.openStore(&cfg)
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
		MaxAnswer: s.Limits.AnswerBytes, MaxHeld: int64(s.Limits.HeldRequests),
	}, d.loop, d.log)
	d.announcer = announce.New(d.loop, d.log)
	d.operator = operator.New(operator.Config{}, d.loop, d.log)
	if d.store != nil {
		d.writer = newLogWriter(d.store, d.loop, d.log)
	}
	d.loop.Start(state, &executor{
		transport: d.peers, writer: d.writer, gateway: d.gateway,
		announcer: d.announcer, operator: d.operator, log: d.log,
	}, d.recorder())
	return d.listen(tlsServer)
}

// View returns what the control goroutine published last, never nil.
func (d *Daemon) View() *view.View { return d.loop.View() }

// newIncarnation returns 64 random bits. They only have to differ between the
// lives of one host, and every message carries them, so that a full UUID would
// be most of a heartbeat.
func newIncarnation() model.Incarnation {
	return model.Incarnation(strconv.FormatUint(rand.Uint64(), 36))
}

// openStore reads the data folder, if the host has one.
func (d *Daemon) openStore(cfg *core.Config) (core.Stored, error) {
	if !cfg.Durable {
		return core.Stored{}, nil
	}
	store, loaded, err := storage.Open(d.settings.DataFolder, d.settings.Cluster, cfg.Host, newIncarnation, d.log)
	if err != nil {
		d.log.Emit(logevent.DataFolderRefused, logevent.Err(err))
		return core.Stored{}, err
	}
	d.store = store
	cfg.Replica = loaded.Identity.Incarnation
	return core.Stored{HardState: loaded.HardState, Snapshot: loaded.Snapshot, Entries: loaded.Entries}, nil
}

// listen opens the listeners. Operators present a certificate like peers;
// callers and the platform are behind the platform's load balancer.
func (d *Daemon) listen(operatorTLS *tls.Config) error {
	listen := d.settings.Listen
	var err error
	if d.peerSide, err = net.Listen("tcp", listen.Peers.String()); err != nil {
		return errors.Annotate(err, "listening for peers")
	}
	callers, err := d.addServer(listen.Callers.String(), d.gateway.Handler())
	if err != nil {
		return err
	}
	d.callers = drain.NewListener(callers.listener, d.gateway.ClosingResponse)
	d.callers.Attach(callers.http)
	callers.listener = d.callers
	if _, err := d.addServer(listen.Platform.String(), d.announcer.Handler()); err != nil {
		return err
	}
	operators, err := d.addServer(listen.Operators.String(), d.operator.Handler())
	if err != nil {
		return err
	}
	if operatorTLS != nil {
		operators.listener = tls.NewListener(operators.listener, operatorTLS)
	}
	return nil
}

// addServer opens a listener with an HTTP server.
func (d *Daemon) addServer(address string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listening on %s", address)
	}
	s := &server{listener, &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	d.servers = append(d.servers, s)
	return s, nil
}

// Run runs the process until the reducer halts it or t is killed. Cancel stop
// to begin a graceful stop.
func (d *Daemon) Run(t *tomb.Tomb, stop context.Context) error {
	defer d.closeAll()
	var parts tomb.Tomb
	parts.Go(func() error {
		d.log.Emit(logevent.ProcessStarted)
		parts.Go(func() error { return d.loop.Run(&parts) })
		if d.writer != nil {
			parts.Go(func() error { return d.writer.run(&parts) })
		}
		if d.journal != nil {
			parts.Go(func() error { return d.journal.Run(&parts) })
		}
		d.peers.Run(&parts)
		parts.Go(func() error { return d.peers.Serve(&parts, d.peerSide) })
		for _, s := range d.servers {
			parts.Go(func() error { return serve(s) })
		}
		return nil
	})
	err := d.wait(t, &parts, stop)
	if err == nil {
		linger(t, &parts)
	}
	d.shutDown(err == nil)
	parts.Kill(err)
	result := parts.Wait()
	d.log.Emit(logevent.ProcessStopped, logevent.Err(result))
	return result
}

// wait returns when the process is to end, with the reason if it failed.
func (d *Daemon) wait(t, parts *tomb.Tomb, stop context.Context) error {
	stopping := stop.Done()
	for {
		select {
		case <-stopping:
			stopping = nil
			d.loop.PostWait(context.Background(), event.StopRequested{})
		case <-d.loop.Halted():
			if reason := d.loop.Reason(); reason != "" {
				return errors.New(reason)
			}
			return nil
		case <-parts.Dying():
			return parts.Err()
		case <-t.Dying():
			return errors.New("killed")
		}
	}
}

// linger lets the HTTP servers go on for lingerTime after the last held request
// was answered.
func linger(t, parts *tomb.Tomb) {
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-parts.Dying():
	case <-t.Dying():
	}
}

// shutDown closes the HTTP servers; a graceful one drains the callers'
// connections and lets answers go out first.
func (d *Daemon) shutDown(graceful bool) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if graceful {
		if err := d.callers.Drain(ctx); err != nil {
			d.log.Emit(logevent.ConnectionsCut, logevent.Err(err))
		}
	}
	for _, s := range d.servers {
		if graceful {
			_ = s.http.Shutdown(ctx)
		}
		_ = s.http.Close()
	}
	d.gateway.Close()
}

func serve(s *server) error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil // the listener is closed at the end only
	}
	return errors.Annotatef(err, "serving on %s", s.listener.Addr())
}

func (d *Daemon) closeAll() {
	if d.peerSide != nil {
		_ = d.peerSide.Close()
	}
	for _, s := range d.servers {
		_ = s.listener.Close()
	}
	if d.journal != nil {
		_ = d.journal.Close() // a second close has no effect
	}
	if d.store != nil {
		_ = d.store.Close()
	}
}
