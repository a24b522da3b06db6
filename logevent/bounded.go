package logevent

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Sizes and intervals of a Bounded writer.
const (
	// flushInterval is the longest time that a line is buffered before it is written.
	flushInterval = 100 * time.Millisecond
	// flushBytes is the number of buffered bytes that triggers a write before the
	// interval is over.
	flushBytes = 16 << 10
	// pipeBufBytes is PIPE_BUF of Linux: a write of up to this size to a pipe is
	// atomic, so that lines of several writers do not mix.
	pipeBufBytes = 4 << 10
)

var droppedLines = metrics.NewCounter("primrosedale_log_lines_dropped_total")

// Bounded is a buffered, asynchronous writer in front of one that may be slow. Write
// never blocks: lines beyond the capacity are dropped, and a line of its own reports
// how many.
type AsyncWriter struct {
	out      io.Writer
	capacity int // largest size of buffered, in bytes

	mu       sync.Mutex
	buffered []byte
	dropped  int
	wake     chan struct{}
	closing  bool
	done     chan struct{}
}

// NewBounded returns a Bounded writer. Close flushes the buffered lines.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	b := &AsyncWriter{out: out, capacity: capacity, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. It never fails.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	first := len(b.buffered) == 0
	if len(b.buffered)+len(line) > b.capacity {
		b.dropped++
		droppedLines.Inc()
	} else {
		b.buffered = append(b.buffered, line...)
	}
	full := len(b.buffered) >= flushBytes
	b.mu.Unlock()
	if first || full {
		b.signal()
	}
	return len(line), nil
}

func (b *AsyncWriter) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *AsyncWriter) run() {
	defer close(b.done)
	var spare []byte
	for {
		<-b.wake
		b.awaitFlush()
		b.mu.Lock()
		lines, dropped, closing := b.buffered, b.dropped, b.closing
		b.buffered, b.dropped = spare[:0], 0
		b.mu.Unlock()
		if dropped > 0 {
			lines = append(lines, `{"level":"warn","event":"log_lines_dropped","count":`+strconv.Itoa(dropped)+"}\n"...)
		}
		b.writeLines(lines)
		spare = lines
		if closing {
			return
		}
	}
}

// writeLines writes whole lines in chunks that a pipe accepts atomically.
func (b *AsyncWriter) writeLines(lines []byte) {
	for len(lines) > 0 {
		end := len(lines)
		if end > pipeBufBytes {
			end = bytes.LastIndexByte(lines[:pipeBufBytes], '\n') + 1
		}
		if end == 0 {
			end = len(lines)
		}
		b.out.Write(lines[:end]) // a failure of the log writer can be reported nowhere else
		lines = lines[end:]
	}
}

// awaitFlush waits for flushInterval, so that lines are written in batches. It returns
// at once if flushBytes are buffered or the writer is closing.
func (b *AsyncWriter) awaitFlush() {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for {
		b.mu.Lock()
		now := b.closing || len(b.buffered) >= flushBytes
		b.mu.Unlock()
		if now {
			return
		}
		select {
		case <-b.wake:
		case <-timer.C:
			return
		}
	}
}

// Close flushes the buffered lines and ends the goroutine. Write must not be called
// afterwards.
func (b *AsyncWriter) Close() error {
	b.mu.Lock()
	b.closing = true
	b.mu.Unlock()
	b.signal()
	<-b.done
	return nil
}
