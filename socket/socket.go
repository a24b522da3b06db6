// Package socket sets options of TCP connections that limit how long the loss of a
// peer goes undetected.
package socket

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for net.Dialer and net.ListenConfig. A
// connection ends when what was written to it is not acknowledged within d.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/time.Millisecond))
		})
		if err != nil {
			return errors.Trace(err)
		}
		return errors.Annotate(failed, "set TCP_USER_TIMEOUT")
	}
}

// KeepAlive returns a keep-alive configuration that ends a connection whose peer has
// been silent for about d.
func KeepAlive(d time.Duration) net.KeepAliveConfig {
	const probes = 3 // the loss of one or two is tolerated
	return net.KeepAliveConfig{Enable: true, Idle: d / 2, Interval: d / (2 * probes), Count: probes}
}
