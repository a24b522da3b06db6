package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/socket"
)

// The settings of connections to targets.
const (
	dialTimeout = time.Second
	// userTimeout ends a connection whose bytes are not acknowledged in time, so that
	// no request reaches a target long after it was sent.
	userTimeout = 2 * time.Second
	// idleTimeout is shorter than the usual keep-alive timeout of servers, so that a
	// target rarely closes a connection while a request is being written.
	idleTimeout = 20 * time.Second
	// maxAnswerHeader bounds the memory for the header of one answer, in bytes.
	maxAnswerHeader = 64 << 10
)

const (
	errNotAllowed = errors.ConstError("the attempt may no longer start")
	errNoAttempt  = errors.ConstError("write without an attempt")
	errPeerClosed = errors.ConstError("the target has closed the connection")
)

// newTransport returns the transport for all targets. It uses HTTP/1.1 and never
// retries a request: requests carry neither GetBody nor an idempotency header.
func newTransport(idlePerTarget int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: socket.UserTimeout(userTimeout)}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newGuardedConn(conn)
		},
		MaxIdleConnsPerHost:    idlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		DisableCompression:     true,
	}
}
