package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"balsamsail/internal/clock"
	"balsamsail/internal/sendonce"
	"balsamsail/platform/standin"
)

const (
	// longestPatience is the longest time that a client waits.
	longestPatience = 8 * time.Second
	// leavers is the share of requests that their clients give up early, within leaveWithin.
	leavers     = 0.05
	leaveWithin = 300 * time.Millisecond
	// thinkTime is the mean pause of a client between two requests, and awayPause the one after a failed connection.
	thinkTime = 60 * time.Millisecond
	awayPause = 100 * time.Millisecond
	// dialTimeout is how long a client waits for a connection.
	dialTimeout = time.Second
	// maxEvents is the length of the longest stream.
	maxEvents = 40
)

// profile is how clients use a kind of request.
type profile struct {
	kind     kind
	share    float64
	prefix   string
	method   string
	patience time.Duration
}

var profiles = []profile{
	{read, 0.3, prefixRead, http.MethodGet, 1500 * time.Millisecond},
	{notice, 0.2, prefixNotice, http.MethodPost, 1500 * time.Millisecond},
	{chat, 0.3, prefixChat, http.MethodPost, longestPatience},
	{once, 0.2, prefixOnce, http.MethodPost, 4 * time.Second},
}

// client sends requests to one gateway, over connections that it keeps as long as the gateway does.
type client struct {
	site    *site
	gateway *host
	random  *rand.Rand
	http    *sendonce.Client
	close   func()
	n       int
	name    string
}

func newClient(s *site, h *host, n int) *client {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
	}
	return &client{
		site: s, gateway: h, name: fmt.Sprintf("%s-c%d", h.name, n),
		random: rand.New(rand.NewPCG(s.seed, uint64(n)<<8+uint64(len(h.name)))),
		http:   sendonce.New(transport), close: transport.CloseIdleConnections,
	}
}

// run sends one request after another until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if !c.one(c.draw()) {
			clock.Pause(ctx, awayPause)
		}
		clock.Pause(ctx, time.Duration(c.random.ExpFloat64()*float64(thinkTime)))
	}
}

// draw makes the next request.
func (c *client) draw() *record {
	c.n++
	p := profiles[0]
	at := c.random.Float64()
	for _, p = range profiles {
		if at -= p.share; at < 0 {
			break
		}
	}
	r := &record{kind: p.kind, gateway: c.gateway.name, call: standin.Call{
		ID: fmt.Sprintf("%s-%d", c.name, c.n), Host: siteHost, Method: p.method, Path: p.prefix + "item?n=" + fmt.Sprint(c.n), Patience: p.patience,
	}}
	if p.kind == notice {
		r.call.Body = fmt.Appendf(nil, "notice %d", c.n)
	}
	if p.kind == chat || p.kind == once {
		r.call.Body = []byte("layer 3 is loose")
		r.call.Events = 1 + c.random.IntN(maxEvents)
		r.call.Model = c.drawModel()
	}
	return r
}

// drawModel prefers few models, and now and then asks for an adapter.
func (c *client) drawModel() string {
	models := c.site.models
	i := min(int(c.random.ExpFloat64()*float64(len(models))/3), len(models)-1)
	if c.random.IntN(4) == 0 {
		return fmt.Sprintf("%s/a%d", models[i], 1+c.random.IntN(3))
	}
	return models[i]
}

// ending is how a request ended for its client.
type ending struct {
	status int
	header http.Header
	body   []byte
	// err is set when there was no answer, or it broke off.
	err error
	// maybeSent is set when the gateway may have got the request.
	maybeSent bool
	// left is set when the client itself gave the request up early, timedOut when its patience had ended.
	left, timedOut bool
	took           time.Duration
}

// one sends a request and judges how it ended. It returns false when the gateway could not be reached.
func (c *client) one(r *record) bool {
	ctx, cancel := context.WithTimeout(context.Background(), r.call.Patience+answerSlack)
	defer cancel()
	if c.random.Float64() < leavers {
		leave := time.AfterFunc(rand.N(leaveWithin), func() {
			c.site.judge.left(r.call.ID)
			cancel()
		})
		defer leave.Stop()
	}
	r.sentAt = time.Now()
	c.site.judge.sent(r)
	e := c.exchange(ctx, r.call)
	e.took = time.Since(r.sentAt)
	c.site.judge.ended(r, e)
	return e.status != 0
}

// exchange sends a call and reads the answer.
func (c *client) exchange(ctx context.Context, call standin.Call) ending {
	request, err := call.Request(ctx, c.gateway.clients)
	if err != nil {
		return ending{err: err}
	}
	result, err := c.http.Do(request)
	if err != nil {
		return c.failed(ctx, ending{err: err, maybeSent: result.MaybeSent})
	}
	defer func() { _ = result.Response.Body.Close() }()
	e := ending{status: result.Response.StatusCode, header: result.Response.Header, maybeSent: true}
	e.body, e.err = io.ReadAll(result.Response.Body)
	return c.failed(ctx, e)
}

// failed tells a client's own giving up from other failures.
func (c *client) failed(ctx context.Context, e ending) ending {
	if e.err != nil {
		e.timedOut = ctx.Err() == context.DeadlineExceeded
		e.left = ctx.Err() == context.Canceled
	}
	return e
}

// probeRoutes asks gateways again and again for routes that were added, removed or never there, until ctx ends.
func probeRoutes(ctx context.Context, s *site) {
	const interval = 50 * time.Millisecond
	var clients []*client
	for i, h := range s.gateways {
		c := newClient(s, h, 1000+i)
		defer c.close()
		clients = append(clients, c)
	}
	random := rand.New(rand.NewPCG(s.seed, 77))
	var probes sync.WaitGroup
	defer probes.Wait()
	for ctx.Err() == nil {
		c := clients[random.IntN(len(clients))]
		c.n++
		r := &record{kind: probe, gateway: c.gateway.name, call: standin.Call{
			ID: fmt.Sprintf("%s-p%d", c.name, c.n), Host: siteHost, Method: http.MethodGet,
			Path: s.judge.routeToProbe(random) + "probe", Patience: 1500 * time.Millisecond,
		}}
		probes.Go(func() {
			timeout, cancel := context.WithTimeout(context.Background(), r.call.Patience)
			defer cancel()
			r.sentAt = time.Now()
			s.judge.sent(r)
			s.judge.probed(r, c.exchange(timeout, r.call), s.startsOf(c.gateway))
		})
		clock.Pause(ctx, interval)
	}
}
