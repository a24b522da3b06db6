package client

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an operator who waits for minutes because every host accepts the
// connection and none answers, and against reporting such a change as not made.
func TestChangeEndsWithoutAnyAnswer(t *testing.T) {
	var addresses []string
	for range 9 {
		l, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections; nothing answers
		require.NoError(t, err)
		t.Cleanup(func() { l.Close() })
		addresses = append(addresses, l.Addr().String())
	}
	c := New(addresses, nil)
	c.timeout = 200 * time.Millisecond
	began := time.Now()
	err := c.WithdrawKey(context.Background(), "night-shift")
	assert.Less(t, time.Since(began), requestTimeout)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	assert.True(t, MayBeApplied(err), "the first host may have made the change")
}
