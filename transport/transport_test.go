package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/logevent"
)

const testTimeout = 10 * time.Second

// inbox is an EventSink that queues received messages.
type inbox chan event.Received

func (b inbox) Post(e event.Event) bool {
	b <- e.(event.Received)
	return true
}

// safeBuffer is a bytes.Buffer that is safe for concurrent use.
type safeBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

type node struct {
	transport *Transport
	inbox     inbox
	log       *safeBuffer
}

// start runs a transport for host on listener l until the test ends.
func start(t *testing.T, cluster string, host model.HostID, l net.Listener, peers map[model.HostID]string) *node {
	t.Helper()
	n := &node{inbox: make(inbox, 100), log: &safeBuffer{}}
	log, err := logevent.New(logevent.Options{Out: n.log, Format: logevent.JSON, Level: "debug"})
	require.NoError(t, err)
	n.transport = New(Config{Cluster: cluster, Host: host, Incarnation: "1", Peers: peers}, n.inbox, log)
	var tb tomb.Tomb
	tb.Go(func() error {
		n.transport.Run(&tb)
		return n.transport.Serve(&tb, l)
	})
	t.Cleanup(func() {
		tb.Kill(nil)
		require.NoError(t, tb.Wait())
	})
	return n
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// startPair starts hosts a and b, which are peers, with the given cluster names.
func startPair(t *testing.T, clusterA, clusterB string) (a, b *node) {
	la, lb := listen(t), listen(t)
	a = start(t, clusterA, "a", la, map[model.HostID]string{"b": lb.Addr().String()})
	b = start(t, clusterB, "b", lb, map[model.HostID]string{"a": la.Addr().String()})
	return a, b
}

func withdrawMessage(id model.RequestID) effect.Send {
	return effect.Send{To: "b", Message: message.Message{Withdraw: &message.Withdraw{Request: id}}}
}

// Guards against messages that are lost or reordered on a working connection.
func TestMessagesArriveInOrder(t *testing.T) {
	a, b := startPair(t, "c", "c")
	require.Eventually(t, func() bool {
		a.transport.Send(withdrawMessage("probe"))
		return len(b.inbox) > 0
	}, testTimeout, time.Millisecond)
	sent := []model.RequestID{"1", "2", "3", "4", "5"}
	for _, id := range sent {
		a.transport.Send(withdrawMessage(id))
	}
	var got []model.RequestID
	for len(got) < len(sent) {
		received := <-b.inbox
		require.Equal(t, model.HostID("a"), received.From)
		if id := received.Message.Withdraw.Request; id != "probe" {
			got = append(got, id)
		}
	}
	require.Equal(t, sent, got)
}

// Guards against accepting a process of another cluster as a peer.
func TestOtherClusterIsRejected(t *testing.T) {
	a, b := startPair(t, "c", "other")
	require.Eventually(t, func() bool {
		a.transport.Send(withdrawMessage("1"))
		return bytes.Contains([]byte(b.log.String()), []byte(`"id":510`))
	}, testTimeout, 10*time.Millisecond)
	require.Empty(t, b.inbox)
}

// Guards against connection errors that the JSON-RPC library writes to standard error,
// without an event number and fields, instead of the log.
func TestConnectionErrorsAreLogged(t *testing.T) {
	l := listen(t)
	b := start(t, "c", "b", l, map[model.HostID]string{"a": "127.0.0.1:1"})
	stray, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer stray.Close()
	_, err = stray.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return strings.Contains(b.log.String(), `"id":513`)
	}, testTimeout, 10*time.Millisecond)
	require.Contains(t, b.log.String(), "protocol error: invalid character")
}

// Guards against accepting messages before a valid handshake, against accepting malformed
// messages, and against a panic on either.
func TestInvalidPeersAreDisconnected(t *testing.T) {
	good := hello{Version: version, Cluster: "c", Host: "a", To: "b", Incarnation: "1"}
	valid := json.RawMessage(`{"withdraw":{"request":"1"}}`)
	for name, tc := range map[string]struct {
		hello *hello
		body  json.RawMessage
	}{
		"no hello":          {nil, valid},
		"unknown host":      {&hello{Version: version, Cluster: "c", Host: "x", To: "b"}, valid},
		"other address":     {&hello{Version: version, Cluster: "c", Host: "a", To: "c"}, valid},
		"other version":     {&hello{Version: version + 1, Cluster: "c", Host: "a", To: "b"}, valid},
		"empty message":     {&good, json.RawMessage(`{}`)},
		"two kinds":         {&good, json.RawMessage(`{"withdraw":{"request":"1"},"settled":{"request":"1"}}`)},
		"unknown field":     {&good, json.RawMessage(`{"withdraw":{"request":"1","x":1}}`)},
		"not an object":     {&good, json.RawMessage(`7`)},
		"hello as an array": {nil, json.RawMessage(`[]`)},
	} {
		t.Run(name, func(t *testing.T) {
			l := listen(t)
			b := start(t, "c", "b", l, map[model.HostID]string{"a": "127.0.0.1:1"})
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(c), jsonrpc2.HandlerWithError(rejectRequests))
			defer conn.Close()
			if tc.hello != nil {
				_ = conn.Call(ctx, methodHello, tc.hello, nil)
			}
			_ = conn.Notify(ctx, methodMessage, tc.body)
			select {
			case <-conn.DisconnectNotify():
			case <-ctx.Done():
				t.Fatal("the connection stayed open")
			}
			require.Empty(t, b.inbox)
		})
	}
}
