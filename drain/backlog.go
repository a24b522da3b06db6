package drain

import (
	"net"
	"os"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// acceptBacklog accepts the connections that the kernel holds for the server. It
// does not wait for others. The listener can be closed right after it: the end
// of the listening socket resets connections that were not accepted, and their
// callers cannot tell whether a request on them ran.
func acceptBacklog(l net.Listener) ([]net.Conn, error) {
	system, ok := l.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("listener of type %T has no file descriptor", l)
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return nil, errors.Trace(err)
	}
	var descriptors []int
	err = raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := unix.Accept4(int(fd), unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK)
			if err == unix.EINTR || err == unix.ECONNABORTED {
				continue
			}
			if err != nil {
				return // EAGAIN: none is left
			}
			descriptors = append(descriptors, accepted)
		}
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	conns := make([]net.Conn, 0, len(descriptors))
	for _, fd := range descriptors {
		file := os.NewFile(uintptr(fd), "connection")
		conn, err := net.FileConn(file) // a copy of the descriptor
		file.Close()
		if err == nil {
			conns = append(conns, conn)
		}
	}
	return conns, nil
}
