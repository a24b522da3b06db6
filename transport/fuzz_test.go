package transport

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/logevent"
)

// recordingSink is an EventSink that records received messages. It locks because the
// library may still handle a request after its connection is closed.
type recordingSink struct {
	mu  sync.Mutex
	got []event.Received
}

func (c *recordingSink) Post(e event.Event) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.got = append(c.got, e.(event.Received))
	return true
}

// FuzzReceive guards against bytes from a connection that cause a panic, and against
// accepting a message before a handshake as a known host.
func FuzzReceive(f *testing.F) {
	const helloCall = `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"version":1,"cluster":"c","host":"a","to":"b","incarnation":"1"}}`
	const notification = `{"jsonrpc":"2.0","method":"message","params":{"withdraw":{"request":"1"}}}`
	f.Add([]byte(helloCall + notification))
	f.Add([]byte(notification))
	framed := strings.Replace(helloCall, `"incarnation"`, `"frames":true,"incarnation"`, 1) + "\n"
	f.Add(append([]byte(framed), frame(`{"withdraw":{"request":"1"}}`)...))
	f.Add(append([]byte(framed), frame(`{}`)...))
	f.Add(append([]byte(framed), frame(packed(f, &message.Message{Withdraw: &message.Withdraw{Request: "1"}}))...))
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"result":{}}` + helloCall))
	f.Add([]byte(`{"jsonrpc":"2.0","method":"hello"}`))
	require.True(f, json.Valid([]byte(helloCall)) && json.Valid([]byte(notification)))
	f.Fuzz(func(t *testing.T, data []byte) {
		control := &recordingSink{}
		tr := New(Config{Cluster: "c", Host: "b", Peers: map[model.HostID]string{"a": "127.0.0.1:1"}}, control, logevent.Logger{})
		local, remote := net.Pipe()
		done := make(chan struct{})
		go func() {
			tr.receive(context.Background(), local)
			close(done)
		}()
		go func() {
			buffer := make([]byte, 512)
			for {
				if _, err := remote.Read(buffer); err != nil {
					return
				}
			}
		}()
		_, _ = remote.Write(data) // an error means that the connection was refused
		_ = remote.Close()
		<-done
		control.mu.Lock()
		defer control.mu.Unlock()
		for _, e := range control.got {
			require.Equal(t, model.HostID("a"), e.From)
		}
	})
}
