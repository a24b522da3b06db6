package daemon

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/control"
	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/gateway/intake"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/transport"
)

// sendSignal closes sent after the first message was passed on.
type sendSignal struct {
	control.Executor
	once sync.Once
	sent chan struct{}
}

func (s *sendSignal) Execute(e effect.Effect) {
	s.Executor.Execute(e)
	if _, ok := e.(effect.Send); ok {
		s.once.Do(func() { close(s.sent) })
	}
}

// startAndSend starts a process whose control goroutine sends messages at once, and stops
// it after the first one.
func startAndSend(t *testing.T, ip string) {
	p := newProcess(logevent.Logger{}, intake.Limits{})
	p.peers = transport.New(transport.Config{
		Cluster: "test", Host: "a", Incarnation: "1",
		PeerAddress: func(model.HostID) string { return ip + ":1" },
	}, p.loop, p.log)
	assert.NoError(t, p.listenPeers(ip+":0", net.KeepAliveConfig{}))
	state, err := core.New(core.Config{Host: "a", Incarnation: "1", Replica: "1", Seeds: []model.HostID{"b"}}, core.Stored{}, p.loop.Now(), p.loop.Rand())
	assert.NoError(t, err)
	signal := &sendSignal{Executor: &executor{transport: p.peers, log: p.log}, sent: make(chan struct{})}
	p.loop.Start(state, signal, nil)
	for range 20 {
		assert.True(t, p.loop.Post(event.Tick{}))
	}
	var parts tomb.Tomb
	parts.Go(func() error {
		p.start(&parts)
		return nil
	})
	<-signal.sent
	parts.Kill(nil)
	assert.NoError(t, parts.Wait())
}

// Guards against a control goroutine that sends messages while the transport is being
// started: they are lost, and the two goroutines write the same map. Many processes start
// at once, so that some are interrupted between the two steps; the race detector reports it.
func TestTransportIsStartedBeforeTheControlLoop(t *testing.T) {
	ip := reserveNetwork(t).IP(1)
	var starts sync.WaitGroup
	for range 32 {
		starts.Go(func() {
			for range 30 {
				startAndSend(t, ip)
			}
		})
	}
	starts.Wait()
}
