package drain

import (
	"net"
	"os"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// takeBacklog accepts the connections in the kernel's accept queue, without waiting
// for others, and shuts the listening socket down. The shutdown resets connections
// that were not accepted, and their callers cannot tell whether a request on them ran;
// so it follows immediately. A connection that is established in the microsecond
// between is still reset: the kernel has no call that only stops new connections.
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
	var shutdownErr error
	err = raw.Control(func(fd uintptr) {
		descriptors = acceptAll(int(fd))
		shutdownErr = unix.Shutdown(int(fd), unix.SHUT_RD)
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if shutdownErr != nil {
		return nil, errors.Annotate(shutdownErr, "shutting down the listening socket")
	}
	return connections(descriptors)
}

// connections returns a connection for each descriptor. If it also returns an error,
// some of them are missing.
func connections(descriptors []int) ([]net.Conn, error) {
	conns := make([]net.Conn, 0, len(descriptors))
	var failed error
	for _, fd := range descriptors {
		file := os.NewFile(uintptr(fd), "connection")
		conn, err := net.FileConn(file) // duplicates the descriptor
		file.Close()
		if err != nil {
			failed = errors.Annotate(err, "wrapping a connection from the accept queue")
			continue
		}
		conns = append(conns, conn)
	}
	return conns, failed
}

// acceptAll accepts connections until the accept queue is empty.
func acceptAll(fd int) []int {
	var descriptors []int
	for {
		accepted, _, err := unix.Accept4(fd, unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK)
		if err == unix.EINTR || err == unix.ECONNABORTED {
			continue
		}
		if err != nil {
			return descriptors // EAGAIN: the queue is empty
		}
		descriptors = append(descriptors, accepted)
	}
}
