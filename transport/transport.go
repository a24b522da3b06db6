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
	queueSize   = 1024 // messages waiting to be sent to one peer
	dialTimeout = time.Second
	// userTimeout closes a connection whose peer does not acknowledge data. It is shorter
	// than the election timeout, so that a new connection carries the next heartbeats
	// before an election starts.
	userTimeout = 600 * time.Millisecond
	// silentTimeout closes connections whose peer no longer answers keep-alive probes.
	silentTimeout = 6 * time.Second
	writeTimeout  = 2 * time.Second
	helloTimeout  = 2 * time.Second
	// redialMin and redialMax bound the exponential backoff between attempts to connect
	// to a peer.
	redialMin = 50 * time.Millisecond
	redialMax = time.Second
)

// Config is the configuration of a Transport.
type Config struct {
	Cluster     string
	Host        model.HostID
	Incarnation model.Incarnation
	Peers       map[model.HostID]string // host to IP:port, without this host
	// PeerAddress returns the IP:port of a host that is not in Peers. If it is set, peers
	// are added when a message is first sent to them, and any host of the cluster may
	// connect.
	PeerAddress func(model.HostID) string
	// WriteInterval is the minimum time between two writes to a peer. Messages queued in
	// between are sent with the next write.
	WriteInterval time.Duration
	TLSServer     *tls.Config // nil for plain TCP
	TLSClient     *tls.Config
}

// EventSink receives incoming messages as events.
type EventSink interface {
	Post(e event.Event) bool
}

// Transport manages the connections of one process to its peers.
type Transport struct {
	cfg     Config
	control EventSink
	log     logevent.Logger
	peers   map[model.HostID]*peer // after New, modified only by Send
	tomb    *tomb.Tomb             // set by Run before the first Send
	packer  codec.Packer           // shared by all peers
}

var (
	sentBytes     = metrics.NewCounter("primrosedale_peer_sent_bytes_total")
	receivedBytes = metrics.NewCounter("primrosedale_peer_received_bytes_total")
	droppedTotal  = metrics.NewCounter("primrosedale_peer_messages_dropped_total")
)

// New returns a Transport that passes incoming messages to control. Serve and Run start it.
func New(cfg Config, control EventSink, log logevent.Logger) *Transport {
	t := &Transport{cfg: cfg, control: control, log: log, peers: make(map[model.HostID]*peer)}
	for host, address := range cfg.Peers {
		t.peers[host] = newPeer(t, host, address)
	}
	return t
}

// Send queues a message for a peer. It does not block: it drops the message if the peer is
// unknown or its queue is full.
func (t *Transport) Send(e effect.Send) {
	p := t.peers[e.To]
	if p == nil && t.cfg.PeerAddress != nil && t.tomb != nil {
		p = newPeer(t, e.To, t.cfg.PeerAddress(e.To))
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

// Run starts to send queued messages on goroutines of tb, until tb is dying.
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

// countedConn sets a deadline for each write and counts the bytes sent and received.
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
