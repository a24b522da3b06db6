package daemon

import (
	"context"
	"math"
	"net"
	"net/http"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/control"
	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/drain"
	"primrosedale.example/primrosedale/gateway/intake"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/storage"
	"primrosedale.example/primrosedale/transport"
)

// process holds what all kinds of daemons have in common: the control goroutine, the
// data folder, the connections to other processes, and HTTP servers.
type process struct {
	log          logevent.Logger
	gate         *intake.Gate
	loop         *control.Loop
	store        *storage.Store // nil without a data folder
	writer       *logWriter     // nil without a data folder
	peers        *transport.Transport
	peerListener net.Listener
	servers      []*server
	callers      *drain.Listener // nil if the process serves no callers
}

type server struct {
	listener net.Listener
	http     *http.Server
}

// newProcess returns a process with the bounds on what its clients may hold.
func newProcess(log logevent.Logger, limits intake.Limits) process {
	p := process{log: log, gate: intake.NewGate(limits, log), loop: control.New()}
	var queueFullLog logevent.RateLimited
	p.loop.OnQueueFull(func() { queueFullLog.Emit(log, logevent.ControlQueueFull) })
	return p
}

// descriptorLimit returns how many descriptors the process may open: what the settings say,
// if they say it, and at most what the kernel allows.
func descriptorLimit(configured int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return configured
	}
	allowed := int(min(limit.Cur, math.MaxInt32))
	if configured == 0 {
		return allowed
	}
	return min(configured, allowed)
}

// openDataFolder opens a data folder and returns what it holds. On a full disk it
// waits for free space until stop ends.
func (p *process) openDataFolder(stop context.Context, folder, cluster string, cfg *core.Config) (core.Stored, error) {
	var store *storage.Store
	var loaded storage.Loaded
	err := retryWhileDiskFull(stop, p.log, func() (err error) {
		store, loaded, err = storage.Open(folder, cluster, cfg.Host, newIncarnation, p.log)
		return err
	})
	if err != nil {
		p.log.Emit(logevent.DataFolderRefused, logevent.Err(err))
		return core.Stored{}, err
	}
	p.store = store
	p.writer = newLogWriter(store, p.loop, p.log)
	cfg.Replica = loaded.Identity.Incarnation
	return core.Stored{HardState: loaded.HardState, Snapshot: loaded.Snapshot, Entries: loaded.Entries}, nil
}

// listenTCP opens a listener whose connections the gate admits. The zero keepAlive stands
// for the defaults of package net.
func (p *process) listenTCP(address string, class intake.Class, keepAlive net.KeepAliveConfig) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: intake.Control(class)}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listening on %s", address)
	}
	return p.gate.Listener(l, class), nil
}

func (p *process) listenPeers(address string, keepAlive net.KeepAliveConfig) error {
	l, err := p.listenTCP(address, intake.Peers, keepAlive)
	if err == nil {
		p.peerListener = l
	}
	return err
}

// addServer adds a server whose clients are of one class.
func (p *process) addServer(address string, class intake.Class, handler http.Handler, keepAlive net.KeepAliveConfig) (*server, error) {
	return p.addMixedServer(address, class, func(*http.Request) intake.Class { return class }, handler, keepAlive)
}

// addMixedServer adds a server whose connections are of one class. classOf returns the class
// of a request.
func (p *process) addMixedServer(address string, class intake.Class, classOf func(*http.Request) intake.Class, handler http.Handler, keepAlive net.KeepAliveConfig) (*server, error) {
	listener, err := p.listenTCP(address, class, keepAlive)
	if err != nil {
		return nil, err
	}
	s := &server{listener, &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}
	p.gate.Attach(s.http, classOf)
	p.servers = append(p.servers, s)
	return s, nil
}

// addCallers adds the server of callers, whose connections are drained at a
// graceful stop.
func (p *process) addCallers(address string, handler http.Handler, closing func() []byte, keepAlive net.KeepAliveConfig) error {
	s, err := p.addServer(address, intake.Callers, handler, keepAlive)
	if err != nil {
		return err
	}
	p.callers = drain.NewListener(s.listener, closing)
	p.callers.Attach(s.http)
	s.listener = p.callers
	return nil
}

// start starts the goroutines of the process. The transport comes first: the control
// goroutine sends messages as soon as it runs.
func (p *process) start(parts *tomb.Tomb) {
	p.peers.Run(parts)
	parts.Go(func() error { return p.loop.Run(parts) })
	if p.writer != nil {
		parts.Go(func() error { return p.writer.run(parts) })
	}
	parts.Go(func() error { return p.peers.Serve(parts, p.peerListener) })
	for _, s := range p.servers {
		parts.Go(func() error { return serve(s) })
	}
}

func serve(s *server) error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil // the listener is closed only when the process ends
	}
	return errors.Annotatef(err, "serving on %s", s.listener.Addr())
}

// drainCallers ends the callers' connections without cutting off a request.
func (p *process) drainCallers(ctx context.Context) {
	if err := p.callers.Drain(ctx); err != nil {
		p.log.Emit(logevent.ConnectionsCut, logevent.Err(err))
	}
}

// errRetired ends a process that can only join again with an empty data folder.
const errRetired = errors.ConstError("the identity of this replica is retired")

// haltError returns why the process halted, nil after a graceful stop.
func (p *process) haltError() error {
	switch {
	case p.loop.Retired():
		return errRetired
	case p.loop.HaltReason() != "":
		return errors.New(p.loop.HaltReason())
	}
	return nil
}

// closeResources closes the listeners and the data folder.
func (p *process) closeResources() {
	if p.peerListener != nil {
		_ = p.peerListener.Close()
	}
	for _, s := range p.servers {
		_ = s.listener.Close()
	}
	if p.store != nil {
		_ = p.store.Close()
	}
}
