package proof

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/stretchr/testify/require"
)

// link is the proxy through which one host dials another. Processes send only on
// connections that they dialled, so a link carries the messages of one direction
// between two hosts.
type link struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

func newLink(t testing.TB, name, listen, upstream string) *link {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = name, listen, upstream
	require.NoError(t, p.Start())
	return &link{t, p}
}

// block drops all data on the link without closing its connections.
func (l *link) block() {
	l.toxic("upstream", "timeout", `{"timeout":0}`)
	l.toxic("downstream", "timeout", `{"timeout":0}`)
}

// delay delays all data sent over the link. Connections and order are kept.
func (l *link) delay(d time.Duration) {
	l.toxic("upstream", "latency", fmt.Sprintf(`{"latency":%d,"jitter":0}`, d.Milliseconds()))
}

func (l *link) toxic(stream, kind, attributes string) {
	l.t.Helper()
	text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":%s}`, kind+stream, kind, stream, attributes)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(text))
	require.NoError(l.t, err)
}

// heal removes all faults of the link.
func (l *link) heal() { l.proxy.Toxics.ResetToxics() }

// releaseLimit is how long the address of a stopped proxy may stay in use.
const releaseLimit = time.Second

// reset closes the connections of the link; new ones can be opened at once. It retries
// while the address is in use, because a child process being started holds a copy of
// the proxy's listener until its program is loaded.
func (l *link) reset() {
	l.proxy.Stop()
	err := l.proxy.Start()
	for began := time.Now(); errors.Is(err, syscall.EADDRINUSE) && time.Since(began) < releaseLimit; err = l.proxy.Start() {
		time.Sleep(time.Millisecond)
	}
	require.NoError(l.t, err)
}

// links are the proxies from one external process to each host.
type links []*link

// newLinks creates a link for each host, from the given port to the platform interface
// of the host. It returns the links and their addresses.
func (s *system) newLinks(name string, port int) (list links, addresses []string) {
	for _, h := range s.hosts {
		addresses = append(addresses, h.address(port))
		list = append(list, newLink(s.t, name+h.name, h.address(port), h.address(platformPort)))
	}
	return list, addresses
}

func (list links) each(do func(*link)) {
	for _, l := range list {
		do(l)
	}
}

func (list links) stop() { list.each(func(l *link) { l.proxy.Stop() }) }

// hostPair identifies the link from one host to another by their indices.
type hostPair struct{ from, to int }

// isolate blocks every link from and to the host.
func (s *system) isolate(i int) { s.eachLink(i, (*link).block) }

// reconnect heals every link from and to the host.
func (s *system) reconnect(i int) { s.eachLink(i, (*link).heal) }

func (s *system) eachLink(i int, do func(*link)) {
	for p, l := range s.links {
		if p.from == i || p.to == i {
			do(l)
		}
	}
}

// eachLinkFrom calls do for the links over which the host sends.
func (s *system) eachLinkFrom(i int, do func(*link)) {
	for p, l := range s.links {
		if p.from == i {
			do(l)
		}
	}
}

// eachLinkTo calls do for the links over which the host receives.
func (s *system) eachLinkTo(i int, do func(*link)) {
	for p, l := range s.links {
		if p.to == i {
			do(l)
		}
	}
}
