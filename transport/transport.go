package transport

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/logevent"
)

// Limits of a connection.
const (
	queueSize   = 1024 // messages that wait for one peer
	dialTimeout = time.Second
	// userTimeout ends a connection whose peer has gone silent before an election
	// begins, so that a new one carries the next heartbeats.
	userTimeout = 600 * time.Millisecond
	// silentTimeout ends connections on which nothing arrives any more.
	silentTimeout = 6 * time.Second
	writeTimeout  = 2 * time.Second
	helloTimeout  = 2 * time.Second
	// redialMin and redialMax bound the exponential delay between two attempts
	// to reach a peer.
	redialMin = 50 * time.Millisecond
	redialMax = time.Second
)

// Config is fixed for the life of a Transport.
type Config struct {
	Cluster     string
	Host        model.HostID
	Incarnation model.Incarnation
	Peers       map[model.HostID]string // host to IP:port, without this host
	// Address returns the IP:port of a host that is not among Peers. Hosts are
	// then met as messages are sent to them, and any host of the cluster may
	// connect.
	Address func(model.HostID) string
	// WriteInterval is the shortest time between two writes to a peer. Messages that
	// are sent meanwhile share the next write.
	WriteInterval time.Duration
	TLSServer     *tls.Config // nil for plain TCP
	TLSClient     *tls.Config
}

// Control takes the messages that arrive.
type Control interface {
	Post(e event.Event) bool
}

// Transport holds the connections of one process.
type Transport struct {
	cfg     Config
	control Control
	log     logevent.Logger
	peers   map[model.HostID]*peer // changed by Send only, after New
	tomb    *tomb.Tomb             // set before the first Send
	packer  codec.Packer           // used by all peers
}

var (
	sentBytes     = metrics.NewCounter("primrosedale_peer_sent_bytes_total")
	receivedBytes = metrics.NewCounter("primrosedale_peer_received_bytes_total")
	droppedTotal  = metrics.NewCounter("primrosedale_peer_messages_dropped_total")
)

// New returns a Transport. Serve and Run start it.
func New(cfg Config, c Control, log logevent.Logger) *Transport {
	t := &Transport{cfg: cfg, control: c, log: log, peers: make(map[model.HostID]*peer)}
	for host, address := range cfg.Peers {
		t.peers[host] = newPeer(t, host, address)
	}
	return t
}

// Send queues a message for a peer. It does not block; a message to an unknown
// or slow peer is dropped.
func (t *Transport) Send(e effect.Send) {
	p := t.peers[e.To]
	if p == nil && t.cfg.Address != nil && t.tomb != nil {
		p = newPeer(t, e.To, t.cfg.Address(e.To))
		t.peers[e.To] = p
		t.tomb.Go(func() error { return p.run(t.tomb) })
	}
	if p == nil {
		droppedTotal.Inc()
		return
	}
	select {
	case p.queue <- e.Message:
	default:
		droppedTotal.Inc()
	}
}

// Run sends queued messages until tb is dying.
func (t *Transport) Run(tb *tomb.Tomb) {
	t.tomb = tb
	for _, p := range t.peers {
		tb.Go(func() error { return p.run(tb) })
	}
}

// Serve accepts connections on l until tb is dying.
func (t *Transport) Serve(tb *tomb.Tomb, l net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tb.Go(func() error {
		<-tb.Dying()
		cancel()
		return l.Close()
	})
	for {
		c, err := l.Accept()
		if err != nil {
			if !tb.Alive() {
				return nil
			}
			return errors.Annotate(err, "accepting peer connections")
		}
		tb.Go(func() error {
			t.receive(ctx, c)
			return nil
		})
	}
}

// countedConn bounds the time of each write and counts bytes.
type countedConn struct{ net.Conn }

func (c countedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	sentBytes.Add(n)
	return n, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	receivedBytes.Add(n)
	return n, err
}
