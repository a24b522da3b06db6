package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/logevent"
)

// dialAndHandshake starts host b, connects to it and does the handshake as host a, with
// frames.
func dialAndHandshake(t *testing.T) (*node, net.Conn) {
	l := listen(t)
	b := start(t, "c", "b", l, map[model.HostID]string{"a": "127.0.0.1:1"})
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	h, err := json.Marshal(hello{Version: version, Cluster: "c", Host: "a", To: "b", Incarnation: "1", Frames: true})
	require.NoError(t, err)
	_, err = c.Write([]byte(`{"jsonrpc":"2.0","id":1,"method":"hello","params":` + string(h) + "}\n"))
	require.NoError(t, err)
	var reply struct{ Result helloReply }
	require.NoError(t, json.NewDecoder(c).Decode(&reply))
	require.Equal(t, helloReply{Host: "b", Frames: true, Reads: []string{codec.PackedFormat()}}, reply.Result)
	return b, c
}

func frame(message string) []byte {
	framed, _ := appendFrame(nil, func(to []byte) ([]byte, error) { return append(to, message...), nil })
	return framed
}

// packed returns the packed form of a message.
func packed(t testing.TB, m *message.Message) string {
	data, err := new(codec.Packer).AppendMessage(nil, m)
	require.NoError(t, err)
	return string(data)
}

// Guards against losing messages when TCP splits or joins frames.
func TestFramesSplitAndJoined(t *testing.T) {
	b, c := dialAndHandshake(t)
	both := append(frame(`{"withdraw":{"request":"1"}}`), frame(`{"withdraw":{"request":"2"}}`)...)
	for i := range both {
		_, err := c.Write(both[i : i+1])
		require.NoError(t, err)
	}
	_, err := c.Write(append(frame(`{"withdraw":{"request":"3"}}`), frame(`{"withdraw":{"request":"4"}}`)...))
	require.NoError(t, err)
	for _, id := range []model.RequestID{"1", "2", "3", "4"} {
		require.Equal(t, id, (<-b.inbox).Message.Withdraw.Request)
	}
}

// Guards against a build that reads only one of the message formats, so that hosts with
// different builds cannot communicate.
func TestFramesInBothFormats(t *testing.T) {
	b, c := dialAndHandshake(t)
	_, err := c.Write(frame(packed(t, &message.Message{Withdraw: &message.Withdraw{Request: "1"}})))
	require.NoError(t, err)
	_, err = c.Write(frame(`{"withdraw":{"request":"2"}}`))
	require.NoError(t, err)
	_, err = c.Write(frame(packed(t, &message.Message{Withdraw: &message.Withdraw{Request: "3"}})))
	require.NoError(t, err)
	for _, id := range []model.RequestID{"1", "2", "3"} {
		require.Equal(t, id, (<-b.inbox).Message.Withdraw.Request)
	}
}

// Guards against accepting invalid frames, against allocating memory for a frame that is too
// large, and against a connection that stays open after one.
func TestInvalidFramesCloseTheConnection(t *testing.T) {
	good := packed(t, &message.Message{Withdraw: &message.Withdraw{Request: "1"}})
	huge := binary.BigEndian.AppendUint32(nil, codec.MaxMessageBytes+1)
	for name, bad := range map[string][]byte{
		"no message":     frame(""),
		"empty message":  frame("{}"),
		"two kinds":      frame(`{"withdraw":{"request":"1"},"settled":{"request":"1"}}`),
		"unknown field":  frame(`{"withdraw":{"request":"1","x":1}}`),
		"too large":      huge,
		"packed twice":   frame(good + good),
		"packed in part": frame(good[:len(good)-1]),
		"packed nothing": frame(good[:1]),
		"other packing":  frame("\x02" + good[1:]),
		"json-rpc":       []byte(`{"jsonrpc":"2.0","method":"message","params":{"withdraw":{"request":"1"}}}` + "\n"),
	} {
		t.Run(name, func(t *testing.T) {
			b, c := dialAndHandshake(t)
			_, err := c.Write(bad)
			require.NoError(t, err)
			if name == "json-rpc" {
				require.NoError(t, c.(*net.TCPConn).CloseWrite())
			}
			_, err = io.ReadAll(c)
			if err != nil {
				require.NotErrorIs(t, err, context.DeadlineExceeded)
			}
			require.Empty(t, b.inbox)
		})
	}
}

// copyPlain copies a message without counting it.
func copyPlain(message *bytes.Buffer, r io.Reader, size int64) error {
	_, err := io.CopyN(message, r, size)
	return err
}

// Guards against allocating memory according to the length in a frame's header, for bytes
// that never arrive.
func TestFrameBufferIsNotPreallocated(t *testing.T) {
	var message bytes.Buffer
	header := binary.BigEndian.AppendUint32(nil, codec.MaxMessageBytes)
	dummy, other := net.Pipe()
	defer dummy.Close()
	defer other.Close()
	require.Error(t, readFrame(bytes.NewReader(append(header, 'x')), &message, newStream(t.Context(), dummy, nil).copyMessage))
	require.Less(t, message.Cap(), 64<<10)
}

// Guards against hosts that cannot communicate during a rolling upgrade: a host that does not
// support frames must receive JSON-RPC notifications.
func TestPeerWithoutFrames(t *testing.T) {
	l := listen(t)
	la := listen(t)
	a := start(t, "c", "a", la, map[model.HostID]string{"b": l.Addr().String()})
	got := make(chan string, 10)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		dec := json.NewDecoder(c)
		for {
			var request struct {
				ID     *uint64
				Method string
			}
			if dec.Decode(&request) != nil {
				return
			}
			if request.Method == methodHello {
				_, _ = c.Write([]byte(`{"jsonrpc":"2.0","id":0,"result":{"host":"b"}}` + "\n"))
			}
			got <- request.Method
		}
	}()
	require.Equal(t, methodHello, <-got)
	require.Eventually(t, func() bool {
		a.transport.Send(withdrawMessage("1"))
		select {
		case method := <-got:
			return method == methodMessage
		default:
			return false
		}
	}, testTimeout, 10*time.Millisecond)
}

// acceptOne accepts one connection on l, answers the handshake with reply and passes the
// message of each frame to onFrame until the connection ends.
func acceptOne(l net.Listener, reply helloReply, onFrame func(message []byte)) error {
	c, err := l.Accept()
	if err != nil {
		return err
	}
	defer c.Close()
	dec := json.NewDecoder(c)
	var request struct{ ID uint64 }
	if err := dec.Decode(&request); err != nil {
		return err
	}
	response := map[string]any{"jsonrpc": "2.0", "id": request.ID, "result": reply}
	if err := json.NewEncoder(c).Encode(response); err != nil {
		return err
	}
	r := bufio.NewReader(io.MultiReader(dec.Buffered(), c))
	if _, err := r.ReadByte(); err != nil {
		return err
	}
	var frame bytes.Buffer
	for {
		if err := readFrame(r, &frame, copyPlain); err != nil {
			return err
		}
		onFrame(frame.Bytes())
	}
}

// Guards against hosts that cannot communicate during a rolling upgrade: a host must receive
// packed messages only if it reads this build's packed format.
func TestMessageFormatMatchesThePeer(t *testing.T) {
	for name, tc := range map[string]struct {
		reads  []string
		packed bool
	}{
		"a build before packed messages": {nil, false},
		"a build of other types":         {[]string{"packed1-0000000000000000"}, false},
		"the same types":                 {[]string{codec.PackedFormat()}, true},
		"both":                           {[]string{"packed1-0000000000000000", codec.PackedFormat()}, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := listen(t)
			defer l.Close()
			a := start(t, "c", "a", listen(t), map[model.HostID]string{"b": l.Addr().String()})
			got := make(chan []byte, 100)
			go func() {
				_ = acceptOne(l, helloReply{Host: "b", Frames: true, Reads: tc.reads}, func(message []byte) { got <- bytes.Clone(message) })
			}()
			var first []byte
			require.Eventually(t, func() bool {
				a.transport.Send(withdrawMessage("1"))
				select {
				case first = <-got:
					return true
				default:
					return false
				}
			}, testTimeout, 10*time.Millisecond)
			require.Equal(t, tc.packed, codec.IsPacked(first))
			decode := codec.DecodeMessage
			if tc.packed {
				decode = codec.UnpackMessage
			}
			m, err := decode(first)
			require.NoError(t, err)
			require.Equal(t, withdrawMessage("1").Message, *m)
		})
	}
}

// Guards against a message that cannot be encoded and prevents other messages from being
// sent.
func TestUnencodableMessageIsSkipped(t *testing.T) {
	for name, reads := range map[string][]string{"packed": {codec.PackedFormat()}, "JSON": nil} {
		t.Run(name, func(t *testing.T) {
			l := listen(t)
			defer l.Close()
			tr := New(Config{Cluster: "c", Host: "a", Peers: map[model.HostID]string{"b": l.Addr().String()}}, make(inbox, 1), logevent.Logger{})
			tr.Send(withdrawMessage("1"))
			tr.Send(effect.Send{To: "b"})
			tr.Send(withdrawMessage("2"))
			var tb tomb.Tomb
			tb.Go(func() error {
				tr.Run(&tb)
				<-tb.Dying()
				return nil
			})
			defer func() {
				tb.Kill(nil)
				require.NoError(t, tb.Wait())
			}()
			got := make(chan []byte, 3)
			go func() {
				_ = acceptOne(l, helloReply{Host: "b", Frames: true, Reads: reads}, func(message []byte) { got <- bytes.Clone(message) })
			}()
			for _, id := range []string{"1", "2"} {
				require.Contains(t, string(<-got), id)
			}
		})
	}
}
