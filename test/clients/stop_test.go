package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"balsamsail/platform/standin"
)

const (
	// stopGrace is the gateway's grace in the settings of the rig.
	stopGrace = 8 * time.Second
	// cutFrom is how long after the signal a request may be sent and still be cut at the end of the grace while its endpoint works.
	cutFrom = 3 * time.Second
	// stopStep is the time between two requests.
	stopStep = 150 * time.Millisecond

	// eventPause is the time between two events of a slow stream.
	eventPause = 50 * time.Millisecond
)

// slowEndpoint works on a request for as long as its path says, and keeps the IDs of those that have arrived.
type slowEndpoint struct {
	mu      sync.Mutex
	arrived map[string]bool
}

func (e *slowEndpoint) hasGot(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrived[id]
}

// ServeHTTP implements http.Handler.
func (e *slowEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(standin.HeaderRequestID)
	e.mu.Lock()
	e.arrived[id] = true
	e.mu.Unlock()
	work, err := time.ParseDuration(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(standin.HeaderRequestID, id)
	w.Header().Set(standin.HeaderSignature, standin.Signature(id))
	if !strings.Contains(r.URL.Path, standin.RouteStreaming) {
		select {
		case <-time.After(work):
			_, _ = io.WriteString(w, "done")
		case <-r.Context().Done():
		}
		return
	}
	for n := 1; r.Context().Err() == nil && work > 0; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(min(work, eventPause))
		work -= eventPause
	}
}

// lateRequest is a request that is sent around a planned stop.
type lateRequest struct {
	id, path, body string
	conn           net.Conn
	// sent is when its last byte was written, after the signal.
	sent time.Duration
	// status is that of the answer, 0 without one; whole is set if all of it arrived.
	status int
	whole  bool
}

func (q *lateRequest) text() string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 60000\r\nContent-Length: %d\r\n\r\n%s",
		q.path, siteHost, standin.HeaderRequestID, q.id, standin.HeaderDeadline, len(q.body), q.body)
}

// send sends the request at a time after the signal, and reads the answer.
func (q *lateRequest) send(signal time.Time, at time.Duration, text string) {
	defer q.conn.Close()
	time.Sleep(time.Until(signal.Add(at)))
	_ = q.conn.SetDeadline(signal.Add(2 * stopGrace))
	_, err := io.WriteString(q.conn, text)
	q.sent = time.Since(signal)
	if err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(q.conn), nil)
	if err != nil {
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	q.status, q.whole = response.StatusCode, err == nil
}

// Guards against a planned stop in which a gateway passes on requests that come late in its grace, and cuts them at its end: with requests
// at every moment of the grace, on connections that were opened before and during it, that were used or not or have sent a part.
func TestRequestsDuringAPlannedStop(t *testing.T) {
	r := startGateway(t, descriptors)
	endpoint := &slowEndpoint{arrived: make(map[string]bool)}
	server := httptest.NewServer(endpoint)
	t.Cleanup(server.Close)
	prefixes := r.declareAt(server.Listener.Addr().String(), "slow")
	var requests []*lateRequest
	var sending sync.WaitGroup
	signal := time.Now().Add(time.Second)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", r.clients)
		if err != nil {
			return nil
		}
		return conn
	}
	// Each kind opens a connection and sends what comes before the last bytes of the request, which it returns; the connection is nil if it
	// was refused.
	kinds := map[string]func(q *lateRequest, at time.Duration) (conn net.Conn, rest string){
		"opened before, not used": func(q *lateRequest, _ time.Duration) (net.Conn, string) { return dial(), q.text() },
		"opened before, used": func(q *lateRequest, _ time.Duration) (net.Conn, string) {
			return usedConn(dial(), prefixes[0]), q.text()
		},
		"opened before, with a part sent": func(q *lateRequest, _ time.Duration) (net.Conn, string) { return sendPart(dial(), q) },
		"opened before, sent slowly": func(q *lateRequest, at time.Duration) (net.Conn, string) {
			return sendSlowly(dial(), q, signal.Add(at))
		},
		"opened just then": func(q *lateRequest, at time.Duration) (net.Conn, string) {
			time.Sleep(time.Until(signal.Add(at)))
			return dial(), q.text()
		},
		"opened 2.4 s after the signal": func(q *lateRequest, _ time.Duration) (net.Conn, string) {
			time.Sleep(time.Until(signal.Add(2400 * time.Millisecond)))
			return dial(), q.text()
		},
		"opened just before, with a part sent": func(q *lateRequest, at time.Duration) (net.Conn, string) {
			time.Sleep(time.Until(signal.Add(at - 2*stopStep)))
			return sendPart(dial(), q)
		},
	}
	works := []string{"10ms", "400ms", "2s", "1h"}
	n := 0
	for name, open := range kinds {
		for at := -5 * stopStep; at < stopGrace; at += stopStep {
			n++
			q := &lateRequest{id: fmt.Sprintf("%s, at %v, %d", name, at, n), path: prefixes[n%len(prefixes)] + works[n%len(works)], body: "body"}
			requests = append(requests, q)
			sending.Go(func() {
				conn, rest := open(q, at)
				if conn != nil {
					q.conn = conn
					q.send(signal, at, rest)
				}
			})
		}
	}
	time.Sleep(time.Until(signal))
	r.process.Signal(syscall.SIGTERM)
	sending.Wait()
	<-r.process.Exited()
	if took := time.Since(signal); took > 2*stopGrace {
		t.Errorf("the gateway ended after %v", took)
	}
	statuses := make(map[int]int)
	for _, q := range requests {
		statuses[q.status]++
		passedOn := endpoint.hasGot(q.id)
		switch {
		case passedOn && !q.whole && q.sent > cutFrom:
			t.Errorf("%s: sent %v after the signal, passed on and cut: status %d", q.id+" "+q.path, q.sent, q.status)
		case q.whole && q.status == http.StatusBadGateway && q.sent > cutFrom:
			t.Errorf("%s: sent %v after the signal, passed on and given up: status %d", q.id+" "+q.path, q.sent, q.status)
		case q.whole && q.status == http.StatusServiceUnavailable && passedOn:
			t.Errorf("%s: refused as not run, and passed on", q.id)
		case q.sent < 0 && q.conn != nil && q.status == 0:
			t.Errorf("%s: sent before the signal, and not answered", q.id)
		}
	}
	t.Logf("statuses of %d requests: %v", len(requests), statuses)
}

// usedConn sends a request that is answered at once, so that the connection is kept.
func usedConn(conn net.Conn, prefix string) net.Conn {
	if conn == nil {
		return nil
	}
	first := &lateRequest{id: "first " + conn.LocalAddr().String(), path: prefix + "1ms", body: "body"}
	_ = conn.SetDeadline(time.Now().Add(stopGrace))
	if _, err := io.WriteString(conn, first.text()); err != nil {
		return nil
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return conn
}

// sendPart sends the request without its last byte, and returns what is missing.
func sendPart(conn net.Conn, q *lateRequest) (net.Conn, string) {
	text := q.text()
	if conn != nil {
		if _, err := io.WriteString(conn, text[:len(text)-1]); err != nil {
			return nil, ""
		}
	}
	return conn, text[len(text)-1:]
}

// A request that is sent slowly has slowBytes every slowStep, which is enough not to count as one that stands still.
const (
	slowStep  = 100 * time.Millisecond
	slowBytes = 8 << 10
)

// sendSlowly sends the request up to the last byte of its body, which is due at a time and is returned.
func sendSlowly(conn net.Conn, q *lateRequest, due time.Time) (net.Conn, string) {
	if conn == nil {
		return nil, ""
	}
	steps := max(0, int(time.Until(due)/slowStep))
	q.body = strings.Repeat("b", steps*slowBytes+1)
	text := q.text()
	if _, err := io.WriteString(conn, text[:len(text)-len(q.body)]); err != nil {
		return nil, ""
	}
	for range steps {
		if _, err := io.WriteString(conn, q.body[:slowBytes]); err != nil {
			return nil, ""
		}
		time.Sleep(slowStep)
	}
	return conn, "b"
}
