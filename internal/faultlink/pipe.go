package faultlink

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// pipe is one connection through a link.
type pipe struct {
	link   *Link
	client *net.TCPConn
	done   chan struct{}
	once   sync.Once
	// lost says that bytes of the connection are missing; guarded by the link's mu.
	lost bool
}

// run connects to the target and pumps until both directions have ended or one has failed.
func (p *pipe) run() {
	defer p.forget()
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
	var pumps sync.WaitGroup
	pumps.Go(func() { p.pump(ToServer, p.client, server) })
	pumps.Go(func() { p.pump(ToClient, server, p.client) })
	pumps.Wait()
	close(stop)
}

func (p *pipe) forget() {
	_ = p.client.Close()
	p.link.mu.Lock()
	defer p.link.mu.Unlock()
	delete(p.link.pipes, p)
}

// Reset ends the connection on both sides with a reset.
func (p *pipe) reset() {
	p.once.Do(func() {
		close(p.done)
		resetConn(p.client)
	})
}

// resetConn closes a connection so that the peer sees a reset and not an end.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// pumpBytes is the most that is passed on at once.
const pumpBytes = 16 << 10

// pump passes one direction on until it ends. The end is passed on like data; a failure resets the connection.
func (p *pipe) pump(d Direction, from, to *net.TCPConn) {
	buffer := make([]byte, pumpBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.pass(d, to, buffer[:n]) {
			p.reset()
			return
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && p.pass(d, to, nil) && to.CloseWrite() == nil {
			return
		}
		p.reset()
		return
	}
}

// pass brings a piece of data to the other side as the link's faults let it. It reports whether the connection goes on.
// Empty data stands for the end.
func (p *pipe) pass(d Direction, to *net.TCPConn, data []byte) bool {
	for {
		v := p.link.judge(p, d, len(data))
		if v.wait != nil {
			if !p.waitFor(v.wait) {
				return false
			}
			continue
		}
		if v.drop {
			return len(data) > 0 || p.waitFor(nil)
		}
		if !p.sleep(v.slow, v.pass) {
			return false
		}
		if _, err := to.Write(data[:v.pass]); err != nil {
			return false
		}
		return !v.cut
	}
}

// waitFor waits for the channel and reports whether the connection is still open.
func (p *pipe) waitFor(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-p.done:
		return false
	}
}

// sleep takes the time that a slow link needs for n bytes.
func (p *pipe) sleep(s Slowness, n int) bool {
	d := s.Delay
	if s.BytesPerSecond > 0 {
		d += time.Duration(n) * time.Second / time.Duration(s.BytesPerSecond)
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
