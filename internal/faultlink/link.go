// Package faultlink is a TCP path between two processes that a test can delay, cut, reset, or silence in one direction or
// both. It stands between processes on loopback, where the network itself never fails.
package faultlink

import (
	"context"
	"net"
	"sync"
	"time"
)

// Direction is a direction of bytes through a link.
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
	// Pass passes bytes on.
	Pass Flow = iota
	// Hold keeps bytes back until the flow passes again, as TCP does over a network that comes back.
	Hold
	// Vanish loses bytes. A connection that has lost some is cut when the link is healed.
	Vanish
)

// Slowness is how a link slows each piece of data; its zero value is full speed.
type Slowness struct {
	Delay          time.Duration
	BytesPerSecond int
}

// noCut says that no byte count cuts a connection.
const noCut = -1

// Link is one TCP path through the fault proxy: whoever connects to its address reaches the target, as well as the
// link's faults let it.
type Link struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	pipes    map[*pipe]struct{}
	flows    [directions]Flow
	slow     Slowness
	// mute accepts connections and leaves them alone.
	mute bool
	// left is how many bytes of a direction may pass before the connection is cut, or noCut.
	left [directions]int64
	// changed is closed when any of the above changes.
	changed chan struct{}
	closed  bool
	pumps   sync.WaitGroup
}

// New returns a link that listens on the address, which may end in ":0".
func New(address, target string) (*Link, error) {
	l := &Link{
		address: address,
		target:  target,
		pipes:   map[*pipe]struct{}{},
		left:    [directions]int64{noCut, noCut},
		changed: make(chan struct{}),
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
	l.pumps.Go(func() { l.accept(listener) })
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

// start takes a client's connection up.
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
	l.pumps.Go(p.run)
}

// update changes the link's faults and wakes what waits for them.
func (l *Link) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

// Address is where the link listens.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Block sets what happens to the bytes of one direction.
func (l *Link) Block(d Direction, f Flow) { l.update(func() { l.flows[d] = f }) }

// Freeze silences the link both ways without closing anything: new connections are accepted and never answered.
func (l *Link) Freeze(f Flow) {
	l.update(func() {
		l.flows = [directions]Flow{f, f}
		l.mute = true
	})
}

// SetSlow slows both directions.
func (l *Link) SetSlow(s Slowness) { l.update(func() { l.slow = s }) }

// CutAfter lets n more bytes of a direction pass, over all connections, and cuts the connection that reaches them.
func (l *Link) CutAfter(d Direction, n int64) { l.update(func() { l.left[d] = n }) }

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

// Reset resets the present connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		p.reset()
	}
}

// Heal ends all faults. Connections that have lost bytes, or were never connected to the target, are reset.
func (l *Link) Heal() error {
	l.update(func() {
		l.flows = [directions]Flow{Pass, Pass}
		l.slow = Slowness{}
		l.mute = false
		l.left = [directions]int64{noCut, noCut}
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		if p.lost {
			p.reset()
		}
	}
	if l.listener != nil || l.closed {
		return nil
	}
	return l.listen()
}

// Close ends the link.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Cut()
	l.pumps.Wait()
}

// verdict is what becomes of a piece of data.
type verdict struct {
	// pass bytes go on; drop loses the rest; cut ends the connection after them.
	pass      int
	drop, cut bool
	slow      Slowness
	// wait, if not nil, is closed when the question should be asked again; nothing passes before.
	wait <-chan struct{}
}

// judge decides on n bytes of a direction of a pipe.
func (l *Link) judge(p *pipe, d Direction, n int) verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.flows[d] {
	case Hold:
		return verdict{wait: l.changed}
	case Vanish:
		p.lost = true
		return verdict{drop: true}
	}
	v := verdict{pass: n, slow: l.slow}
	if l.left[d] == noCut {
		return v
	}
	v.pass = int(min(int64(n), l.left[d]))
	l.left[d] -= int64(v.pass)
	v.cut = l.left[d] == 0
	if v.cut {
		l.left[d] = noCut
	}
	return v
}

// dial connects to the target unless the link is mute; then it waits until it no longer is, and gives up.
func (l *Link) dial(p *pipe) (*net.TCPConn, bool) {
	l.mu.Lock()
	mute := l.mute
	p.lost = mute
	l.mu.Unlock()
	if mute {
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
