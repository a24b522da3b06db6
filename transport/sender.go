package transport

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/socket"
)

// peer is the sending side of the connection to one host.
type peer struct {
	t       *Transport
	host    model.HostID
	address string
	queue   chan message.Message
	pending *message.Message // taken from the queue before the connection was opened
}

func newPeer(t *Transport, host model.HostID, address string) *peer {
	return &peer{t: t, host: host, address: address, queue: make(chan message.Message, queueSize)}
}

// run maintains a connection to the peer and writes the queued messages to it.
func (p *peer) run(tb *tomb.Tomb) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tb.Go(func() error {
		<-tb.Dying()
		cancel()
		return nil
	})
	delay := redialMin
	for tb.Alive() {
		if p.t.cfg.PeerAddress != nil && !p.awaitMessage(ctx) {
			return nil
		}
		c, err := p.dial(ctx)
		if err == nil {
			delay = redialMin
			p.t.log.Emit(logevent.PeerConnected, logevent.Host(p.host))
			p.write(ctx, c)
			p.t.log.Emit(logevent.PeerDisconnected, logevent.Host(p.host))
		}
		if !sleep(ctx, delay) {
			return nil
		}
		delay = min(2*delay, redialMax)
		p.dropQueued()
	}
	return nil
}

// dropQueued drops the messages queued while the peer was unreachable: the protocols above
// resend what is still relevant.
func (p *peer) dropQueued() {
	for {
		select {
		case <-p.queue:
			droppedTotal.Inc()
		default:
			return
		}
	}
}

// connection is a connection to a peer after the handshake.
type connection struct {
	rpc    *jsonrpc2.Conn
	conn   net.Conn
	frames bool   // the peer expects frames
	packed bool   // the peer reads packed messages
	buffer []byte // frames that are written together
}

func (p *peer) dial(ctx context.Context) (*connection, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: socket.UserTimeout(userTimeout), KeepAliveConfig: socket.KeepAlive(silentTimeout)}
	raw, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Annotatef(err, "dialling host %s", p.host)
	}
	if p.t.cfg.TLSClient != nil {
		raw = tls.Client(raw, p.t.cfg.TLSClient)
	}
	c := &connection{conn: countedConn{raw}}
	stream := jsonrpc2.NewPlainObjectStream(c.conn)
	c.rpc = jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(rejectRequests), p.t.loggerFor(p.host, p.address))
	if err := p.handshake(ctx, c); err != nil {
		_ = c.rpc.Close()
		return nil, err
	}
	return c, nil
}

func (p *peer) handshake(ctx context.Context, c *connection) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	cfg := p.t.cfg
	var reply helloReply
	h := hello{Version: version, Cluster: cfg.Cluster, Host: cfg.Host, To: p.host, Incarnation: cfg.Incarnation, Frames: true}
	if err := c.rpc.Call(ctx, methodHello, h, &reply); err != nil {
		return errors.Annotatef(err, "handshake with host %s", p.host)
	}
	if reply.Host != p.host {
		return errors.Errorf("address %s belongs to host %q, not %q", p.address, reply.Host, p.host)
	}
	c.frames = reply.Frames
	c.packed = reply.Frames && slices.Contains(reply.Reads, codec.PackedFormat())
	return nil
}

// write sends queued messages until the connection fails or ctx ends.
func (p *peer) write(ctx context.Context, c *connection) {
	defer c.rpc.Close()
	var earliest time.Time // of the next write
	if m := p.pending; m != nil {
		p.pending = nil
		if err := p.send(ctx, c, m); err != nil {
			return
		}
	}
	for {
		select {
		case m := <-p.queue:
			if delay := time.Until(earliest); delay > 0 && !sleep(ctx, delay) {
				return
			}
			if err := p.send(ctx, c, &m); err != nil {
				return
			}
			earliest = time.Now().Add(p.t.cfg.WriteInterval)
		case <-c.rpc.DisconnectNotify():
			return
		case <-ctx.Done():
			return
		}
	}
}

// send writes a message. With frames, it also writes the messages queued behind it, up to
// about batchBytes.
func (p *peer) send(ctx context.Context, c *connection, m *message.Message) error {
	if !c.frames {
		data, err := codec.EncodeMessage(m)
		if err != nil {
			p.dropUnencodable(err)
			return nil
		}
		return c.rpc.Notify(ctx, methodMessage, json.RawMessage(data))
	}
	c.buffer = c.buffer[:0]
	for m != nil {
		framed, err := appendFrame(c.buffer, func(dst []byte) ([]byte, error) { return p.encode(dst, c, m) })
		if err != nil {
			p.dropUnencodable(err)
		}
		c.buffer = framed
		if len(c.buffer) >= batchBytes {
			break
		}
		m = p.dequeue()
	}
	_, err := c.conn.Write(c.buffer)
	if cap(c.buffer) > maxRetainedBuffer {
		c.buffer = nil
	}
	return err
}

// dequeue returns the next queued message, or nil if there is none.
func (p *peer) dequeue() *message.Message {
	select {
	case m := <-p.queue:
		return &m
	default:
		return nil
	}
}

// encode appends a message in the format that the peer reads.
func (p *peer) encode(dst []byte, c *connection, m *message.Message) ([]byte, error) {
	if c.packed {
		return p.t.packer.AppendMessage(dst, m)
	}
	data, err := codec.EncodeMessage(m)
	return append(dst, data...), err
}

// dropUnencodable counts and logs a message that is dropped because it cannot be encoded.
func (p *peer) dropUnencodable(err error) {
	droppedTotal.Inc()
	p.t.log.Emit(logevent.InternalError, logevent.Host(p.host), logevent.Err(err))
}

// rejectRequests rejects requests from the peer on a connection that is only for sending.
func rejectRequests(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side accepts no requests"}
}

// awaitMessage waits until there is a message to send, so that a host that is no longer
// needed is not dialled forever. It returns false if ctx ends.
func (p *peer) awaitMessage(ctx context.Context) bool {
	select {
	case m := <-p.queue:
		p.pending = &m
		return true
	case <-ctx.Done():
		return false
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
