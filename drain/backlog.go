package drain

import (
	"net"
	"os"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// takeBacklog accepts the connections that the kernel holds for the server, without
// waiting for others, and ends the queue. The end resets connections that were not
// accepted, and their callers cannot tell whether a request on them ran; so it follows
// at once. What connects in the microsecond between is still reset: the kernel has no
// call that ends only the making of connections.
func takeBacklog(l net.Listener) ([]net.Conn, error) {
	system, ok := l.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("listener of type %T has no file descriptor", l)
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return nil, errors.Trace(err)
	}
	var descriptors []int
	var ended error
	err = raw.Control(func(fd uintptr) {
		descriptors = acceptAll(int(fd))
		ended = unix.Shutdown(int(fd), unix.SHUT_RD)
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if ended != nil {
		return nil, errors.Annotate(ended, "ending the queue of the listening socket")
	}
	return connections(descriptors)
}

// connections returns the connections of descriptors. With an error, some of them are
// missing.
func connections(descriptors []int) ([]net.Conn, error) {
	conns := make([]net.Conn, 0, len(descriptors))
	var failed error
	for _, fd := range descriptors {
		file := os.NewFile(uintptr(fd), "connection")
		conn, err := net.FileConn(file) // a copy of the descriptor
		file.Close()
		if err != nil {
			failed = errors.Annotate(err, "a connection that was not accepted yet")
			continue
		}
		conns = append(conns, conn)
	}
	return conns, failed
}

// acceptAll accepts connections until none waits.
func acceptAll(fd int) []int {
	var descriptors []int
	for {
		accepted, _, err := unix.Accept4(fd, unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK)
		if err == unix.EINTR || err == unix.ECONNABORTED {
			continue
		}
		if err != nil {
			return descriptors // EAGAIN: none is left
		}
		descriptors = append(descriptors, accepted)
	}
}
