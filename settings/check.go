package settings

import (
	"fmt"
	"net/netip"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/rulesfile/filefault"
)

// check finds settings that contradict each other. Values that could not be parsed are
// zero and are skipped, because they have been reported already.
func (p *parser) check() {
	p.checkListen()
	p.checkPeers()
	p.checkOwnPeer()
	p.checkReplicas()
	p.checkTLS()
}

// namedAddress is an address with the key that holds it.
type namedAddress struct {
	key     string
	address netip.AddrPort
}

func (p *parser) listenAddresses() []namedAddress {
	l := p.settings.Listen
	return []namedAddress{
		{"listen.peers", l.Peers},
		{"listen.callers", l.Callers},
		{"listen.platform", l.Platform},
		{"listen.operators", l.Operators},
	}
}

func (p *parser) peerAddresses() []namedAddress {
	var list []namedAddress
	for i, peer := range p.settings.Peers {
		list = append(list, namedAddress{peerKey(i, "address"), peer.Address})
	}
	return list
}

func peerKey(i int, key string) string { return fmt.Sprintf("peer[%d].%s", i, key) }

func (p *parser) checkListen() { p.checkDistinct(p.listenAddresses()) }

func (p *parser) checkPeers() {
	p.checkDistinct(p.peerAddresses())
	for _, a := range p.peerAddresses() {
		if a.address.IsValid() && a.address.Addr().IsUnspecified() {
			p.addFault(a.key, a.address.String(), "the address at which other hosts reach this peer")
		}
	}
	first := map[model.HostID]int{}
	for i, peer := range p.settings.Peers {
		if peer.Host == "" {
			continue
		}
		if j, ok := first[peer.Host]; ok {
			p.addFault(peerKey(i, "host"), filefault.Quote(string(peer.Host))+" again", "each host once; it is also "+peerKey(j, "host"))
			continue
		}
		first[peer.Host] = i
	}
}

func (p *parser) checkDistinct(addresses []namedAddress) {
	first := map[netip.AddrPort]string{}
	for _, a := range addresses {
		if !a.address.IsValid() {
			continue
		}
		if key, ok := first[a.address]; ok {
			p.addFault(a.key, a.address.String()+" again", "each address once; it is also "+key)
			continue
		}
		first[a.address] = a.key
	}
}

// checkOwnPeer checks that the host is one of the peers, with the same data centre,
// and that it is a replica exactly if it has a data folder.
func (p *parser) checkOwnPeer() {
	s := p.settings
	if s.Host == "" || len(s.Peers) == 0 {
		return
	}
	for i, peer := range s.Peers {
		if peer.Host != s.Host {
			continue
		}
		if peer.DataCentre != s.DataCentre && peer.DataCentre != "" && s.DataCentre != "" {
			p.addFault("data_centre", filefault.Quote(string(s.DataCentre)),
				fmt.Sprintf("%q, as in %s", peer.DataCentre, peerKey(i, "data_centre")))
		}
		if peer.Replica != s.IsReplica() {
			p.addFault("data_folder", filefault.Quote(s.DataFolder),
				"a path on a replica and nothing on a follower; "+replicaText(i, peer.Replica))
		}
		return
	}
	p.addFault("host", filefault.Quote(string(s.Host)), "the host of one of the peers")
}

func replicaText(i int, replica bool) string {
	return fmt.Sprintf("%s is %t", peerKey(i, "replica"), replica)
}

// checkReplicas requires an odd number of replicas: adding one more raises the quorum
// without tolerating another failure.
func (p *parser) checkReplicas() {
	if len(p.settings.Peers) == 0 {
		return
	}
	replicas := 0
	for _, peer := range p.settings.Peers {
		if peer.Replica {
			replicas++
		}
	}
	if replicas%2 == 0 {
		p.addFault("peer", fmt.Sprintf("%d replicas", replicas), "an odd number of peers with replica = true")
	}
	if replicas == 1 {
		p.settings.Warnings = append(p.settings.Warnings, "there is only one replica: if it is lost, the cluster's state is lost")
	}
}

// checkTLS allows plain connections only if no other machine can intercept them: every
// address that the process listens on or connects to is loopback.
func (p *parser) checkTLS() {
	tls := p.settings.TLS
	files := []struct{ key, path string }{
		{"tls.certificate", tls.Certificate},
		{"tls.key", tls.Key},
		{"tls.authority", tls.Authority},
	}
	for _, f := range files {
		switch {
		case tls.Mode == ModeMutual && f.path == "":
			p.addFault(f.key, "nothing", "the path of a PEM file, since tls.mode is mutual")
		case tls.Mode == ModePlain && f.path != "":
			p.addFault(f.key, filefault.Quote(f.path), "nothing, since tls.mode is plain")
		}
	}
	if tls.Mode != ModePlain {
		return
	}
	for _, a := range append(p.listenAddresses(), p.peerAddresses()...) {
		if a.address.IsValid() && !a.address.Addr().IsLoopback() {
			p.addFault(a.key, a.address.String(), `a loopback address, or tls.mode = "mutual"`)
		}
	}
}
