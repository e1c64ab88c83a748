package joined

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// side is an end of a connection.
type side int

const (
	atEntry side = iota
	atAgent
)

func (s side) other() side { return 1 - s }

// errBroken is returned by a write to a closed stream.
var errBroken = errors.New("joined: write to a closed stream")

const (
	dialTimeout = time.Second
	// minKeepAliveTimeout and maxKeepAliveTimeout bound the time after which a connection to an unresponsive peer is
	// closed.
	minKeepAliveTimeout = 2 * time.Second
	maxKeepAliveTimeout = 3500 * time.Millisecond
)

// network connects entry hosts with endpoint hosts.
type network struct {
	*sim
	links map[[2]string]*link
	conns []*conn
}

func newNetwork(s *sim) *network { return &network{sim: s, links: map[[2]string]*link{}} }

// link is the network path between two hosts. Messages towards a blocked side wait until it is unblocked.
type link struct {
	blocked [2]bool
	waiting [2][]func()
	// unblockedAt is the time at which the link was last unblocked.
	unblockedAt time.Duration
}

func (n *network) link(entry, host string) *link {
	key := [2]string{entry, host}
	if n.links[key] == nil {
		n.links[key] = &link{}
	}
	return n.links[key]
}

// latency returns a random latency. It is usually short, but sometimes long enough for one stream to overtake another.
func (n *network) latency() time.Duration {
	if n.oneIn(20) {
		return n.between(time.Millisecond, 80*time.Millisecond)
	}
	return n.between(100*time.Microsecond, 2*time.Millisecond)
}

// block blocks or unblocks the link towards a side.
func (n *network) block(l *link, to side, blocked bool) {
	l.blocked[to] = blocked
	if !blocked {
		l.unblockedAt = n.elapsed
		parked := l.waiting[to]
		l.waiting[to] = nil
		for _, run := range parked {
			n.after(n.latency(), run)
		}
	}
	n.checkConns()
}

// dial opens a connection and calls done with it, or with nil if that fails. A connection to a frozen process succeeds,
// because the kernel accepts it.
func (n *network) dial(from *process, l *link, to *host, done func(*conn)) {
	fail := func(d time.Duration) { from.later(d, func() { done(nil) }) }
	switch {
	case l.blocked != [2]bool{} || !to.up:
		fail(dialTimeout)
		return
	case !to.listening():
		fail(n.latency())
		return
	}
	c := &conn{network: n, link: l, host: to, processes: [2]*process{from, to.agent.process}, agent: to.agent, open: [2]bool{true, true}}
	n.conns = append(n.conns, c)
	from.later(n.latency(), func() {
		if !c.open[atEntry] {
			done(nil)
			return
		}
		done(c)
	})
	n.checkConns()
}

// conn is one connection between an entry and an agent, with its streams.
type conn struct {
	*network
	link      *link
	host      *host
	processes [2]*process
	agent     *agent
	open      [2]bool
	streams   []*stream
	// onClose is called when the connection is closed at the entry.
	onClose func()
	// unhealthy is set while the connection passes no messages but is not closed yet; outages counts the changes of that.
	unhealthy bool
	outages   int
	// planned is set if the connection was closed by a planned stop of the agent.
	planned bool
}

// healthy reports whether the connection passes messages in both directions and both processes respond.
func (c *conn) healthy() bool {
	for _, p := range c.processes {
		if !p.alive || p.frozen {
			return false
		}
	}
	return c.host.up && c.link.blocked == [2]bool{}
}

// checkConns starts the keep-alive timeouts of connections that became unhealthy.
func (n *network) checkConns() {
	n.conns = slices.DeleteFunc(n.conns, func(c *conn) bool { return c.open == [2]bool{} })
	for _, c := range n.conns {
		if unhealthy := !c.healthy(); unhealthy != c.unhealthy {
			c.unhealthy = unhealthy
			c.outages++
			if unhealthy {
				c.startKeepAliveTimeout(atEntry)
				c.startKeepAliveTimeout(atAgent)
			}
		}
	}
}

// startKeepAliveTimeout closes the connection at one end if it does not become healthy in time.
func (c *conn) startKeepAliveTimeout(at side) {
	outages := c.outages
	c.processes[at].later(c.between(minKeepAliveTimeout, maxKeepAliveTimeout), func() {
		if c.unhealthy && c.outages == outages {
			c.fail(at)
		}
	})
}

// handleThaw times out some of the connections of a process that was frozen for longer than the keep-alive timeout.
func (n *network) handleThaw(p *process, frozen time.Duration) {
	for _, c := range n.conns {
		for _, at := range []side{atEntry, atAgent} {
			if c.processes[at] == p && frozen > minKeepAliveTimeout && n.oneIn(2) {
				p.soon(func() { c.fail(at) })
			}
		}
	}
	n.checkConns()
}

// closeProcessConns closes the connections of an ended process; its kernel resets them at the peers.
func (n *network) closeProcessConns(p *process, planned bool) {
	for _, c := range n.conns {
		for _, at := range []side{atEntry, atAgent} {
			if c.processes[at] == p && c.open[at] {
				c.open[at] = false
				c.planned = planned && c.outages == 0
				c.reset(at.other())
			}
		}
	}
	n.checkConns()
}

// fail closes the connection at one end and resets it at the other.
func (c *conn) fail(at side) {
	if !c.open[at] {
		return
	}
	c.open[at] = false
	for _, s := range c.streams {
		s.pipes[at].queue = nil
		s.closeEnd(at)
	}
	if at == atEntry && c.onClose != nil {
		c.onClose()
	}
	c.reset(at.other())
	c.checkConns()
}

// reset closes the connection at an end after a latency. Messages in transit may be lost.
func (c *conn) reset(at side) {
	if !c.open[at] || !c.host.up {
		return
	}
	c.after(c.latency(), func() {
		if c.link.blocked[at] {
			c.link.waiting[at] = append(c.link.waiting[at], func() { c.reset(at) })
			return
		}
		p := c.processes[at]
		p.do(p.generation, func() { c.fail(at) })
	})
}

// stream is an ordered bidirectional message stream within a connection. Different streams are not ordered with each other.
type stream struct {
	conn  *conn
	ends  [2]streamEnd
	pipes [2]pipe
}

// streamEnd holds the callbacks of one end of a stream.
type streamEnd struct {
	onMessage func(message any)
	onClose   func()
	closed    bool
}

// pipe holds the messages in transit towards an end.
type pipe struct{ queue []any }

// endOfStream is sent after the last message when an end closes the stream.
type endOfStream struct{}

// openStream opens a stream at the entry. The agent accepts it when the first message arrives.
func (c *conn) openStream(onMessage func(any), onClose func()) *stream {
	s := &stream{conn: c}
	s.ends[atEntry] = streamEnd{onMessage: onMessage, onClose: onClose}
	s.ends[atAgent] = streamEnd{}
	s.ends[atAgent].onMessage = func(first any) { c.agent.accept(s, first) }
	c.streams = slices.DeleteFunc(c.streams, func(s *stream) bool { return s.ends[atEntry].closed && s.ends[atAgent].closed })
	c.streams = append(c.streams, s)
	return s
}

// write sends a message from one end to the other.
func (s *stream) write(from side, message any) error {
	c := s.conn
	if !c.open[from] || s.ends[from].closed {
		return errBroken
	}
	to := from.other()
	s.pipes[to].queue = append(s.pipes[to].queue, message)
	c.after(c.latency(), func() { s.arrive(to) })
	return nil
}

// arrive passes the next message to the process at an end.
func (s *stream) arrive(to side) {
	c := s.conn
	if !c.open[to] {
		return
	}
	if c.link.blocked[to] {
		c.link.waiting[to] = append(c.link.waiting[to], func() { s.arrive(to) })
		return
	}
	p := c.processes[to]
	p.do(p.generation, func() { s.deliver(to) })
}

func (s *stream) deliver(to side) {
	queue := s.pipes[to].queue
	if len(queue) == 0 || s.ends[to].closed || !s.conn.open[to] {
		return
	}
	message := queue[0]
	s.pipes[to].queue = queue[1:]
	if _, ended := message.(endOfStream); ended {
		s.closeEnd(to)
		return
	}
	s.ends[to].onMessage(message)
}

// closeEnd marks an end as closed and notifies it.
func (s *stream) closeEnd(at side) {
	end := &s.ends[at]
	if end.closed {
		return
	}
	end.closed = true
	if end.onClose != nil {
		end.onClose()
	}
}

// close closes the stream at an end, which gets no further messages and no notification.
func (s *stream) close(at side) {
	if s.ends[at].closed {
		return
	}
	_ = s.write(at, endOfStream{})
	s.ends[at].closed = true
}
