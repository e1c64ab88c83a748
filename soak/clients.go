package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"balsamsail/internal/clock"
	"balsamsail/internal/sendonce"
	"balsamsail/platform/standin"
)

const (
	// maxTimeout is the longest request timeout of a client.
	maxTimeout = 8 * time.Second
	// cancelShare is the share of requests that clients cancel early, within cancelWithin.
	cancelShare  = 0.05
	cancelWithin = 300 * time.Millisecond
	// thinkTime is the mean pause between two requests of a client; reconnectPause is added after a request without an answer.
	thinkTime      = 60 * time.Millisecond
	reconnectPause = 100 * time.Millisecond
	// dialTimeout bounds a client's connection attempt.
	dialTimeout = time.Second
	// maxEvents is the largest number of events in a stream.
	maxEvents = 40
)

// profile is the share of a kind of request in the load, and how it is sent.
type profile struct {
	kind    kind
	share   float64
	prefix  string
	method  string
	timeout time.Duration
}

var profiles = []profile{
	{read, 0.3, prefixRead, http.MethodGet, 1500 * time.Millisecond},
	{notice, 0.2, prefixNotice, http.MethodPost, 1500 * time.Millisecond},
	{chat, 0.3, prefixChat, http.MethodPost, maxTimeout},
	{once, 0.2, prefixOnce, http.MethodPost, 4 * time.Second},
}

// client sends requests to one gateway, over connections that are kept alive.
type client struct {
	site *site
	// gateway is the one in use, and home the one that the client has been given.
	gateway, home *host
	random        *rand.Rand
	http          *sendonce.Client
	close         func()
	n             int
	name          string
}

func newClient(s *site, h *host, n int) *client {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
	}
	sender := sendonce.New(transport)
	return &client{
		site: s, gateway: h, home: h, name: fmt.Sprintf("%s-c%d", h.name, n),
		random: rand.New(rand.NewPCG(s.seed, uint64(n)<<8+uint64(slices.Index(s.gateways, h)))),
		http:   sender, close: sender.CloseIdleConnections,
	}
}

// run sends one request after another until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		c.reconnect()
		if !c.send(c.nextRequest()) {
			clock.Pause(ctx, reconnectPause)
		}
		clock.Pause(ctx, time.Duration(c.random.ExpFloat64()*float64(thinkTime)))
	}
}

// reconnect leaves for the gateway that most new connections go to, and comes back once they are spread.
func (c *client) reconnect() {
	gateway := c.home
	if to := c.site.skewed.Load(); to != nil && c.random.Float64() < skewedShare {
		gateway = to
	}
	if gateway != c.gateway {
		c.close()
		c.gateway = gateway
	}
}

// nextRequest returns a random request.
func (c *client) nextRequest() *record {
	c.n++
	p := profiles[0]
	at := c.random.Float64()
	for _, p = range profiles {
		if at -= p.share; at < 0 {
			break
		}
	}
	r := &record{kind: p.kind, gateway: c.gateway.name, call: standin.Call{
		ID: fmt.Sprintf("%s-%d", c.name, c.n), Host: siteHost, Method: p.method, Path: fmt.Sprintf("%sitem?client=%s&n=%d", p.prefix, c.name, c.n), Timeout: p.timeout,
	}}
	if p.kind == notice {
		r.call.Body = fmt.Appendf(nil, "notice %d", c.n)
	}
	if p.kind == chat || p.kind == once {
		r.call.Body = []byte("layer 3 is loose")
		r.call.Events = 1 + c.random.IntN(maxEvents)
		r.call.Model = c.pickModel()
		r.call.Parts = promptOf(c.random.IntN(commonParts), fmt.Sprintf("%x", c.random.Uint32()))
	}
	return r
}

// pickModel returns a random model from a skewed distribution, one time in four with an adapter.
func (c *client) pickModel() string {
	models := c.site.models
	i := min(int(c.random.ExpFloat64()*float64(len(models))/3), len(models)-1)
	if c.random.IntN(4) == 0 {
		return fmt.Sprintf("%s/a%d", models[i], 1+c.random.IntN(3))
	}
	return models[i]
}

// outcome is the result of a request as its client sees it.
type outcome struct {
	status int
	header http.Header
	body   []byte
	// err is set if there was no response or its body is incomplete.
	err error
	// maybeSent is set if the gateway may have received the request.
	maybeSent bool
	// cancelled is set if the client cancelled the request early, timedOut if its timeout expired.
	cancelled, timedOut bool
	took                time.Duration
}

// retryAfter returns the time for which a client with the given time left stays away after a refusal: the platform's clients wait as
// long as it names, up to a third of the time that they have left.
func (e outcome) retryAfter(left time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(e.header.Get("Retry-After"), 64)
	if err != nil || !standin.NotRun(e.status) {
		return 0
	}
	return max(0, min(time.Duration(seconds*float64(time.Second)), left/3))
}

// send sends a request and checks its outcome. It returns false if no response was received.
func (c *client) send(r *record) bool {
	ctx, cancel := context.WithTimeout(context.Background(), r.call.Timeout+responseSlack)
	defer cancel()
	if c.random.Float64() < cancelShare {
		cancelTimer := time.AfterFunc(rand.N(cancelWithin), func() {
			c.site.checker.recordCancelled(r)
			cancel()
		})
		defer cancelTimer.Stop()
	}
	e := c.attempt(ctx, r)
	if r.kind == chat {
		c.site.checker.recordTakenUp(r, e)
		c.takeUp(r, e)
	}
	return e.status != 0
}

// attempt sends a request once and checks its outcome.
func (c *client) attempt(ctx context.Context, r *record) outcome {
	r.sentAt = time.Now()
	c.site.checker.recordSent(r)
	e := c.exchange(ctx, r.call)
	e.took = time.Since(r.sentAt)
	c.site.checker.checkOutcome(r, e)
	return e
}

const (
	// takeUpTries is how often a client comes back for the rest of a stream that broke off, takeUpPause the mean time before each
	// beyond the one that a refusal names.
	takeUpTries = 3
	takeUpPause = 60 * time.Millisecond
)

// takeUp comes back for the rest of a stream that broke off, each time at a random gateway.
func (c *client) takeUp(first *record, e outcome) {
	last := 0
	for try := range takeUpTries {
		last += bytes.Count(e.body, []byte("\n\n"))
		if e.err == nil && e.status == http.StatusOK || e.cancelled || last == 0 || last >= first.call.Events {
			return
		}
		time.Sleep(e.retryAfter(first.call.Timeout-time.Since(first.sentAt)) + time.Duration(c.random.ExpFloat64()*float64(takeUpPause)))
		other := newClient(c.site, c.site.gateways[c.random.IntN(len(c.site.gateways))], c.n)
		r := &record{kind: chat, gateway: other.gateway.name, call: first.call}
		r.call.ID, r.call.Resumes, r.call.LastEvent = fmt.Sprintf("%s-again%d", first.call.ID, try), first.call.ID, last
		ctx, cancel := context.WithTimeout(context.Background(), r.call.Timeout+responseSlack)
		e = other.attempt(ctx, r)
		c.site.checker.recordTakenUp(r, e)
		cancel()
		other.close()
	}
}

// exchange sends a call and reads the response.
func (c *client) exchange(ctx context.Context, call standin.Call) outcome {
	request, err := call.Request(ctx, c.gateway.frontend)
	if err != nil {
		return outcome{err: err}
	}
	result, err := c.http.Do(request)
	if err != nil {
		return c.classifyError(ctx, outcome{err: err, maybeSent: result.MaybeSent})
	}
	defer func() { _ = result.Response.Body.Close() }()
	e := outcome{status: result.Response.StatusCode, header: result.Response.Header, maybeSent: true}
	e.body, e.err = io.ReadAll(result.Response.Body)
	return c.classifyError(ctx, e)
}

// classifyError marks failures that the client's own timeout or cancellation caused.
func (c *client) classifyError(ctx context.Context, e outcome) outcome {
	if e.err != nil {
		e.timedOut = ctx.Err() == context.DeadlineExceeded
		e.cancelled = ctx.Err() == context.Canceled
	}
	return e
}

// probeRoutes sends requests to random gateways on routes that were added, removed or never declared, until ctx ends.
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
			Path: s.checker.routeToProbe(random) + "probe", Timeout: 1500 * time.Millisecond,
		}}
		probes.Go(func() {
			timeout, cancel := context.WithTimeout(context.Background(), r.call.Timeout)
			defer cancel()
			r.sentAt = time.Now()
			s.checker.recordSent(r)
			s.checker.checkProbe(r, c.exchange(timeout, r.call), s.startsOf(c.gateway))
		})
		clock.Pause(ctx, interval)
	}
}
