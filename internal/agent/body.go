package agent

import (
	"io"
	"sync"
)

// bodyReader reads a request's body as it arrives in frames. It buffers at most one frame: add blocks until the
// endpoint has read the previous one, so that a slow endpoint applies backpressure to the caller instead of growing the
// agent's memory.
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

// add appends the data of one frame. Data after the end of the body is dropped: the endpoint has read the whole body
// and reads no more, so waiting for space would block the frame reader forever.
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
		return 0, b.endError()
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	if len(b.data) == 0 {
		b.cond.Broadcast()
	}
	return n, nil
}

func (b *bodyReader) endError() error {
	if b.err != nil {
		return b.err
	}
	return io.EOF
}

// Close implements io.Closer. The HTTP client calls it when it reads no more of the body.
func (b *bodyReader) Close() error {
	b.fail(io.ErrClosedPipe)
	return nil
}
