package devcluster

import (
	"bytes"
	"sync"
)

// safeBuffer collects the log lines of several daemons.
type safeBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *safeBuffer) contains(s string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.text.Bytes(), []byte(s))
}
