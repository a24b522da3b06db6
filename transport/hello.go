// Package transport carries messages between the processes of a cluster over TCP.
// A connection begins with an introduction in JSON-RPC 2.0. The messages follow as
// frames, or as JSON-RPC notifications where one side does not know frames yet, as
// while a cluster is upgraded. Frames hold packed messages if the receiving side reads
// the form that the sending side packs, and JSON otherwise. Each process sends on
// connections that it dialled and receives on connections that it accepted. A message
// may be lost when a connection fails or a peer is slow; messages of one connection
// arrive in order and at most once.
package transport

import (
	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/model"
)

// The JSON-RPC methods.
const (
	methodHello   = "hello"   // call: the first of each connection
	methodMessage = "message" // notification
)

// version is the version of the protocol between processes.
const version = 1

// hello introduces the dialling process.
type hello struct {
	Version     int               `json:"version"`
	Cluster     string            `json:"cluster"`
	Host        model.HostID      `json:"host"`
	To          model.HostID      `json:"to"` // the host that the sender means to reach
	Incarnation model.Incarnation `json:"incarnation"`
	Frames      bool              `json:"frames,omitempty"` // it can send frames
}

// helloReply accepts a connection.
type helloReply struct {
	Host   model.HostID `json:"host"`
	Frames bool         `json:"frames,omitempty"` // frames are expected from now on
	Reads  []string     `json:"reads,omitempty"`  // packed formats that frames may have besides JSON
}

// check reports why a connection is refused, or nil.
func (h hello) check(own Config) error {
	switch {
	case h.Version != version:
		return errors.Errorf("protocol version %d, this host speaks %d", h.Version, version)
	case h.Cluster != own.Cluster:
		return errors.Errorf("a process of cluster %q", h.Cluster)
	case h.To != own.Host:
		return errors.Errorf("a connection meant for host %q", h.To)
	case own.Address == nil && own.Peers[h.Host] == "":
		return errors.Errorf("host %q is not in the settings", h.Host)
	}
	return nil
}
