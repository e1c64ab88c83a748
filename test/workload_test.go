package test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// targets are the models that callers request, by the names that callers and engines use.
var targets = []struct{ model, engineModel string }{
	{"crack", "crack@v1"},
	{"compaction", "compaction@v1"},
	{"crack-zarqa", "crack-zarqa"},
	{"holdover", "holdover@v1"},
	{"single", "single@v1"},
	{"crack@v2", "crack@v2"},
	{"fluid", "fluid@v1"},
	{"audit-a", "audit-a@v1"},
	{"audit-b", "audit-b@v1"},
	{"audit-c", "audit-c@v1"},
	{"audit-d", "audit-d@v1"},
	{"audit-e", "audit-e@v1"},
	{"audit-f", "audit-f@v1"},
	{"mover", "mover@v1"},
}

// kindSequence is the sequence of request kinds in a workload, repeated from its start.
var kindSequence = []kind{
	chatStream, chatWhole, keyedCall, chatStream, chatWhole, onceCall, chatStream, readCall, chatWhole, chatStream,
	keyedCall, chatWhole, onceCall,
}

// The parameters of a workload.
const (
	requestInterval = 10 * time.Millisecond
	// requestsPerPhase is the number of requests after which callers request other models, so that models become idle,
	// are unloaded and are loaded again all the time. modelsPerPhase is the number of models requested in one phase.
	requestsPerPhase = 24
	modelsPerPhase   = 4
	chatDeadline     = 2500 * time.Millisecond
	callDeadline     = 2 * time.Second
	shortAnswer      = 8
	longAnswer       = 60
	// maxInFlight bounds the requests in flight; requests over it are not sent.
	maxInFlight = 1000
	// keyAttempts is the maximum number of times that a caller sends one keyed call.
	keyAttempts = 4
)

// workload is a steady load of requests, distributed by a balancer over all ready entries.
type workload struct {
	cluster  *cluster
	balancer *balancer
	caller   *caller
	stopped  chan struct{}
	stopOnce sync.Once
	running  sync.WaitGroup
	inFlight chan struct{}

	mu        sync.Mutex
	exchanges []*exchange
	served    map[kind]int
}

// startWorkload starts the load, which runs until stop.
func startWorkload(c *cluster) *workload {
	w := &workload{
		cluster:  c,
		balancer: startBalancer(c),
		caller:   newCaller(),
		stopped:  make(chan struct{}),
		inFlight: make(chan struct{}, maxInFlight),
		served:   map[kind]int{},
	}
	w.running.Go(w.run)
	return w
}

// run starts a request at each interval, without waiting for the previous ones.
func (w *workload) run() {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-w.stopped:
			return
		case <-ticker.C:
		}
		select {
		case w.inFlight <- struct{}{}:
		default:
			continue
		}
		w.running.Go(func() {
			defer func() { <-w.inFlight }()
			w.sendWithRetries(i)
		})
	}
}

// stop ends the load, waits for the requests in flight and returns all exchanges.
func (w *workload) stop() []*exchange {
	w.stopOnce.Do(func() {
		close(w.stopped)
		w.running.Wait()
		w.balancer.stop()
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.exchanges
}

// newRequest returns the i-th request of the workload.
func newRequest(i int) request {
	phase := i / requestsPerPhase
	target := targets[(3*phase+i%modelsPerPhase)%len(targets)]
	r := request{
		kind:     kindSequence[i%len(kindSequence)],
		marker:   fmt.Sprintf("m%d", i),
		deadline: callDeadline,
	}
	switch r.kind {
	case chatStream, chatWhole:
		r.model, r.engineModel = target.model, target.engineModel
		r.deadline = chatDeadline
		r.tokens = shortAnswer
		if r.kind == chatStream && i%3 == 0 {
			r.tokens = longAnswer
		}
	case keyedCall:
		r.key = "key-" + r.marker
	}
	return r
}

// sendWithRetries sends the i-th request. A keyed call that is not served is sent again with the same key, up to
// keyAttempts times in all.
func (w *workload) sendWithRetries(i int) {
	r := newRequest(i)
	for attempt := range keyAttempts {
		x := w.send(r, i+attempt)
		if r.kind != keyedCall || x == nil || x.served() {
			return
		}
	}
}

// send sends a request to a ready entry, and to the next one as long as no byte of the request was sent.
func (w *workload) send(r request, turn int) *exchange {
	for try := range len(w.cluster.entries) {
		e := w.balancer.pick(turn + try)
		if e == nil {
			return nil
		}
		x := w.caller.do(e.name, e.callersURL(), r)
		w.record(x)
		if !x.notSent {
			return x
		}
	}
	return nil
}

func (w *workload) record(x *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.exchanges = append(w.exchanges, x)
	if x.served() {
		w.served[x.kind]++
	}
}

// awaitServed waits until n more requests of each kind have been served.
func (w *workload) awaitServed(n int, timeout time.Duration) {
	w.cluster.t.Helper()
	w.mu.Lock()
	before := maps.Clone(w.served)
	w.mu.Unlock()
	eventually(w.cluster.t, timeout, fmt.Sprintf("%d more requests of each kind are served", n), func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, k := range []kind{chatStream, chatWhole, readCall, onceCall, keyedCall} {
			if w.served[k] < before[k]+n {
				return false
			}
		}
		return true
	})
}

// summarize counts exchanges by kind and result.
func summarize(exchanges []*exchange) string {
	counts := map[string]int{}
	for _, x := range exchanges {
		counts[string(x.kind)+": "+x.result()]++
	}
	var lines []string
	for _, class := range slices.Sorted(maps.Keys(counts)) {
		lines = append(lines, fmt.Sprintf("%s %d", class, counts[class]))
	}
	return strings.Join(lines, ", ")
}

// balancer polls the entries' readiness, as the platform's load balancer does, and picks ready entries in turn.
type balancer struct {
	cluster    *cluster
	done       chan struct{}
	probing    sync.WaitGroup
	firstProbe sync.WaitGroup

	mu    sync.Mutex
	ready map[string]bool
}

const (
	healthInterval = 50 * time.Millisecond
	healthTimeout  = 500 * time.Millisecond
)

func startBalancer(c *cluster) *balancer {
	b := &balancer{cluster: c, done: make(chan struct{}), ready: map[string]bool{}}
	for _, e := range c.entries {
		b.firstProbe.Add(1)
		b.probing.Go(func() { b.watch(e) })
	}
	b.firstProbe.Wait()
	return b
}

// watch polls one entry's readiness until the balancer stops.
func (b *balancer) watch(e *entryHost) {
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for asked := false; ; {
		response, err := client.Get(e.operatorsURL() + "/readyz")
		if err == nil {
			_ = response.Body.Close()
		}
		b.mu.Lock()
		b.ready[e.name] = err == nil && response.StatusCode == http.StatusOK
		b.mu.Unlock()
		if !asked {
			asked = true
			b.firstProbe.Done()
		}
		select {
		case <-b.done:
			return
		case <-time.After(healthInterval):
		}
	}
}

func (b *balancer) stop() {
	close(b.done)
	b.probing.Wait()
}

// pick returns the turn-th ready entry, modulo their number, or nil if none is ready.
func (b *balancer) pick(turn int) *entryHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*entryHost
	for _, e := range b.cluster.entries {
		if b.ready[e.name] {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[turn%len(ready)]
}
