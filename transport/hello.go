// Package transport sends messages between the processes of a cluster over TCP.
//
// A connection starts with a handshake in JSON-RPC 2.0. The messages follow as frames, or
// as JSON-RPC notifications if one side does not support frames, which happens during a
// rolling upgrade. Frames contain packed messages if the receiver reads the sender's packed
// format, and JSON otherwise.
//
// Each process sends on the connections that it dialled and receives on those that it
// accepted. Messages may be lost when a connection fails or a peer is slow. The messages of
// one connection arrive in order and at most once.
package transport

import (
	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/model"
)

// The JSON-RPC methods.
const (
	methodHello   = "hello"   // call: the handshake, first on each connection
	methodMessage = "message" // notification
)

// version is the version of the protocol between the processes of a cluster.
const version = 1

// hello is the handshake of the dialling process.
type hello struct {
	Version     int               `json:"version"`
	Cluster     string            `json:"cluster"`
	Host        model.HostID      `json:"host"`
	To          model.HostID      `json:"to"` // the host that the sender intends to reach
	Incarnation model.Incarnation `json:"incarnation"`
	Frames      bool              `json:"frames,omitempty"` // the sender can send frames
}

// helloReply is the reply that accepts a connection.
type helloReply struct {
	Host   model.HostID `json:"host"`
	Frames bool         `json:"frames,omitempty"` // the sender must send frames from now on
	Reads  []string     `json:"reads,omitempty"`  // packed formats accepted in frames besides JSON
}

// check returns an error if the connection must be refused.
func (h hello) check(own Config) error {
	switch {
	case h.Version != version:
		return errors.Errorf("protocol version %d is not supported, this host uses %d", h.Version, version)
	case h.Cluster != own.Cluster:
		return errors.Errorf("the process belongs to cluster %q", h.Cluster)
	case h.To != own.Host:
		return errors.Errorf("the connection is meant for host %q", h.To)
	case own.PeerAddress == nil && own.Peers[h.Host] == "":
		return errors.Errorf("host %q is not in the settings", h.Host)
	}
	return nil
}
