package process

import (
	"fmt"
	"io"
	"sync"
)

// asyncWriterLines is how many lines may wait for a reader: some four seconds of the most that a gateway logs.
const asyncWriterLines = 4096

// AsyncWriter writes lines in a goroutine of its own.
//
// It guards against a reader of the logs that stops: a pipe that is full blocks whoever writes to it, and with the logger's
// lock every request of the process. Lines that find no room are dropped, and the next one that is written says how many.
type AsyncWriter struct {
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int
}

// NewAsyncWriter returns a writer to w; Close ends it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncWriterLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			// There is nobody to tell of a failed write: this is where failures are told.
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

// Close waits until what was taken is written, or until giveUp is closed.
func (a *AsyncWriter) Close(giveUp <-chan struct{}) {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-giveUp:
	}
}
