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

// errBroken is the error of a write to a stream that has ended.
var errBroken = errors.New("joined: stream broken")

const (
	dialTimeout = time.Second
	// leastKeepAlive and mostKeepAlive bound the time until a connection to a frozen or cut-off peer is given up.
	minKeepAliveTimeout = 2 * time.Second
	maxKeepAliveTimeout = 3500 * time.Millisecond
)

// network joins entry hosts with endpoint hosts.
type network struct {
	*sim
	links map[[2]string]*link
	conns []*conn
}

func newNetwork(s *sim) *network { return &network{sim: s, links: map[[2]string]*link{}} }

// link is the way between two hosts. What is sent towards a blocked side waits until the way is free again.
type link struct {
	blocked [2]bool
	waiting [2][]func()
	// freed is when the way was last freed.
	unblockedAt time.Duration
}

func (n *network) link(entry, host string) *link {
	key := [2]string{entry, host}
	if n.links[key] == nil {
		n.links[key] = &link{}
	}
	return n.links[key]
}

// latency is usually short, and at times long enough for one stream to overtake another.
func (n *network) latency() time.Duration {
	if n.oneIn(20) {
		return n.between(time.Millisecond, 80*time.Millisecond)
	}
	return n.between(100*time.Microsecond, 2*time.Millisecond)
}

// block stops or frees the way towards a side.
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

// dial makes a connection; done gets nil when it fails. A frozen process takes it: its kernel does.
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
	// closed is called when the connection has ended at the entry.
	onClose func()
	// troubled is set while the connection does not work and an end does not know; trouble counts how often.
	unhealthy bool
	outages   int
	// planned is set when a planned stop of the agent ended the connection.
	planned bool
}

// works reports whether the connection passes messages and answers.
func (c *conn) healthy() bool {
	for _, p := range c.processes {
		if !p.alive || p.frozen {
			return false
		}
	}
	return c.host.up && c.link.blocked == [2]bool{}
}

// notice starts the ends' patience with connections that stopped working.
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

// watch gives the connection up at one end if it does not work again in time.
func (c *conn) startKeepAliveTimeout(at side) {
	outages := c.outages
	c.processes[at].later(c.between(minKeepAliveTimeout, maxKeepAliveTimeout), func() {
		if c.unhealthy && c.outages == outages {
			c.fail(at)
		}
	})
}

// thawed lets a process that was frozen for long find some of its connections timed out.
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

// exited ends the connections of a process that has ended; its kernel tells the peers.
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

// fail ends the connection at one end, and tells the other one.
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

// reset tells an end that the other one has gone. What is on its way may be lost.
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

// stream is one ordered exchange of messages within a connection. Streams overtake each other.
type stream struct {
	conn  *conn
	ends  [2]streamEnd
	pipes [2]pipe
}

// streamEnd is what an end does with what comes.
type streamEnd struct {
	onMessage func(message any)
	onClose   func()
	closed    bool
}

// pipe is what is on its way towards an end.
type pipe struct{ queue []any }

// endOfStream is sent after the last message of an end that closed its stream.
type endOfStream struct{}

// openStream opens a stream at the entry. The agent takes it up with the first message.
func (c *conn) openStream(onMessage func(any), onClose func()) *stream {
	s := &stream{conn: c}
	s.ends[atEntry] = streamEnd{onMessage: onMessage, onClose: onClose}
	s.ends[atAgent] = streamEnd{}
	s.ends[atAgent].onMessage = func(first any) { c.agent.accept(s, first) }
	c.streams = slices.DeleteFunc(c.streams, func(s *stream) bool { return s.ends[atEntry].closed && s.ends[atAgent].closed })
	c.streams = append(c.streams, s)
	return s
}

// write sends a message from an end.
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

// arrive lets the next message reach an end's process.
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

// lose tells an end that nothing more comes.
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

// close ends the stream at an end, which hears nothing more.
func (s *stream) close(at side) {
	if s.ends[at].closed {
		return
	}
	_ = s.write(at, endOfStream{})
	s.ends[at].closed = true
}
