// Package inbound bounds what the clients and peers of a process can make it hold, as sums over all of them: connections, request
// heads and bodies, requests in flight and responses that are not read. When a bound is reached, clients that stand still give way to
// the others, and what finds no room is refused as not run before it has been read to its end.
package inbound

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrNoRoom reports that what a client sends does not fit beside what others have sent.
	ErrNoRoom = errors.New("inbound: no room for the request beside those of others")
	// ErrYielded reports that a client stood still while others needed the room that it took.
	ErrYielded = errors.New("inbound: the client stood still and gave way to others")
	// ErrTooLong reports a body over its limit.
	ErrTooLong = errors.New("inbound: the body is longer than its limit")
)

const (
	// connectionBytes is the memory of an open connection: its goroutine's stack, the two buffers of net/http, and its socket.
	connectionBytes = 32 << 10
	// requestBytes is the memory of a request in flight beyond its head and body: the connection to its endpoint with two
	// goroutines and two buffers, and the buffer of its response.
	requestBytes = 32 << 10
	// headCopies is how often the bytes of a head are in memory: as the fields of the request, as its decoded path and query, and
	// as those of the request that is sent on.
	headCopies = 3
	// lineBytes is the memory of one header line in the parsed form of a head and the copy that is sent on, beyond the line's own
	// length: an entry in each map, and the slices of values.
	lineBytes = 256
	// freeHeadBytes is the cost of a head that is part of connectionBytes; an ordinary head has a dozen lines.
	freeHeadBytes = 8 << 10
	// smallBytes bounds what one client holds for it to count as small.
	smallBytes = 64 << 10

	// connectionShare and contentShare are the parts of the process's memory that connections, and all else that clients make it
	// hold, may take. The rest is for the process itself and for garbage that has not been collected yet.
	connectionShare = 1.0 / 8
	contentShare    = 1.0 / 4
	// largeShare is the part of the contents that clients may take who each hold more than smallBytes. The rest is kept for small
	// requests.
	largeShare = 3.0 / 4

	// serviceShare is the part of the clients' connections whose requests may go to one service: the others must be served while all
	// requests to one wait.
	serviceShare = 3.0 / 4

	// clientSockets, idleSockets, linkSockets and auxiliarySockets are the parts of the process's sockets for connections of clients,
	// for idle ones to endpoints, for links of peers, and for each listener of readiness, metrics or operators. A request in flight
	// uses a client's connection and one to an endpoint; a tenth remains for the store and the process's own links.
	clientSockets    = 11.0 / 32
	idleSockets      = 1.0 / 16
	linkSockets      = 1.0 / 8
	auxiliarySockets = 1.0 / 64
	// agentSockets is the part for links of an agent, which has no clients.
	agentSockets = 1.0 / 2
	// minAuxiliary is the least number of connections of a listener.
	minAuxiliary = 8
)

// Resources are the limits of the host for a process.
type Resources struct {
	// Memory is in bytes.
	Memory int64
	// Sockets is the number of descriptors that sockets may use.
	Sockets int
}

// ClientConnections returns how many connections clients may have open.
func (r Resources) ClientConnections() int {
	return max(1, min(int(float64(r.Sockets)*clientSockets), int(float64(r.Memory)*connectionShare/connectionBytes)))
}

// RequestsPerService returns how many requests in flight may go to one service.
func (r Resources) RequestsPerService() int {
	return max(1, int(float64(r.ClientConnections())*serviceShare))
}

// IdleConnections returns how many idle connections to endpoints may be kept.
func (r Resources) IdleConnections() int { return max(1, int(float64(r.Sockets)*idleSockets)) }

// LinkConnections returns how many links of peers a gateway may have open.
func (r Resources) LinkConnections() int { return r.connections(linkSockets) }

// AgentConnections returns how many links an agent may have open.
func (r Resources) AgentConnections() int { return r.connections(agentSockets) }

// AuxiliaryConnections returns how many connections a listener of readiness, metrics or operators may have open.
func (r Resources) AuxiliaryConnections() int { return r.connections(auxiliarySockets) }

func (r Resources) connections(share float64) int {
	return max(minAuxiliary, int(float64(r.Sockets)*share))
}

const (
	// readStall is how long a client that is sending a request, or reading its response, has to stand still before it gives way
	// to others; idleStall is the same between requests. A lost packet is sent again within a few hundred milliseconds.
	readStall = time.Second
	idleStall = 200 * time.Millisecond
	// linkStall is the same for links, on which a message is due every 250 ms.
	linkStall = 2 * time.Second
	// retryAfter is when room that is taken by clients who stand still is free again.
	retryAfter = readStall
	// logInterval bounds the log lines on refusals.
	logInterval = time.Second
)

// Budget holds the sums over all clients of a process. It is safe for concurrent use.
type Budget struct {
	limit, largeLimit int64
	logger            *slog.Logger
	metrics           *Metrics

	mu    sync.Mutex
	used  int64
	conns map[*Conn]struct{}
	// refused counts the refusals since they were logged last, and logging is set while they are being logged.
	refused  map[string]int
	loggedAt time.Time
	logging  bool
}

// NewBudget returns the budget of a process.
func NewBudget(r Resources, logger *slog.Logger, metrics *Metrics) *Budget {
	limit := int64(float64(r.Memory) * contentShare)
	return &Budget{
		limit: limit, largeLimit: int64(float64(limit) * largeShare), logger: logger, metrics: metrics,
		conns: make(map[*Conn]struct{}), refused: make(map[string]int),
	}
}

// grow changes what a connection holds, in bytes. If there is no room, connections that stand still give way first.
func (b *Budget) grow(c *Conn, by int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.growLocked(time.Now(), c, by)
}

func (b *Budget) growLocked(now time.Time, c *Conn, by int64) error {
	if c.yielded {
		return ErrYielded
	}
	if by > 0 && !b.fits(c, by) && !b.makeRoom(now, c, by) {
		return ErrNoRoom
	}
	c.held += by
	b.used += by
	return nil
}

// fits reports whether a connection may hold so many bytes more.
func (b *Budget) fits(c *Conn, by int64) bool {
	limit := b.limit
	if c.held+by > smallBytes {
		limit = b.largeLimit
	}
	return b.used+by <= limit
}

// makeRoom lets connections give way that stand still and hold something, those first that have stood still longest, until a connection
// may hold so many bytes more.
func (b *Budget) makeRoom(now time.Time, grower *Conn, by int64) bool {
	for _, c := range b.stalled(now, func(c *Conn) bool { return c != grower && c.held > 0 }) {
		c.yield()
		if b.fits(grower, by) {
			return true
		}
	}
	return false
}

// stalled returns the connections among those selected that stand still, those first that have stood still longest.
func (b *Budget) stalled(now time.Time, selected func(*Conn) bool) []*Conn {
	var list []*Conn
	for c := range b.conns {
		if selected(c) && c.standsStill(now) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(x, y *Conn) int { return x.progressAt.Compare(y.progressAt) })
	return list
}

// noteRefusal counts a refusal and logs the sums, at most once in logInterval. The caller holds mu.
func (b *Budget) noteRefusal(now time.Time, listener, reason string) {
	b.metrics.refused.WithLabelValues(listener, reason).Inc()
	b.refused[listener+": "+reason]++
	if b.logging || now.Sub(b.loggedAt) < logInterval {
		return
	}
	b.loggedAt, b.logging = now, true
	// The log may block, which must not hold up all connections.
	go b.logRefusals(b.refused, b.used, len(b.conns))
	b.refused = make(map[string]int)
}

func (b *Budget) logRefusals(counts map[string]int, held int64, connections int) {
	b.logger.Warn("clients refused or cut off, for want of room", "event", "clients_refused", "counts", counts, "held_bytes", held, "connections", connections)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.logging = false
}

// Held returns the bytes that clients make the process hold beyond their connections.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
