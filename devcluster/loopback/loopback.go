// Package loopback reserves networks of loopback addresses, so that tests that run at the
// same time on one machine share no address.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/juju/errors"
)

const (
	// holderHost and holderPort are the address of a network that its holder listens on.
	holderHost = 254
	holderPort = 16999
	// maxAttempts bounds the networks that are tried.
	maxAttempts = 100
)

// Network is a network of 253 addresses in 127.128.0.0/10 that one process uses. No
// outgoing connection has an address of it unless it is dialled from there.
type Network struct {
	second, third byte
	holder        net.Listener
}

// Reserve returns a network that no other caller of Reserve on the machine uses until it is
// released.
func Reserve() (*Network, error) { return reserve(rand.IntN) }

// reserve chooses networks with intn, which returns a number from 0 to below its argument.
func reserve(intn func(int) int) (*Network, error) {
	var err error
	for range maxAttempts {
		n := &Network{second: byte(128 + intn(64)), third: byte(intn(256))}
		if n.holder, err = net.Listen("tcp", fmt.Sprintf("%s:%d", n.IP(holderHost), holderPort)); err == nil {
			return n, nil
		}
	}
	return nil, errors.Annotate(err, "looking for a free loopback network")
}

// IP returns the address of a host, which is from 1 to 253.
func (n *Network) IP(host int) string { return fmt.Sprintf("127.%d.%d.%d", n.second, n.third, host) }

// Release ends the reservation.
func (n *Network) Release() error { return n.holder.Close() }
