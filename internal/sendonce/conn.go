package sendonce

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
)

// connections counts the connections of this process.
var connections atomic.Uint64

// countedConn counts the bytes passed to Write and the requests that the connection is used for.
type countedConn struct {
	net.Conn
	number  uint64
	carried atomic.Int64
	written atomic.Int64

	mu     sync.RWMutex
	closed bool
}

func newConn(conn net.Conn) *countedConn {
	return &countedConn{Conn: conn, number: connections.Add(1)}
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

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

func (s *Sent) holds(c *countedConn) bool { return s != nil && slices.Contains(s.conns, c) }

func (s *Sent) add(c *countedConn) {
	if s != nil {
		s.conns = append(s.conns, c)
	}
}
