package logevent

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Sizes and intervals of an AsyncWriter.
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

// AsyncWriter is a buffered, asynchronous writer in front of one that may be slow. Write
// never blocks: lines beyond the capacity are dropped, and a separate line reports how
// many.
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

// NewAsyncWriter returns an AsyncWriter. Close flushes the buffered lines.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	w := &AsyncWriter{out: out, capacity: capacity, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	first := len(w.buffered) == 0
	if len(w.buffered)+len(line) > w.capacity {
		w.dropped++
		droppedLines.Inc()
	} else {
		w.buffered = append(w.buffered, line...)
	}
	full := len(w.buffered) >= flushBytes
	w.mu.Unlock()
	if first || full {
		w.signal()
	}
	return len(line), nil
}

func (w *AsyncWriter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	var spare []byte
	for {
		<-w.wake
		w.awaitFlush()
		w.mu.Lock()
		lines, dropped, closing := w.buffered, w.dropped, w.closing
		w.buffered, w.dropped = spare[:0], 0
		w.mu.Unlock()
		if dropped > 0 {
			lines = append(lines, `{"level":"warn","event":"log_lines_dropped","count":`+strconv.Itoa(dropped)+"}\n"...)
		}
		w.writeLines(lines)
		spare = lines
		if closing {
			return
		}
	}
}

// writeLines writes whole lines in chunks that a pipe accepts atomically.
func (w *AsyncWriter) writeLines(lines []byte) {
	for len(lines) > 0 {
		end := len(lines)
		if end > pipeBufBytes {
			end = bytes.LastIndexByte(lines[:pipeBufBytes], '\n') + 1
		}
		if end == 0 {
			end = len(lines)
		}
		w.out.Write(lines[:end]) // a failure of the log writer can be reported nowhere else
		lines = lines[end:]
	}
}

// awaitFlush waits for flushInterval, so that lines are written in batches. It returns
// at once if flushBytes are buffered or the writer is closing.
func (w *AsyncWriter) awaitFlush() {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for {
		w.mu.Lock()
		now := w.closing || len(w.buffered) >= flushBytes
		w.mu.Unlock()
		if now {
			return
		}
		select {
		case <-w.wake:
		case <-timer.C:
			return
		}
	}
}

// Close flushes the buffered lines and ends the goroutine. Write must not be called
// afterwards.
func (w *AsyncWriter) Close() error {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	w.signal()
	<-w.done
	return nil
}
