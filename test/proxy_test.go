package test

import (
	"context"
	"net"
	"sync"
	"time"
)

// direction is a direction of bytes through a link.
type direction int

const (
	toServer direction = iota
	toClient
	directions
)

// flow says what a link does with the bytes of one direction.
type flow int

const (
	// flowPass passes bytes on.
	flowPass flow = iota
	// flowHold keeps bytes back until the flow passes again, as TCP does over a network that comes back.
	flowHold
	// flowVanish loses bytes. A connection that has lost some is cut when the link is healed.
	flowVanish
)

// slowness is how a link slows each piece of data; its zero value is full speed.
type slowness struct {
	delay          time.Duration
	bytesPerSecond int
}

// noCut says that no byte count cuts a connection.
const noCut = -1

// link is one TCP path through the fault proxy: whoever connects to its address reaches the target, as well as the
// link's faults let it.
type link struct {
	name, address, target string

	mu       sync.Mutex
	listener net.Listener
	pipes    map[*pipe]struct{}
	flows    [directions]flow
	slow     slowness
	// mute accepts connections and leaves them alone.
	mute bool
	// left is how many bytes of a direction may pass before the connection is cut, or noCut.
	left [directions]int64
	// changed is closed when any of the above changes.
	changed chan struct{}
	closed  bool
	pumps   sync.WaitGroup
}

// newLink listens on the address, which may end in ":0".
func newLink(name, address, target string) (*link, error) {
	l := &link{
		name:    name,
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
func (l *link) listen() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener = listener
	l.address = listener.Addr().String()
	l.pumps.Go(func() { l.accept(listener) })
	return nil
}

func (l *link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.start(conn.(*net.TCPConn))
	}
}

// start takes a client's connection up.
func (l *link) start(client *net.TCPConn) {
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
func (l *link) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

// block sets what happens to the bytes of one direction.
func (l *link) block(d direction, f flow) { l.update(func() { l.flows[d] = f }) }

// freeze silences the link both ways without closing anything: new connections are accepted and never answered.
func (l *link) freeze(f flow) {
	l.update(func() {
		l.flows = [directions]flow{f, f}
		l.mute = true
	})
}

// setSlow slows both directions.
func (l *link) setSlow(s slowness) { l.update(func() { l.slow = s }) }

// cutAfter lets n more bytes of a direction pass, over all connections, and cuts the connection that reaches them.
func (l *link) cutAfter(d direction, n int64) { l.update(func() { l.left[d] = n }) }

// cut resets all connections and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	l.mu.Unlock()
	l.reset()
}

// reset resets the present connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		p.reset()
	}
}

// heal ends all faults. Connections that have lost bytes, or were never connected to the target, are reset.
func (l *link) heal() error {
	l.update(func() {
		l.flows = [directions]flow{flowPass, flowPass}
		l.slow = slowness{}
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

// close ends the link.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cut()
	l.pumps.Wait()
}

// verdict is what becomes of a piece of data.
type verdict struct {
	// pass bytes go on; drop loses the rest; cut ends the connection after them.
	pass      int
	drop, cut bool
	slow      slowness
	// wait, if not nil, is closed when the question should be asked again; nothing passes before.
	wait <-chan struct{}
}

// judge decides on n bytes of a direction of a pipe.
func (l *link) judge(p *pipe, d direction, n int) verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.flows[d] {
	case flowHold:
		return verdict{wait: l.changed}
	case flowVanish:
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
func (l *link) dial(p *pipe) (*net.TCPConn, bool) {
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
