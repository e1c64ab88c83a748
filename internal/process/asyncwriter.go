package process

import (
	"fmt"
	"io"
	"sync"
)

// asyncWriterCapacity is the number of buffered lines: about four seconds at a gateway's maximum log rate.
const asyncWriterCapacity = 4096

// AsyncWriter writes lines in a separate goroutine.
//
// If the reader of the logs stops reading, writes to a full pipe block, and because of the logger's lock they would block
// every request of the process. AsyncWriter drops lines when its buffer is full and then logs the number of dropped lines.
type AsyncWriter struct {
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int
}

// NewAsyncWriter returns a writer to w; it must be closed with Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncWriterCapacity), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			// A failed write of the log itself cannot be logged.
			_, _ = w.Write(line)
		}
	}()
	return a
}

// Write implements io.Writer. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return len(line), nil
	}
	if a.dropped > 0 && len(a.lines) < cap(a.lines)-1 {
		a.lines <- fmt.Appendf(nil, `{"level":"WARN","msg":"log lines dropped","event":"log_dropped","lines":%d}`+"\n", a.dropped)
		a.dropped = 0
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped++
	}
	return len(line), nil
}

// Close waits until all buffered lines are written or abort is closed. Later writes are discarded.
func (a *AsyncWriter) Close(abort <-chan struct{}) {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-abort:
	}
}
