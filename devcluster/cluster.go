// Package devcluster runs a complete system in one process on loopback: replicas,
// followers, targets and workers. It is used by the dev command and by tests.
package devcluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/daemon"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/settings"
)

const (
	clusterName = "dev"
	// heldRequests is the maximum number of requests that one host holds at a time.
	heldRequests = 4096
)

// centres are the data centres of the development cluster.
var centres = []model.DataCentreID{"west", "east", "north"}

// Layout returns the settings of a cluster on free loopback addresses, spread over three data
// centres. The first hosts are replicas with a data folder below folder; the followers
// after them have none.
func Layout(folder string, replicas, followers int) ([]*settings.Settings, error) {
	total := replicas + followers
	ports, err := FreeAddresses(4 * total)
	if err != nil {
		return nil, err
	}
	peers := make([]settings.Peer, total)
	for i := range peers {
		peers[i] = settings.Peer{
			Host:       model.HostID(fmt.Sprintf("entry-%d", i+1)),
			DataCentre: centres[i%len(centres)],
			Address:    ports[4*i],
			Replica:    i < replicas,
		}
	}
	list := make([]*settings.Settings, total)
	for i, p := range peers {
		s := &settings.Settings{
			Cluster: clusterName, Host: p.Host, DataCentre: p.DataCentre, Peers: peers,
			Listen: settings.Listen{
				Peers: ports[4*i], Callers: ports[4*i+1], Platform: ports[4*i+2], Operators: ports[4*i+3],
			},
			Log:    settings.Log{Level: "info", Format: settings.FormatConsole},
			TLS:    settings.TLS{Mode: settings.ModePlain},
			Limits: settings.Limits{BodyBytes: 1 << 20, AnswerBytes: 8 << 20, HeldRequests: heldRequests},
		}
		if p.Replica {
			s.DataFolder = filepath.Join(folder, string(p.Host))
		}
		list[i] = s
	}
	return list, nil
}

// FreeAddresses returns n distinct addresses that were free during the call. They are on a
// loopback address of their own: on 127.0.0.1, an outgoing connection of any process may
// have one of the ports before it is listened on.
func FreeAddresses(n int) ([]netip.AddrPort, error) {
	ip := netip.AddrFrom4([4]byte{127, byte(64 + rand.IntN(64)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
	var free []netip.AddrPort
	for len(free) < n {
		l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return nil, errors.Annotate(err, "looking for a free port")
		}
		defer l.Close() // kept open until all are found, so that they differ
		free = append(free, netip.MustParseAddrPort(l.Addr().String()))
	}
	return free, nil
}

// Cluster is a set of running daemons.
type Cluster struct {
	Settings []*settings.Settings
	daemons  []*daemon.Daemon
	running  tomb.Tomb
	stop     context.CancelFunc
}

// Start runs a daemon for each of the settings and writes their log lines to log. If
// create is set, it first initialises the data folders of the replicas.
func Start(list []*settings.Settings, log io.Writer, create bool) (*Cluster, error) {
	if create {
		for _, s := range list {
			if !s.IsReplica() {
				continue
			}
			if err := daemon.Init(s); err != nil {
				return nil, err
			}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{Settings: list, stop: cancel}
	daemons, err := newDaemons(ctx, list, log)
	if err != nil {
		cancel()
		return nil, err
	}
	c.daemons = daemons
	c.running.Go(func() error {
		for _, d := range daemons {
			c.running.Go(func() error { return d.Run(&c.running, ctx) })
		}
		return nil
	})
	return c, nil
}

func newDaemons(stop context.Context, list []*settings.Settings, out io.Writer) ([]*daemon.Daemon, error) {
	var daemons []*daemon.Daemon
	for _, s := range list {
		log, err := logevent.New(logevent.Options{
			Out: out, Format: logevent.Format(s.Log.Format), Level: s.Log.Level,
		})
		if err != nil {
			return nil, err
		}
		d, err := daemon.New(stop, s, log)
		if err != nil {
			return nil, errors.Annotatef(err, "starting host %s", s.Host)
		}
		daemons = append(daemons, d)
	}
	return daemons, nil
}

// Stop stops all daemons gracefully and waits for them.
func (c *Cluster) Stop() error {
	c.stop()
	return c.running.Wait()
}

// Dead is closed when every daemon has ended.
func (c *Cluster) Dead() <-chan struct{} { return c.running.Dead() }

// Err returns the error with which a daemon ended.
func (c *Cluster) Err() error { return c.running.Err() }
