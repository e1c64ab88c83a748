package agent

import (
	"io"
	"sync"
)

// bodyReader is the request's body as it arrives in frames. It holds at most one frame: add blocks until the endpoint has
// taken the one before, so that a slow endpoint slows the caller and not the agent's memory grows.
type bodyReader struct {
	mu   sync.Mutex
	cond *sync.Cond
	data []byte
	done bool
	err  error
}

func newBodyReader(first []byte, done bool) *bodyReader {
	b := &bodyReader{data: first, done: done}
	b.cond = sync.NewCond(&b.mu)
	return b
}

// add hands on one frame's data. What comes after the end is dropped: it is no part of the body, and waiting for room that
// an endpoint with its whole body never makes would hold the reader of the frames for ever.
func (b *bodyReader) add(data []byte, done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return
	}
	for len(b.data) > 0 && b.err == nil {
		b.cond.Wait()
	}
	b.data = data
	b.done = done
	b.cond.Broadcast()
}

// fail ends the body with an error, unless it is complete.
func (b *bodyReader) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.done && b.err == nil {
		b.err = err
	}
	b.cond.Broadcast()
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.data) == 0 && !b.done && b.err == nil {
		b.cond.Wait()
	}
	if len(b.data) == 0 {
		return 0, b.end()
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	if len(b.data) == 0 {
		b.cond.Broadcast()
	}
	return n, nil
}

func (b *bodyReader) end() error {
	if b.err != nil {
		return b.err
	}
	return io.EOF
}

// Close implements io.Closer: the endpoint's client wants no more of the body.
func (b *bodyReader) Close() error {
	b.fail(io.ErrClosedPipe)
	return nil
}
