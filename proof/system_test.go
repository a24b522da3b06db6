package proof

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/operator/client"
	"primrosedale.example/primrosedale/standin"
)

// The ports of each host. Every host has its own loopback address, and the ports are
// below the ephemeral range, so that nothing else can bind them while a process is
// down.
const (
	peerPort = 7100 + iota
	callerPort
	platformPort
	operatorPort
	firstLinkPort   = 7200 // of the links to peers
	firstTargetPort = 7300 // of the links from targets
)

var centres = []model.DataCentreID{"west", "east", "north"}

// system is a set of processes with a link for each direction between two hosts.
type system struct {
	t       testing.TB
	folder  string
	hosts   []*host
	links   map[hostPair]*link
	ledger  *ledger
	targets []*target
	keys    map[string]string // by team
}

// systemCount counts the systems started by this test binary.
var systemCount atomic.Uint32

// newSystem writes the settings and creates the data folders. It starts no process.
func newSystem(t testing.TB, replicas, followers int) *system {
	s := &system{t: t, folder: t.TempDir(), links: map[hostPair]*link{}, ledger: newLedger(), keys: map[string]string{}}
	// 127.x.y.z: x and y from the process ID and the number of the system, z for the
	// host.
	id := uint32(os.Getpid())%(1<<14) + systemCount.Add(1)<<14
	for i := range replicas + followers {
		s.hosts = append(s.hosts, &host{
			s: s, name: fmt.Sprintf("entry-%d", i+1), centre: centres[i%len(centres)], replica: i < replicas,
			ip: netip.AddrFrom4([4]byte{127, byte(1 + id>>8%250), byte(id), byte(i + 1)}),
		})
	}
	t.Cleanup(s.close)
	for i, from := range s.hosts {
		for j, to := range s.hosts {
			if i != j {
				s.links[hostPair{i, j}] = newLink(t, from.name+to.name, from.address(firstLinkPort+j), to.address(peerPort))
			}
		}
	}
	for i, h := range s.hosts {
		s.writeSettings(i)
		if h.replica {
			h.init()
		}
	}
	return s
}

// startSystem starts every process and waits until all hosts serve.
func startSystem(t testing.TB, replicas, followers int) *system {
	s := newSystem(t, replicas, followers)
	s.startAll()
	s.waitServing()
	return s
}

func (s *system) startAll() {
	for _, h := range s.hosts {
		h.start()
	}
}

func (s *system) killAll() {
	for _, h := range s.hosts {
		h.kill()
	}
}

func (s *system) writeSettings(i int) {
	h := s.hosts[i]
	var b bytes.Buffer
	fmt.Fprintf(&b, "cluster = \"proof\"\nhost = %q\ndata_centre = %q\n", h.name, h.centre)
	if h.replica {
		fmt.Fprintf(&b, "data_folder = %q\n", h.data())
	}
	fmt.Fprintf(&b, "[listen]\npeers = %q\ncallers = %q\nplatform = %q\noperators = %q\n[log]\nformat = \"console\"\n",
		h.address(peerPort), h.address(callerPort), h.address(platformPort), h.address(operatorPort))
	for j, p := range s.hosts {
		address := p.address(peerPort)
		if i != j {
			address = h.address(firstLinkPort + j)
		}
		fmt.Fprintf(&b, "[[peer]]\nhost = %q\ndata_centre = %q\naddress = %q\nreplica = %t\n", p.name, p.centre, address, p.replica)
	}
	require.NoError(s.t, os.WriteFile(h.settings(), b.Bytes(), 0o600))
}

func (s *system) close() {
	if s.t.Failed() {
		for _, h := range s.hosts {
			s.t.Logf("last log lines of %s:\n%s", h.name, h.tail())
		}
	}
	for _, target := range s.targets {
		target.Stop()
		target.links.stop()
	}
	s.killAll()
	for _, l := range s.links {
		l.proxy.Stop()
	}
}

// operators returns a client of the operator interfaces of the given hosts, or of all
// hosts if none is given.
func (s *system) operators(hosts ...int) *client.Client {
	var addresses []string
	if len(hosts) == 0 {
		hosts = s.allHosts()
	}
	for _, i := range hosts {
		addresses = append(addresses, s.hosts[i].address(operatorPort))
	}
	return client.New(addresses, nil)
}

func (s *system) allHosts() []int { return s.except() }

// except returns the indices of all hosts except the given ones.
func (s *system) except(out ...int) []int {
	var list []int
	for i := range s.hosts {
		if !slices.Contains(out, i) {
			list = append(list, i)
		}
	}
	return list
}

func (s *system) waitServing(hosts ...int) {
	s.t.Helper()
	if len(hosts) == 0 {
		hosts = s.allHosts()
	}
	for _, i := range hosts {
		eventually(s.t, startLimit, s.hosts[i].name+" serves", s.hosts[i].serving)
	}
}

// leader waits until one of the hosts leads and serves, and returns its index.
func (s *system) leader(hosts ...int) int {
	s.t.Helper()
	found := -1
	if len(hosts) == 0 {
		hosts = s.allHosts()
	}
	eventually(s.t, startLimit, "a leader", func() bool {
		for _, i := range hosts {
			if status := s.hosts[i].status(); status != nil && status.Role == "leader" && status.Serving {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// target is a stand-in target with a link to the platform interface of each host.
type target struct {
	*standin.Target
	id    string
	links links
}

// addTarget starts a target in a data centre.
func (s *system) addTarget(id string, centre model.DataCentreID, work standin.Work) *target {
	return s.addFaultyTarget(id, centre, work, nil)
}

// addFaultyTarget starts a target whose handler is wrapped by middleware, unless that
// is nil.
func (s *system) addFaultyTarget(id string, centre model.DataCentreID, work standin.Work, middleware func(http.Handler) http.Handler) *target {
	t := &target{id: id}
	var platforms []string
	t.links, platforms = s.newLinks(id, firstTargetPort+len(s.targets))
	var err error
	t.Target, err = standin.StartTarget(standin.TargetConfig{
		ID: model.TargetID(id), Service: "render", DataCentre: centre, Host: model.HostID(id + "-host"),
		Work: s.ledger.record(id, centre, work), Platforms: platforms, Middleware: middleware,
	})
	require.NoError(s.t, err)
	s.targets = append(s.targets, t)
	return t
}

// readyTargets returns the number of targets that are ready according to the leader.
func (s *system) readyTargets(leader int) int {
	status, ready := s.hosts[leader].status(), 0
	if status != nil {
		for _, target := range status.Targets {
			if target.State == "ready" {
				ready++
			}
		}
	}
	return ready
}

func (h *host) data() string     { return filepath.Join(h.s.folder, h.name) }
func (h *host) settings() string { return h.data() + ".toml" }
func (h *host) log() string      { return h.data() + ".log" }
func (h *host) address(port int) string {
	return netip.AddrPortFrom(h.ip, uint16(port)).String()
}
