package gateway

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/catalog"
	"balsamsail/internal/crashes"
	"balsamsail/internal/fleet"
	"balsamsail/internal/routing"
	"balsamsail/internal/streams"
)

// testCodec is a Codec with short header names of its own.
type testCodec struct{}

func (testCodec) ReadCall(r *http.Request) (Call, error) {
	ms, _ := strconv.Atoi(r.Header.Get("Timeout"))
	model, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	var parts []string
	if text := r.Header.Get("Parts"); text != "" {
		parts = strings.Split(text, ",")
	}
	return Call{ID: r.Header.Get("Id"), SharedParts: parts, Prompt: r.Header.Get("Parts"), Model: model, Adapter: adapter, Timeout: time.Duration(ms) * time.Millisecond,
		LastEventID: r.Header.Get("Last"), Resumes: r.Header.Get("Resumes")}, nil
}

func (testCodec) NewRequest(ctx context.Context, r *http.Request, body []byte, a Attempt) *http.Request {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+a.Address+r.URL.Path, io.NopCloser(strings.NewReader(string(body))))
	if err != nil {
		panic(err)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Id", r.Header.Get("Id"))
	request.Header.Set("Endpoint", a.EndpointID)
	request.Header.Set("Parts", r.Header.Get("Parts"))
	request.Header.Set("Left", strconv.FormatInt(a.Timeout.Milliseconds(), 10))
	request.Header.Set("After", a.LastEventID)
	return request
}

func (testCodec) ReadResponse(resp *http.Response) Response {
	perSecond, err := strconv.ParseFloat(resp.Header.Get("Limit"), 64)
	running, errLoad := strconv.Atoi(resp.Header.Get("Load"))
	return Response{
		Running:           running,
		HasLoad:           errLoad == nil,
		Limit:             fleet.RateLimit{Named: err == nil, PerSecond: perSecond},
		ID:                resp.Header.Get("Id"),
		Signed:            resp.Header.Get("Signed") != "",
		NotRun:            resp.Header.Get("Not-Run") != "",
		Absent:            resp.StatusCode == http.StatusMisdirectedRequest,
		Incarnation:       resp.Header.Get("Incarnation"),
		StatusMeansNotRun: resp.StatusCode == http.StatusServiceUnavailable,
		Encoded:           resp.Header.Get("Content-Encoding") != "",
	}
}

func (testCodec) CopyHeader(to, from http.Header) { to["Signed"] = from["Signed"] }

func (testCodec) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", after.String())
}

// endpointScript handles the requests to one endpoint.
type endpointScript func(w http.ResponseWriter, r *http.Request)

// rig is a gateway with scripted endpoints.
type rig struct {
	t       *testing.T
	gateway *Gateway
	fleet   *fleet.Fleet
	server  *httptest.Server
	// endpoints are the endpoints that are listed initially.
	endpoints map[string]catalog.Endpoint
	// gateways is the number of gateways that share the retry budget.
	gateways int

	mu   sync.Mutex
	runs map[string]int
}

// newRig returns a gateway with the routes /plain/ (run once), /read/ (idempotent), /chat/ (a stream) and /resumable/
// (a resumable stream). An endpoint's name begins with the name of its service.
func newRig(t *testing.T, endpoints map[string]endpointScript) *rig {
	t.Helper()
	r := &rig{t: t, fleet: fleet.New("here", 1), runs: make(map[string]int), endpoints: make(map[string]catalog.Endpoint)}
	var list []catalog.Endpoint
	for id, script := range endpoints {
		server := httptest.NewServer(r.counted(script))
		t.Cleanup(server.Close)
		service, _, _ := strings.Cut(id, "-")
		r.endpoints[id] = catalog.Endpoint{ID: id, Service: service, Address: server.Listener.Addr().String(), Models: []string{"m"}, Revision: 1}
		list = append(list, r.endpoints[id])
	}
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	r.fleet.SetConfig(testConfig())
	r.fleet.SetEndpoints(list)
	r.gateways = 1
	options := Options{Budget: routing.BudgetOptions{Burst: 100}, GatewayCount: func() int { return r.gateways }, Crashes: crashes.New(), Parts: crashes.NewParts(r.fleet.MayHaveEnded), Streams: streams.New(), InContact: func() bool { return true }}
	r.gateway = New(options, testCodec{}, r.fleet, &http.Transport{}, slog.New(slog.DiscardHandler), metrics)
	r.server = httptest.NewServer(r.gateway)
	t.Cleanup(r.server.Close)
	return r
}

func testConfig() *catalog.Config {
	route := func(prefix, service string) *catalog.Route {
		return &catalog.Route{Name: prefix, Host: "site", Prefix: prefix, Timeout: 5 * time.Second, MaxAttempts: 2,
			Services: []catalog.WeightedService{{Service: service, Weight: 1}}}
	}
	read := route("/read/", "plain")
	read.Repeat = catalog.Idempotent
	chat := route("/chat/", "engine")
	chat.Streaming = true
	resumable := route("/resumable/", "engine")
	resumable.Streaming, resumable.Resumable, resumable.GapTarget = true, true, 50*time.Millisecond
	engine := &catalog.EngineClass{Batch: 8, Models: map[string]catalog.Model{"m": {Name: "m"}, "not-loaded": {Name: "not-loaded"}, "store-only": {Name: "store-only", StoreLoadTime: 6 * time.Second}}}
	services := map[string]*catalog.Service{"plain": {Name: "plain"}, "engine": {Name: "engine", Engine: engine}}
	return catalog.NewConfig(1, catalog.ClientLimits{}, services, []*catalog.Route{route("/plain/", "plain"), read, chat, resumable})
}

// setVersions lists the given endpoints, each with a version of its software, and no others.
func (r *rig) setVersions(versions map[string]string) {
	var list []catalog.Endpoint
	for id, version := range versions {
		e := r.endpoints[id]
		e.Version = version
		list = append(list, e)
	}
	r.fleet.SetEndpoints(list)
}

// restart starts each endpoint anew, under the ID that it had.
func (r *rig) restart() {
	var list []catalog.Endpoint
	for id, e := range r.endpoints {
		e.Started++
		r.endpoints[id] = e
		list = append(list, e)
	}
	r.fleet.SetEndpoints(list)
}

func (r *rig) counted(script endpointScript) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		r.mu.Lock()
		r.runs[request.Header.Get("Id")]++
		r.mu.Unlock()
		script(w, request)
	}
}

// await waits until a condition holds.
func (r *rig) await(what string, condition func() bool) {
	r.t.Helper()
	const limit = 5 * time.Second
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// attempts returns how many requests with the ID reached an endpoint.
func (r *rig) attempts(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// answer is the response that a client got.
type answer struct {
	status int
	body   string
	header http.Header
	// err is set if the connection failed or the body was incomplete.
	err  error
	took time.Duration
}

// send sends a request to the gateway as a client would.
func (r *rig) send(id, path, model string) answer { return r.takeUp(id, path, model, "", "") }

// sendParts sends a request for the model m whose prompt has the given parts, separated by commas.
func (r *rig) sendParts(id, parts string) answer {
	return r.sendTo("/resumable/"+id, http.Header{"Id": {id}, "Model": {"m"}, "Parts": {parts}}, io.Discard)
}

// takeUp sends a request that goes on after an event of the stream that another request began.
func (r *rig) takeUp(id, path, model, lastEvent, resumes string) answer {
	r.t.Helper()
	header := http.Header{"Id": {id}, "Model": {model}}
	if lastEvent != "" {
		header.Set("Last", lastEvent)
		header.Set("Resumes", resumes)
	}
	var body strings.Builder
	a := r.sendTo(path, header, &body)
	a.body = body.String()
	return a
}

// sendTo sends a request to the gateway and writes the body of the response to a writer.
func (r *rig) sendTo(path string, header http.Header, to io.Writer) answer {
	return r.sendUntil(r.t.Context(), path, header, to)
}

// sendUntil is sendTo of a client that leaves when ctx is done.
func (r *rig) sendUntil(ctx context.Context, path string, header http.Header, to io.Writer) answer {
	return r.exchange(ctx, path, header, strings.NewReader("body"), to)
}

// upload is sendTo of a request with a given body.
func (r *rig) upload(path string, header http.Header, body []byte, to io.Writer) answer {
	return r.exchange(r.t.Context(), path, header, bytes.NewReader(body), to)
}

func (r *rig) exchange(ctx context.Context, path string, header http.Header, body io.Reader, to io.Writer) answer {
	r.t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.server.URL+path, body)
	if err != nil {
		r.t.Fatal(err)
	}
	request.Host = "site"
	request.Header = header
	began := time.Now()
	response, err := (&http.Transport{}).RoundTrip(request)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer response.Body.Close()
	_, err = io.Copy(to, response.Body)
	return answer{status: response.StatusCode, header: response.Header, err: err, took: time.Since(began)}
}

// good sends a complete and signed response.
func good(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "yes")
	_, _ = io.WriteString(w, "done")
}

// refuses confirms that the request did not run.
func refuses(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Not-Run", "yes")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// otherIncarnation refuses the request as another incarnation than the listed one.
func otherIncarnation(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Not-Run", "yes")
	w.Header().Set("Incarnation", "another")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// resetsConnection closes the connection without a response.
func resetsConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// resetAfterReading resets a connection once the other side has had the time to read what was sent.
func resetAfterReading(conn net.Conn) {
	time.Sleep(20 * time.Millisecond)
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// events sends a stream of numbered events; if breaks is set, it then resets the connection in the middle of the next
// event.
func events(from, to int, breaks bool) endpointScript {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
		first := from
		if after, err := strconv.Atoi(r.Header.Get("After")); err == nil {
			first = after + 1
		}
		for i := first; i <= to; i++ {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(i)+"\ndata: "+strconv.Itoa(i)+"\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		if breaks {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(to+1)+"\nda")
			_ = http.NewResponseController(w).Flush()
			resetsConnection(w, r)
		}
	}
}

// numbers returns the data of a stream's events, joined by commas.
func numbers(body string) string {
	var list []string
	for line := range strings.Lines(body) {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			list = append(list, strings.TrimSpace(data))
		}
	}
	return strings.Join(list, ",")
}
