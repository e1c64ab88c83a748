// Package faultlink is a TCP proxy that injects network faults in tests: it can delay, hold back, drop, cut or reset the
// traffic between two processes, in one direction or both. It is needed on loopback, where the network itself never fails.
package faultlink

import (
	"context"
	"net"
	"sync"
	"time"
)

// Direction is a direction of traffic through a link.
type Direction int

// The directions.
const (
	ToServer Direction = iota
	ToClient
	directions
)

// Flow says what a link does with the bytes of one direction.
type Flow int

const (
	// Pass forwards bytes.
	Pass Flow = iota
	// Hold buffers bytes until the flow changes again, as TCP does when the network recovers from an outage.
	Hold
	// Drop discards bytes. A connection that has lost some is reset when the link is healed.
	Drop
)

// Throttle is the delay and the bandwidth limit that a link applies to each chunk of data; its zero value is full
// speed.
type Throttle struct {
	Delay          time.Duration
	BytesPerSecond int
}

// noCut means that there is no limit after which a connection is cut.
const noCut = -1

// Link proxies TCP connections from its address to a target and applies the faults that are set.
type Link struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	pipes    map[*pipe]struct{}
	flows    [directions]Flow
	throttle Throttle
	// blackhole is set while new connections are accepted but not connected to the target.
	blackhole bool
	// untilCut is how many more bytes of a direction may pass before the connection is cut, or noCut.
	untilCut [directions]int64
	// changed is closed when any of the above changes.
	changed    chan struct{}
	closed     bool
	goroutines sync.WaitGroup
}

// New returns a link that listens on the address; a port of 0 picks a free one.
func New(address, target string) (*Link, error) {
	l := &Link{
		address:  address,
		target:   target,
		pipes:    map[*pipe]struct{}{},
		untilCut: [directions]int64{noCut, noCut},
		changed:  make(chan struct{}),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l, l.listen()
}

// listen opens the listener. The caller holds mu.
func (l *Link) listen() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener = listener
	l.address = listener.Addr().String()
	l.goroutines.Go(func() { l.accept(listener) })
	return nil
}

func (l *Link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.start(conn.(*net.TCPConn))
	}
}

// start begins to proxy a client's connection.
func (l *Link) start(client *net.TCPConn) {
	p := &pipe{link: l, client: client, done: make(chan struct{})}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		_ = client.Close()
		return
	}
	l.pipes[p] = struct{}{}
	l.mu.Unlock()
	l.goroutines.Go(p.run)
}

// update changes the link's faults and wakes the connections that are held back by them.
func (l *Link) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

// Address returns the address on which the link listens.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Block sets what happens to the bytes of one direction.
func (l *Link) Block(d Direction, f Flow) { l.update(func() { l.flows[d] = f }) }

// Freeze applies f to both directions without closing anything, and accepts new connections without connecting them to
// the target.
func (l *Link) Freeze(f Flow) {
	l.update(func() {
		l.flows = [directions]Flow{f, f}
		l.blackhole = true
	})
}

// SetThrottle throttles both directions.
func (l *Link) SetThrottle(t Throttle) { l.update(func() { l.throttle = t }) }

// CutAfter lets n more bytes of a direction pass, counted over all connections, and then resets the connection that carried
// the last of them.
func (l *Link) CutAfter(d Direction, n int64) { l.update(func() { l.untilCut[d] = n }) }

// Cut resets all connections and refuses new ones.
func (l *Link) Cut() {
	l.mu.Lock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	l.mu.Unlock()
	l.Reset()
}

// Reset resets the open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		p.reset()
	}
}

// Heal clears all faults. Connections that have lost bytes, or were never connected to the target, are reset.
func (l *Link) Heal() error {
	l.update(func() {
		l.flows = [directions]Flow{Pass, Pass}
		l.throttle = Throttle{}
		l.blackhole = false
		l.untilCut = [directions]int64{noCut, noCut}
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		if p.bytesLost {
			p.reset()
		}
	}
	if l.listener != nil || l.closed {
		return nil
	}
	return l.listen()
}

// Close closes the link and all its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Cut()
	l.goroutines.Wait()
}

// decision says what happens to a chunk of data.
type decision struct {
	// pass is the number of bytes to forward. drop discards the whole chunk; cut resets the connection after pass bytes.
	pass      int
	drop, cut bool
	throttle  Throttle
	// wait, if not nil, is closed when the link's faults change; the chunk is held until then and decided on again.
	wait <-chan struct{}
}

// decide returns what happens to n bytes that p carries in direction d.
func (l *Link) decide(p *pipe, d Direction, n int) decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.flows[d] {
	case Hold:
		return decision{wait: l.changed}
	case Drop:
		p.bytesLost = true
		return decision{drop: true}
	}
	dec := decision{pass: n, throttle: l.throttle}
	if l.untilCut[d] == noCut {
		return dec
	}
	dec.pass = int(min(int64(n), l.untilCut[d]))
	l.untilCut[d] -= int64(dec.pass)
	dec.cut = l.untilCut[d] == 0
	if dec.cut {
		l.untilCut[d] = noCut
	}
	return dec
}

// dial connects to the target. While the link is a black hole it waits instead until p is reset, and returns false.
func (l *Link) dial(p *pipe) (*net.TCPConn, bool) {
	l.mu.Lock()
	blackhole := l.blackhole
	p.bytesLost = blackhole
	l.mu.Unlock()
	if blackhole {
		<-p.done
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", l.target)
	if err != nil {
		return nil, false
	}
	return conn.(*net.TCPConn), true
}
