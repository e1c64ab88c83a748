package process

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// asyncWriterCapacity is the number of buffered lines: about four seconds at a gateway's maximum log rate.
	asyncWriterCapacity = 4096
	// asyncWriterBytes bounds them in bytes: a line may hold what a client has sent. That is room for as many lines of the usual
	// 400 bytes.
	asyncWriterBytes = 2 << 20
)

// AsyncWriter writes lines in a separate goroutine.
//
// If the reader of the logs stops reading, writes to a full pipe block, and because of the logger's lock they would block
// every request of the process. AsyncWriter drops lines when its buffer is full and then logs the number of dropped lines.
type AsyncWriter struct {
	lines chan []byte
	done  chan struct{}
	// buffered is the length of the lines.
	buffered atomic.Int64

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
			a.buffered.Add(-int64(len(line)))
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
	fits := a.buffered.Load()+int64(len(line)) <= asyncWriterBytes
	if a.dropped > 0 && fits && len(a.lines) < cap(a.lines)-1 {
		a.push(fmt.Appendf(nil, `{"level":"WARN","msg":"log lines dropped","event":"log_dropped","lines":%d}`+"\n", a.dropped))
		a.dropped = 0
	}
	if !fits || !a.push(append([]byte(nil), line...)) {
		a.dropped++
	}
	return len(line), nil
}

// push buffers a line unless there are too many. The caller holds mu.
func (a *AsyncWriter) push(line []byte) bool {
	a.buffered.Add(int64(len(line)))
	select {
	case a.lines <- line:
		return true
	default:
		a.buffered.Add(-int64(len(line)))
		return false
	}
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
