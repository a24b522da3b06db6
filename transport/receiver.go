package transport

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/gateway/intake"
	"primrosedale.example/primrosedale/logevent"
)

// receive handles an accepted connection until it or ctx ends.
func (t *Transport) receive(ctx context.Context, c net.Conn) {
	admitted := intake.Admitted(c)
	if t.cfg.TLSServer != nil {
		secured := tls.Server(c, t.cfg.TLSServer)
		hsCtx, cancel := context.WithTimeout(ctx, helloTimeout)
		err := secured.HandshakeContext(hsCtx)
		cancel()
		if err != nil {
			t.log.Emit(logevent.TLSRefused, logevent.Str(logevent.NameAddress, c.RemoteAddr().String()), logevent.Err(err))
			_ = c.Close()
			return
		}
		c = secured
	}
	r := &receiver{t: t, address: c.RemoteAddr().String(), stream: newStream(ctx, countedConn{c}, admitted)}
	conn := jsonrpc2.NewConn(ctx, r.stream, r, t.loggerFor("", r.address))
	select {
	case <-conn.DisconnectNotify():
	case <-ctx.Done():
	}
	_ = conn.Close()
}

// receiver handles the messages of one accepted connection, in order.
type receiver struct {
	t       *Transport
	address string
	stream  *stream
	from    model.HostID // empty until the handshake is accepted
}

// Handle implements jsonrpc2.Handler.
func (r *receiver) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var err error
	switch {
	case req.Params == nil:
		err = errors.New("request without parameters")
	case req.Method == methodHello && !req.Notif && r.from == "":
		err = r.handleHello(ctx, conn, req)
	case req.Method == methodMessage && req.Notif && r.from != "":
		err = r.deliver(codec.DecodeMessage(*req.Params))
	default:
		err = errors.Errorf("unexpected method %q", req.Method)
	}
	if err != nil {
		r.logRejected(err)
		_ = conn.Close()
	}
}

func (r *receiver) logRejected(err error) {
	r.t.log.Emit(logevent.PeerMessageMalformed, logevent.Host(r.from),
		logevent.Str(logevent.NameAddress, r.address), logevent.Err(err))
}

func (r *receiver) handleHello(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	var h hello
	if err := json.Unmarshal(*req.Params, &h); err != nil {
		return errors.Annotate(err, "decoding hello")
	}
	if err := h.check(r.t.cfg); err != nil {
		r.t.log.Emit(logevent.ClusterRefused, logevent.Str(logevent.NameAddress, r.address),
			logevent.Str(logevent.NameCluster, h.Cluster), logevent.Err(err))
		refusal := &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()}
		_ = conn.ReplyWithError(ctx, req.ID, refusal)
		return err
	}
	r.from = h.Host
	r.stream.acceptHandshake()
	if h.Frames {
		r.stream.handleFrame = r.handleFrame
	}
	reply := helloReply{Host: r.t.cfg.Host, Frames: h.Frames}
	if h.Frames {
		reply.Reads = []string{codec.PackedFormat()}
	}
	return conn.Reply(ctx, req.ID, reply)
}

// handleFrame handles the message of one frame. An error closes the connection.
func (r *receiver) handleFrame(encoded []byte) error {
	decode := codec.DecodeMessage
	if codec.IsPacked(encoded) {
		decode = codec.UnpackMessage
	}
	err := r.deliver(decode(encoded))
	if err != nil {
		r.logRejected(err)
	}
	return err
}

func (r *receiver) deliver(m *message.Message, err error) error {
	if err != nil {
		return err
	}
	if !r.t.control.Post(event.Received{From: r.from, Message: *m}) {
		droppedTotal.Inc()
	}
	return nil
}
