package inbound

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Options are the settings of a Listener.
type Options struct {
	// Name is the listener's name in logs and metrics.
	Name string
	// MaxConnections bounds the open connections.
	MaxConnections int
	// MaxHeadBytes returns the limit of a request's head; 0 means none beside that of net/http. It may be nil.
	MaxHeadBytes func() int
	// Links is set for connections that do not carry HTTP. Any byte counts as progress on them, and they are closed without an
	// answer.
	Links bool
}

func (o Options) headLimit() int {
	if o.MaxHeadBytes == nil {
		return 0
	}
	return o.MaxHeadBytes()
}

// Listener accepts connections within the bounds of a budget.
type Listener struct {
	net.Listener
	budget  *Budget
	options Options

	// open counts the connections that are not closed yet, usable those of them that have not given way, and lingering the refused
	// ones whose clients may still be sending. They are guarded by the budget's mu.
	open, usable, lingering int
}

// Listen returns a listener whose connections are accounted for in the budget.
func (b *Budget) Listen(l net.Listener, o Options) *Listener {
	return &Listener{Listener: l, budget: b, options: o}
}

const (
	// yieldShare is the part of a listener's connections that give way at once when it is full, so that a flood of connections does
	// not have them searched for each of its own.
	yieldShare = 1.0 / 32
	// closingShare bounds the connections that have given way and are not closed yet.
	closingShare = 1.0 / 8
)

// Accept implements net.Listener. It refuses connections for which there is no room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		go func() {
			l.refuse(raw, statusNoRoom)
			_ = raw.Close()
		}()
	}
}

// admit returns the accounted connection, or nil if there is no room for it.
func (l *Listener) admit(raw net.Conn) *Conn {
	b, most := l.budget, l.options.MaxConnections
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.usable >= most {
		idle := b.stalled(now, func(c *Conn) bool { return c.listener == l })
		for _, c := range idle[:min(len(idle), portion(most, yieldShare))] {
			c.yield()
		}
	}
	if l.usable >= most || l.open-l.usable > portion(most, closingShare) {
		b.noteRefusal(now, l.options.Name, "too many connections")
		return nil
	}
	c := &Conn{Conn: raw, listener: l, progressAt: now}
	b.conns[c] = struct{}{}
	l.open++
	l.usable++
	b.metrics.connections.WithLabelValues(l.options.Name).Set(float64(l.open))
	return c
}

// portion returns a part of n, at least one.
func portion(n int, share float64) int { return max(1, int(float64(n)*share)) }

// remove ends the accounting for a connection.
func (l *Listener) remove(c *Conn) {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed {
		return
	}
	c.giveUp()
	c.closed = true
	delete(b.conns, c)
	l.open--
	b.metrics.connections.WithLabelValues(l.options.Name).Set(float64(l.open))
}

// refuse answers a client whose request has not been read, and so cannot run.
func (l *Listener) refuse(conn net.Conn, status string) {
	if l.options.Links {
		return
	}
	retry := ""
	if status == statusNoRoom {
		retry = "Retry-After: " + strconv.FormatFloat(RetryAfter().Seconds(), 'f', 1, 64) + "\r\n"
	}
	_ = conn.SetWriteDeadline(time.Now().Add(lingerTime))
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, retry); err != nil {
		return
	}
	if l.linger(1) {
		drain(conn)
		l.linger(-1)
	}
}

// linger changes the number of refused connections whose clients may still be sending, unless it is at its bound.
func (l *Listener) linger(by int) bool {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if by > 0 && l.lingering >= maxLingering {
		return false
	}
	l.lingering += by
	return true
}

// YieldStalledRequests lets the clients give way that stand still while they send a request, as when the process is about to stop.
func (l *Listener) YieldStalledRequests() {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.stalled(time.Now(), func(c *Conn) bool { return c.listener == l && !c.writing }) {
		c.yield()
	}
}

type connKey struct{}

// ConnContext is a ConnContext of http.Server, by which the handlers of a Listener's connections find them.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// ConnState is a ConnState of http.Server, by which a Listener's connections know that a request has ended.
func ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.endRequest()
	}
}

// connOf returns the connection of a request, or nil if it is not accounted for.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// RefuseFunc answers a request that does not run for want of room. Its connection is to be closed, because its body is not read.
type RefuseFunc func(w http.ResponseWriter, r *http.Request, retryAfter time.Duration)

// Handler returns a handler that accounts for each request that it passes on. refuse may be nil.
func Handler(next http.Handler, refuse RefuseFunc) http.Handler {
	if refuse == nil {
		refuse = refusePlainly
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer c.handlerDone()
		if c.beginRequest(r.ContentLength) != nil {
			w.Header().Set("Connection", "close")
			refuse(w, r, RetryAfter())
			return
		}
		c.serve(next, w, r)
	})
}

// serve calls the handler of a request. A response of HTTP/1.0 without a length ends with its connection, so that one that is cut, by the
// handler or the end of the process, must not end in good order.
func (c *Conn) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		next.ServeHTTP(w, r)
		return
	}
	setLinger(c.Conn, resetOnClose)
	next.ServeHTTP(w, r)
	// A handler that aborts its response panics.
	setLinger(c.Conn, closeInOrder)
}

// RetryAfter returns when a client is to come back whose request found no room. The random part keeps those apart that were refused
// together.
func RetryAfter() time.Duration { return retryAfter + rand.N(retryAfter) }

func refusePlainly(w http.ResponseWriter, _ *http.Request, retryAfter time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Hold changes what the client of a request makes the process hold, by so many bytes. It returns an error if there is no room
// for more, or if the client has given way to others. All is returned when the request ends.
func Hold(r *http.Request, by int64) error {
	if c := connOf(r); c != nil {
		return c.listener.budget.grow(c, by)
	}
	return nil
}
