package inbound

import (
	"bytes"
	"io"
	"net"
	"os"
	"time"
)

// phase is what a connection is doing.
type phase int

const (
	// phaseHead: the next request's head is awaited or being read.
	phaseHead phase = iota
	// phaseServing: a handler works on a request.
	phaseServing
	// phaseBody: a handler reads a request's body, or net/http what the handler has left of it.
	phaseBody
)

const (
	// minRate is the rate, in bytes per second, below which a client counts as standing still: a client that sends a byte now and
	// then does not keep its place.
	minRate = 16 << 10
	// writePortion is the length of the pieces in which a long response is written, so that progress is seen.
	writePortion = 64 << 10
	// bufferBytes is the size of the buffer through which net/http reads a connection. What it has read too far stays there.
	bufferBytes = 4 << 10
	// lingerTime and lingerBytes bound the reading of what a refused client still sends: closing a connection with unread bytes
	// resets it, and the client might not get its answer. maxLingering bounds the connections that linger.
	lingerTime   = 500 * time.Millisecond
	lingerBytes  = 1 << 20
	maxLingering = 16
)

// pastDeadline interrupts a blocked read.
var pastDeadline = time.Unix(1, 0)

// Conn is a connection whose client's use of the process is accounted for. The fields below listener are guarded by the budget's mu.
type Conn struct {
	net.Conn
	listener *Listener

	phase phase
	// held is what the connection makes the process hold, in bytes, beyond connectionBytes.
	held int64
	// progressAt is until when the client has kept up minRate in what it does now.
	progressAt time.Time
	// writing is set while a write waits for the client.
	writing bool
	// yielded is set once the connection has given way to others or was refused.
	yielded bool
	closed  bool

	// headBytes and headLines are those of the head that is being read, headCost is what was charged for it.
	headBytes, headLines int
	headCost             int64
	headEnded            bool
	// contentLength is the length of the request's body, -1 if it is not known. behind counts the bytes after the end of the head, and
	// extraLines the lines among those that net/http may have read beyond the end of the request.
	contentLength int64
	behind        int64
	extraLines    int
}

// standsStill reports whether the connection may give way to others.
func (c *Conn) standsStill(now time.Time) bool {
	still := now.Sub(c.progressAt)
	switch {
	case c.yielded || c.closed:
		return false
	case c.listener.options.Links:
		return still >= linkStall
	case c.writing, c.phase == phaseBody, c.phase == phaseHead && c.headBytes > 0:
		return still >= readStall
	case c.phase == phaseHead:
		return still >= idleStall
	}
	return false
}

// restart begins the measurement of progress anew.
func (c *Conn) restart(now time.Time) { c.progressAt = now }

// progress counts bytes that the client has sent or taken.
func (c *Conn) progress(now time.Time, n int) {
	if c.listener.options.Links {
		c.progressAt = now
		return
	}
	c.progressAt = c.progressAt.Add(time.Duration(n) * time.Second / minRate)
	if c.progressAt.After(now) {
		c.progressAt = now
	}
}

// yield ends the use of a connection. What it holds is free at once; its goroutine ends within milliseconds. The caller holds mu.
func (c *Conn) yield() {
	b := c.listener.budget
	reason := "stalled"
	switch {
	case c.writing:
		reason = "response not read"
	case c.phase == phaseHead && c.headBytes == 0:
		reason = "idle"
	}
	b.noteRefusal(time.Now(), c.listener.options.Name, reason)
	c.giveUp()
	if c.writing || c.listener.options.Links {
		setLinger(c.Conn, resetOnClose)
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// giveUp marks a connection as of no further use. The caller holds mu.
func (c *Conn) giveUp() {
	c.release()
	if !c.yielded {
		c.yielded = true
		c.listener.usable--
	}
}

// release returns what the connection holds. The caller holds mu.
func (c *Conn) release() {
	c.listener.budget.used -= c.held
	c.held, c.headCost = 0, 0
}

// Values of TCPConn.SetLinger. After resetOnClose, closing discards what is not sent yet, and the peer gets a reset.
const (
	resetOnClose = 0
	closeInOrder = -1
)

func setLinger(conn net.Conn, linger int) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(linger)
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	b, limit := c.listener.budget, c.listener.options.headLimit()
	now := time.Now()
	b.mu.Lock()
	inHead := c.phase == phaseHead && !c.listener.options.Links
	if c.yielded {
		sent := inHead && c.headBytes+n > 0
		b.mu.Unlock()
		if sent {
			c.listener.refuse(c.Conn, statusNoRoom)
		}
		return 0, os.ErrDeadlineExceeded
	}
	if n > 0 && inHead && c.headBytes == 0 {
		c.restart(now)
	}
	c.progress(now, n)
	status := ""
	switch {
	case c.listener.options.Links || n == 0:
	case inHead && !c.headEnded:
		status = c.readHead(now, p[:n], limit)
	default:
		c.readBehind(p, p[:n])
	}
	b.mu.Unlock()
	if status != "" {
		c.listener.refuse(c.Conn, status)
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// readHead accounts for bytes of a head; a limit of 0 means none. It returns the status with which the request is to be refused, or
// nothing. The caller holds mu.
func (c *Conn) readHead(now time.Time, p []byte, limit int) (status string) {
	head := p
	if end := headEnd(p); end >= 0 {
		c.headEnded = true
		head = p[:end]
		c.readBehind(p, p[end:])
	}
	c.headBytes += len(head)
	c.headLines += bytes.Count(head, newline)
	b, name := c.listener.budget, c.listener.options.Name
	if limit > 0 && c.headBytes > limit+bufferBytes {
		c.giveUp()
		b.noteRefusal(now, name, "head too long")
		return statusHeadTooLong
	}
	if b.growLocked(now, c, c.headCharge()) != nil {
		c.giveUp()
		b.noteRefusal(now, name, "no room for the head")
		return statusNoRoom
	}
	return ""
}

// headCharge returns what has to be charged for the head beyond what was, and counts it as charged.
func (c *Conn) headCharge() int64 {
	cost := max(0, int64(c.headBytes)*headCopies+int64(c.headLines)*lineBytes-freeHeadBytes)
	by := cost - c.headCost
	c.headCost = cost
	return by
}

// readBehind accounts for bytes after the end of a head, which were read into p.
func (c *Conn) readBehind(p, behind []byte) {
	c.behind += int64(len(behind))
	lines := bytes.Count(behind, newline)
	switch {
	case len(p) == 1:
		// The byte by which net/http notices a client that leaves is kept beside the buffer.
		c.extraLines += lines
	case len(p) <= bufferBytes:
		c.extraLines = lines
	default:
		c.extraLines = 0
	}
}

var newline = []byte("\n")

// headEnd returns the index after the empty line that ends a head, or -1. An empty line that two reads share is not found: what
// follows in the second counts as part of the head.
func headEnd(p []byte) int {
	for _, end := range [][]byte{[]byte("\n\r\n"), []byte("\n\n")} {
		if i := bytes.Index(p, end); i >= 0 {
			return i + len(end)
		}
	}
	return -1
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.setWriting(true)
	defer c.setWriting(false)
	for {
		portion := p[n:min(len(p), n+writePortion)]
		written, err := c.Conn.Write(portion)
		n += written
		if err != nil || n == len(p) {
			return n, err
		}
		c.noteWritten(written)
	}
}

func (c *Conn) setWriting(writing bool) {
	b := c.listener.budget
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	c.writing = writing
	c.restart(now)
}

func (c *Conn) noteWritten(n int) {
	b := c.listener.budget
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	c.progress(now, n)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	b := c.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.yielded {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side; net/http calls it before it closes a connection on which the client may still send.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// beginRequest accounts for a request whose head is read. contentLength is the length of its body, -1 if it is not known. It returns an
// error if the request may not be served.
func (c *Conn) beginRequest(contentLength int64) error {
	b := c.listener.budget
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	c.phase, c.contentLength = phaseServing, contentLength
	c.restart(now)
	// A head that was pipelined whole has not been charged yet.
	err := b.growLocked(now, c, requestBytes+c.headCharge())
	if err != nil {
		b.noteRefusal(now, c.listener.options.Name, "no room for the request")
	}
	return err
}

// handlerDone notes that the handler has returned. net/http may still read the rest of the request, and write that of the response.
func (c *Conn) handlerDone() {
	b := c.listener.budget
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	c.phase = phaseBody
	c.restart(now)
}

// endRequest returns what a request has held, once the connection awaits the next one.
func (c *Conn) endRequest() {
	b := c.listener.budget
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	c.release()
	c.phase = phaseHead
	c.restart(now)
	c.headBytes, c.headLines, c.headEnded = 0, 0, false
	if c.contentLength < 0 || c.behind > c.contentLength {
		// The beginning of the next head may be in the buffer of net/http.
		c.headLines = c.extraLines
	}
	c.behind, c.extraLines = 0, 0
}

// setPhase sets what the handler does with the connection, and reports whether it still may.
func (c *Conn) setPhase(p phase) error {
	b := c.listener.budget
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.yielded {
		return ErrYielded
	}
	c.phase = p
	c.restart(now)
	return nil
}

// The status lines of refusals that are written without net/http, because the head of the request is not whole.
const (
	statusNoRoom      = "503 Service Unavailable"
	statusHeadTooLong = "431 Request Header Fields Too Large"
)

// drain reads what a refused client still sends, so that it can read its answer.
func drain(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, conn, lingerBytes)
}
