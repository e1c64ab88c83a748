package sendonce

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// connections counts the connections of this process.
var connections atomic.Uint64

// countedConn counts the bytes passed to Write and the requests that the connection is used for.
type countedConn struct {
	net.Conn
	number  uint64
	written atomic.Int64
	// free holds one element while no request uses the connection: none was sent yet, or the last response was accepted.
	free chan struct{}

	mu     sync.RWMutex
	closed bool
	// carried is the number of requests that have used the connection.
	carried int64
	// head is that of the response to the request that uses the connection.
	head responseHead
	// awaited is the response to the request that uses the connection; nil once its first bytes have arrived, or if any is taken for it.
	awaited *awaitedResponse
	// skipped is the number of responses to other messages that arrived before it.
	skipped int
	// ready holds bytes that Read has read and not returned.
	ready []byte
}

func newConn(conn net.Conn) *countedConn {
	c := &countedConn{Conn: conn, number: connections.Add(1), free: make(chan struct{}, 1)}
	c.release()
	return c
}

// acquire waits until no other request uses the connection, and returns how many have used it before. ok is false if the connection was
// closed, or ctx is done, before.
func (c *countedConn) acquire(ctx context.Context, awaited *awaitedResponse) (carried int64, ok bool) {
	select {
	case <-c.free:
	case <-ctx.Done():
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		// Others that wait must not wait longer.
		c.release()
		return 0, false
	}
	c.carried++
	c.head, c.awaited, c.skipped = responseHead{}, nil, 0
	if c.carried > 1 && awaited.isOther != nil {
		// On a new connection there are no responses to others.
		c.awaited = awaited
	}
	return c.carried - 1, true
}

// release ends the use of the connection by a request.
func (c *countedConn) release() {
	select {
	case c.free <- struct{}{}:
	default:
	}
}

// Read implements net.Conn. It leaves out responses to other messages that arrive before the awaited one.
func (c *countedConn) Read(p []byte) (int, error) {
	if len(c.ready) == 0 {
		n, err := c.Conn.Read(p)
		awaited := c.takeAwaited(n)
		if awaited == nil || awaited.begins(p[:n]) {
			return c.returned(p, n, err)
		}
		var skipped int
		c.ready, skipped = awaited.find(p[:n], c.Conn)
		c.addSkipped(skipped)
		if len(c.ready) == 0 {
			n, err := c.Conn.Read(p)
			return c.returned(p, n, err)
		}
	}
	n := copy(p, c.ready)
	c.ready = c.ready[n:]
	return c.returned(p, n, nil)
}

// takeAwaited returns the awaited response if n bytes are the first that arrive for the request that uses the connection.
func (c *countedConn) takeAwaited(n int) *awaitedResponse {
	if n == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	awaited := c.awaited
	c.awaited = nil
	return awaited
}

func (c *countedConn) addSkipped(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skipped += n
}

func (c *countedConn) skippedResponses() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.skipped
}

// returned records the bytes that a call of Read returns with an error, and returns its results.
func (c *countedConn) returned(p []byte, n int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.head.add(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// misframed reports whether the framing of the response is not what net/http takes it for.
func (c *countedConn) misframed() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.head.hasTransferEncoding()
}

// Write implements net.Conn. It counts before it writes, because a failed write may have sent some of the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.RLock()
	closed := c.closed
	if !closed {
		c.written.Add(int64(len(p)))
	}
	c.mu.RUnlock()
	if closed {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// closeAfter closes the connection for a request before which it carried a number of others, unless it has carried a later one.
func (c *countedConn) closeAfter(carried int64) {
	c.mu.Lock()
	last := c.carried == carried+1
	c.closed = c.closed || last
	c.mu.Unlock()
	if last {
		_ = c.Close()
	}
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	// A request that waits for the connection finds it closed.
	c.release()
	return c.Conn.Close()
}
