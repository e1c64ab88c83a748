package faultlink

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// pipe is one proxied connection.
type pipe struct {
	link   *Link
	client *net.TCPConn
	done   chan struct{}
	once   sync.Once
	// bytesLost is set when bytes of the connection were discarded, or it was never connected to the target. It is guarded
	// by the link's mu.
	bytesLost bool
}

// run connects to the target and copies data until both directions have ended or one has failed.
func (p *pipe) run() {
	defer p.remove()
	server, ok := p.link.dial(p)
	if !ok {
		p.reset()
		return
	}
	stop := make(chan struct{})
	go func() {
		select {
		case <-p.done:
			resetConn(server)
		case <-stop:
			_ = server.Close()
		}
	}()
	var copies sync.WaitGroup
	copies.Go(func() { p.copyDirection(ToServer, p.client, server) })
	copies.Go(func() { p.copyDirection(ToClient, server, p.client) })
	copies.Wait()
	close(stop)
}

func (p *pipe) remove() {
	_ = p.client.Close()
	p.link.mu.Lock()
	defer p.link.mu.Unlock()
	delete(p.link.pipes, p)
}

// reset ends the connection on both sides with a TCP reset.
func (p *pipe) reset() {
	p.once.Do(func() {
		close(p.done)
		resetConn(p.client)
	})
}

// resetConn closes a connection so that the peer gets a TCP reset instead of an end of file.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// copyBufferBytes is the largest chunk that is forwarded at once.
const copyBufferBytes = 16 << 10

// copyDirection copies one direction until it ends. The end of file is subject to the same faults as data; an error resets
// the connection.
func (p *pipe) copyDirection(d Direction, from, to *net.TCPConn) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(d, to, buffer[:n]) {
			p.reset()
			return
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && p.forward(d, to, nil) && to.CloseWrite() == nil {
			return
		}
		p.reset()
		return
	}
}

// forward writes a chunk of data to the other side, subject to the link's faults, and reports whether the connection stays
// open. Empty data stands for the end of file.
func (p *pipe) forward(d Direction, to *net.TCPConn, data []byte) bool {
	for {
		dec := p.link.decide(p, d, len(data))
		if dec.wait != nil {
			if !p.waitFor(dec.wait) {
				return false
			}
			continue
		}
		if dec.drop {
			return len(data) > 0 || p.waitFor(nil)
		}
		if !p.delay(dec.throttle, dec.pass) {
			return false
		}
		if _, err := to.Write(data[:dec.pass]); err != nil {
			return false
		}
		return !dec.cut
	}
}

// waitFor waits until c is closed. It returns false if the connection is reset first; with a nil c it always waits for that.
func (p *pipe) waitFor(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-p.done:
		return false
	}
}

// delay waits for as long as a slow link needs for n bytes. It returns false if the connection is reset first.
func (p *pipe) delay(t Throttle, n int) bool {
	d := t.Delay
	if t.BytesPerSecond > 0 {
		d += time.Duration(n) * time.Second / time.Duration(t.BytesPerSecond)
	}
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.done:
		return false
	}
}
