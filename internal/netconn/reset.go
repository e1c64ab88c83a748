package netconn

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// DialFunc makes a connection, as the DialContext field of http.Transport does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// ErrReset is wrapped by the errors of reads that the peer did not end in good order.
var ErrReset = errors.New("netconn: the connection failed while it was written to")

// ReportResets returns a dial function that makes TCP connections whose reads fail if the connection was reset, or timed out, before
// the peer closed it.
//
// The kernel returns the error of a connection to one call only, the first one that meets it. If that is a write, the next read gets
// an end of file, as if the peer had closed the connection, and a response that ends with its connection looks whole.
func ReportResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		raw, err := tcp.SyscallConn()
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		return &resetConn{Conn: conn, raw: raw}, nil
	}
}

// resetConn is a connection whose reads report the error that a write has met.
type resetConn struct {
	net.Conn
	raw syscall.RawConn

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the first error that the kernel returned to a write; 0 if there was none.
	writeErr syscall.Errno
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == 0 {
		errors.As(err, &c.writeErr)
	}
	return n, err
}

// Read implements net.Conn. Where the connection failed instead of being closed by the peer, it returns an error that wraps ErrReset in
// place of io.EOF.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && !c.open() {
		err = c.endError()
	}
	return n, err
}

// open reports whether the connection still exists. At the end of what can be read, it does so only if the peer has closed its side.
func (c *resetConn) open() bool {
	open := false
	// Control fails if the connection was closed on this side.
	_ = c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State != unix.BPF_TCP_CLOSE
	})
	return open
}

// endError returns the error of a read at the end of a connection that no longer exists. A write in progress ends at once, so it can be
// waited for.
func (c *resetConn) endError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	switch c.writeErr {
	case 0, unix.EPIPE:
		// The first error is EPIPE if the peer had closed its side before it reset the connection.
		return io.EOF
	}
	return errors.Wrap(ErrReset, c.writeErr.Error())
}
