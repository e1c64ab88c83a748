package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/catalog"
	"balsamsail/internal/crashes"
	"balsamsail/internal/fleet"
	"balsamsail/internal/netconn"
	"balsamsail/internal/routing"
	"balsamsail/internal/streams"
)

// ending is how an endpoint ends an answer that it has sent in part.
type ending int

const (
	// closes ends the connection in good order, and resets with a reset.
	closes ending = iota
	resets
	// halfCloses ends the sending side only and goes on reading.
	halfCloses
	// fallsSilent keeps the connection open and sends nothing more.
	fallsSilent
	// pauses sends the rest a moment later.
	pauses
)

var endingNames = map[ending]string{
	closes: "closes", resets: "resets", halfCloses: "closes its side", fallsSilent: "falls silent", pauses: "pauses",
}

// writtenAnswer is an answer as an endpoint writes it.
type writtenAnswer struct {
	name string
	// head ends with the blank line, and body holds the chunks if it has any.
	head, body string
	// content is the body without its framing.
	content string
	// unframed is set if the body ends with the connection.
	unframed bool
	// invalid is set if the answer must not be forwarded, even if all of it arrives.
	invalid bool
}

// idMark stands in a written answer for the ID of the request.
const idMark = "IDMARK"

// plainAnswers returns answers with a given content, split into two parts where it is sent in chunks.
func plainAnswers(part1, part2 string) []writtenAnswer {
	content := part1 + part2
	head := func(version, fields string) string {
		return version + " 200 OK\r\nId: " + idMark + "\r\nSigned: yes\r\n" + fields + "\r\n"
	}
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	length := fmt.Sprintf("Content-Length: %d\r\n", len(content))
	const inChunks = "Transfer-Encoding: chunked\r\n"
	chunks := chunk(part1) + chunk(part2)
	list := []writtenAnswer{
		{name: "length", head: head("HTTP/1.1", length), body: content},
		{name: "chunks", head: head("HTTP/1.1", inChunks), body: chunks + "0\r\n\r\n"},
		{name: "chunks and a trailer", head: head("HTTP/1.1", inChunks+"Trailer: Sum\r\n"), body: chunks + "0\r\nSum: 1\r\n\r\n"},
		{name: "no framing", head: head("HTTP/1.1", ""), body: content, unframed: true},
		{name: "HTTP/1.0, length", head: head("HTTP/1.0", length), body: content},
		{name: "HTTP/1.0, no framing", head: head("HTTP/1.0", ""), body: content, unframed: true},
		{name: "after an interim answer", head: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head("HTTP/1.1", length), body: content},
		{name: "length twice", head: head("HTTP/1.1", length+length), body: content},
		{name: "length and chunks", head: head("HTTP/1.1", length+inChunks), body: chunks + "0\r\n\r\n"},
		{name: "folded field", head: head("HTTP/1.1", "Content-Length:\r\n "+strconv.Itoa(len(content))+"\r\n"), body: content},
	}
	for i := range list {
		list[i].content = content
	}
	return list
}

// oddAnswers returns answers that must not be forwarded however much of them arrives, and unusual ones that may be.
func oddAnswers() []writtenAnswer {
	answer := func(name, status, fields, body string, invalid bool, content string) writtenAnswer {
		return writtenAnswer{name: name, head: "HTTP/1.1 " + status + "\r\nId: " + idMark + "\r\nSigned: yes\r\n" + fields + "\r\n", body: body, invalid: invalid, content: content}
	}
	var list []writtenAnswer
	for _, length := range []string{"-1", "-6", "+6", "", " ", "6, 6", "6, 7", "6x", "0x6", "6.0", "1000000", "9223372036854775807", "9223372036854775808", "18446744073709551622"} {
		list = append(list, answer("length "+length, "200 OK", "Content-Length: "+length+"\r\n", "answer", true, ""))
	}
	for _, encoding := range []string{"gzip, chunked", "chunked, chunked", "chunked\r\nTransfer-Encoding: chunked", "identity", "gzip", "", "xchunked"} {
		list = append(list, answer("encoding "+encoding, "200 OK", "Transfer-Encoding: "+encoding+"\r\n", "6\r\nanswer\r\n0\r\n\r\n", true, ""))
	}
	for _, chunk := range []string{"-6\r\nanswer\r\n", "+6\r\nanswer\r\n", "0x6\r\nanswer\r\n", "6 6\r\nanswer\r\n", "\r\nanswer\r\n", "6\r\nanswer", "7\r\nanswer\r\n", "5\r\nanswer\r\n", "fffffffffffffffff\r\nanswer\r\n", "ffffffffffffffff\r\nanswer\r\n", "7fffffffffffffff\r\nanswer\r\n"} {
		list = append(list, answer("chunk "+chunk, "200 OK", "Transfer-Encoding: chunked\r\n", chunk+"0\r\n\r\n", true, ""))
	}
	for _, body := range []string{"6\r\nanswer\r\n0\r\n\r\n", "6\r\nans", ""} {
		old := answer("HTTP/1.0, chunks "+body, "200 OK", "transfer-encoding: chunked\r\n", body, true, "")
		old.head = strings.Replace(old.head, "HTTP/1.1", "HTTP/1.0", 1)
		list = append(list, old)
	}
	return append(list,
		answer("lengths that differ", "200 OK", "Content-Length: 6\r\nContent-Length: 3\r\n", "answer", true, ""),
		answer("folded length", "200 OK", "Content-Length: 1\r\n 6\r\n", "answer", true, ""),
		answer("line that ends with CR", "200 OK", "Content-Length: 3\rX: y\r\n", "answer", true, ""),
		answer("line without a colon", "200 OK", "Content-Length\r\n", "answer", true, ""),
		answer("field that begins the fold", "200 OK\r\n Content-Length: 6", "", "answer", true, ""),
		answer("long line", "200 OK", "X: "+strings.Repeat("x", 64<<10)+"\r\n", "answer", true, ""),
		answer("long line without an end", "200 OK", "X: "+strings.Repeat("x", 64<<10), "", true, ""),
		answer("switches protocols", "101 Switching Protocols", "Upgrade: x\r\nConnection: upgrade\r\n", "answer", true, ""),
		answer("not modified", "304 Not Modified", "Content-Length: 6\r\n", "", true, ""),
		answer("moved", "302 Found", "Location: /x\r\nContent-Length: 0\r\n", "", true, ""),
		answer("no content", "204 No Content", "", "", false, ""),
		answer("no content with a length", "204 No Content", "Content-Length: 6\r\n", "", false, ""),
		answer("no content with a body", "204 No Content", "Content-Length: 6\r\n", "answer", false, ""),
		answer("empty", "200 OK", "Content-Length: 0\r\n", "", false, ""),
		answer("chunk extension", "200 OK", "Transfer-Encoding: chunked\r\n", "6;a=b\r\nanswer\r\n0\r\n\r\n", false, "answer"),
	)
}

// cutServer is the endpoint of all exchanges of a test. Each has a request ID of its own.
type cutServer struct {
	listener net.Listener
	// metrics are shared by the gateways, because each exchange has one of its own.
	metrics *Metrics
	serving sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
	cases map[string]*exchange
}

// exchange is one request of a client, whose answer is cut.
type exchange struct {
	cutTest
	id string
	// requests counts those that have arrived, and reused those that were not the first of their connection.
	requests, reused int
}

// pauseTime is how long an endpoint that pauses sends nothing, and how long one that resets the connection leaves to read its bytes.
const pauseTime = 5 * time.Millisecond

func newCutServer(t *testing.T) *cutServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	s := &cutServer{listener: l, metrics: metrics, conns: make(map[net.Conn]bool), cases: make(map[string]*exchange)}
	s.serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			s.serving.Go(func() { s.serve(conn.(*net.TCPConn)) })
		}
	})
	t.Cleanup(s.close)
	return s
}

func (s *cutServer) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
}

// add prepares an exchange.
func (s *cutServer) add(c cutTest) *exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &exchange{cutTest: c, id: fmt.Sprintf("%0*d", len(idMark), len(s.cases))}
	s.cases[x.id] = x
	return x
}

// arrived counts a request and returns its exchange.
func (s *cutServer) arrived(request *http.Request, first bool) (x *exchange, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x = s.cases[strings.TrimPrefix(request.Header.Get("Id"), warmUp)]
	if strings.HasPrefix(request.Header.Get("Id"), warmUp) {
		return x, 0
	}
	x.requests++
	if !first {
		x.reused++
	}
	return x, x.requests
}

func (s *cutServer) serve(conn *net.TCPConn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		x, number := s.arrived(request, first)
		whole := strings.Replace(x.answer.head+x.answer.body, idMark, x.id, 1)
		switch {
		case number == 0:
			_, err = io.WriteString(conn, warmAnswer(request))
		case x.once && number > 1:
			_, err = io.WriteString(conn, whole)
		default:
			x.sendCut(conn, reader, whole)
			return
		}
		if err != nil || x.answer.unframed && number > 0 {
			return
		}
	}
}

// warmUp begins the ID of a request that only opens a connection, whose answer is whole and leaves it open.
const warmUp = "warm-"

func warmAnswer(request *http.Request) string {
	const body = "id: 9\ndata: 9\n\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", request.Header.Get("Id"), len(body), body)
}

// sendCut sends a part of an answer and ends it.
func (c cutTest) sendCut(conn *net.TCPConn, reader io.Reader, whole string) {
	if _, err := io.WriteString(conn, whole[:c.cut]); err != nil {
		return
	}
	switch c.end {
	case closes:
		return
	case resets:
		time.Sleep(pauseTime)
		_ = conn.SetLinger(0)
		return
	case halfCloses:
		_ = conn.CloseWrite()
	case pauses:
		time.Sleep(pauseTime)
		if _, err := io.WriteString(conn, whole[c.cut:]); err != nil || c.answer.unframed {
			return
		}
	}
	// The gateway closes the connection.
	_, _ = io.Copy(io.Discard, reader)
}

// cutRoute is a route of the rig.
type cutRoute struct {
	path, service, model string
	stream               bool
}

var cutRoutes = []cutRoute{
	{path: "/plain/", service: "plain"}, {path: "/read/", service: "plain"},
	{path: "/chat/", service: "engine", model: "m", stream: true}, {path: "/resumable/", service: "engine", model: "m", stream: true},
}

// pipeListener accepts one connection in memory: thousands of exchanges would leave as many ports in use.
type pipeListener struct {
	conn     net.Conn
	accepted sync.Once
	done     chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (conn net.Conn, err error) {
	l.accepted.Do(func() { conn = l.conn })
	if conn != nil {
		return conn, nil
	}
	<-l.done
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *pipeListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return l.conn.LocalAddr() }

// send sends the request of an exchange to a gateway and returns all bytes that come back until the connection ends.
func (x *exchange) send(handler http.Handler, id string, timeout time.Duration) ([]byte, error) {
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	listener := &pipeListener{conn: server, done: make(chan struct{})}
	defer close(listener.done)
	go func() {
		s := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
		_ = s.Serve(listener)
	}()
	_ = client.SetDeadline(time.Now().Add(10 * time.Second))
	// A pipe keeps the timer of its deadline when it is closed.
	defer func() { _ = client.SetDeadline(time.Time{}) }()
	_, err := fmt.Fprintf(client, "POST %s HTTP/1.1\r\nHost: site\r\nId: %s\r\nModel: %s\r\nTimeout: %d\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
		x.route.path+id, id, x.route.model, timeout.Milliseconds())
	if err != nil {
		return nil, err
	}
	return io.ReadAll(client)
}

// rawAnswer is what the bytes of a connection say.
type rawAnswer struct {
	status int
	signed bool
	body   string
	// whole is set if the framing says that the answer is complete.
	whole bool
}

// parseRaw returns an error for bytes that are no answer, and for those after a whole one. No bytes are a broken connection.
func parseRaw(data []byte) (rawAnswer, error) {
	if len(data) == 0 {
		return rawAnswer{}, nil
	}
	reader := bufio.NewReader(bytes.NewReader(data))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return rawAnswer{}, nil
		}
		return rawAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	a := rawAnswer{status: response.StatusCode, signed: response.Header.Get("Signed") == "yes", body: string(body), whole: err == nil}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	switch {
	case !framed:
		return a, errors.New("the answer is not framed")
	case err == nil && reader.Buffered() > 0:
		return a, errors.New("there are bytes after the answer")
	}
	return a, nil
}

// cutTest is one exchange with an endpoint that cuts its answer.
type cutTest struct {
	route  cutRoute
	answer writtenAnswer
	cut    int
	end    ending
	// warm sends the request on a connection that has carried one before; once cuts only the first answer.
	warm, once bool
}

func (c cutTest) String() string {
	whole := c.answer.head + c.answer.body
	return fmt.Sprintf("%s, %s, %s after %q (%d of %d bytes)", c.route.path, c.answer.name, endingNames[c.end], whole[max(0, c.cut-40):c.cut], c.cut, len(whole))
}

// timeout is the client's; a silent endpoint costs all of it.
func (c cutTest) timeout() time.Duration {
	if c.end == fallsSilent {
		return time.Second
	}
	return 5 * time.Second
}

// sent returns the content that the endpoint has sent and whether its protocol says that this is all.
func (c cutTest) sent() (content string, whole bool) {
	total := len(c.answer.head) + len(c.answer.body)
	switch {
	case c.answer.invalid:
		return "", false
	case c.answer.unframed && (c.end == closes || c.end == halfCloses) && c.cut >= len(c.answer.head):
		return c.answer.body[:c.cut-len(c.answer.head)], true
	case c.answer.unframed:
		return c.answer.content, c.end == pauses
	}
	return c.answer.content, c.cut == total || c.end == pauses
}

// newGateway returns a gateway that knows only the server, as an endpoint of the route's service.
func (x *exchange) newGateway(s *cutServer) *Gateway {
	f := fleet.New("here", 1)
	f.SetConfig(testConfig())
	f.SetEndpoints([]catalog.Endpoint{{ID: x.route.service + "-1", Service: x.route.service, Address: s.listener.Addr().String(), Models: []string{"m"}, Revision: 1}})
	options := Options{Budget: routing.BudgetOptions{Burst: 100}, GatewayCount: func() int { return 1 }, Crashes: crashes.New(), Parts: crashes.NewParts(f.MayHaveEnded), Streams: streams.New(), InContact: func() bool { return true }}
	return New(options, testCodec{}, f, &http.Transport{DialContext: netconn.DialAbortive()}, slog.New(slog.DiscardHandler), s.metrics)
}

// errNewConnection is returned if a request came on a new connection, because the kept one was not free yet.
var errNewConnection = errors.New("the connection was not used again")

// run makes the exchange and returns what is wrong with it.
func (x *exchange) run(s *cutServer) error {
	gateway := x.newGateway(s)
	if x.warm {
		if _, err := x.send(gateway, warmUp+x.id, time.Second); err != nil {
			return err
		}
	}
	data, err := x.send(gateway, x.id, x.timeout())
	if err != nil {
		return err
	}
	a, err := parseRaw(data)
	if err != nil {
		return errors.Wrapf(err, "%q", data)
	}
	s.mu.Lock()
	requests, reused := x.requests, x.reused
	s.mu.Unlock()
	if x.warm && reused == 0 {
		return errNewConnection
	}
	if err := x.judge(a, requests); err != nil {
		return errors.Wrapf(err, "%q", data)
	}
	return nil
}

// judge returns what is wrong with what the client got, after a number of requests at the endpoint.
func (c cutTest) judge(a rawAnswer, requests int) error {
	content, whole := c.sent()
	if c.route.stream && (content == "" || !strings.HasSuffix(content, "\n\n")) {
		whole = false
	}
	success := a.status/100 == 2
	switch {
	case requests == 0:
		return errors.New("the endpoint got no request")
	case c.route.path == "/plain/" && requests > 1 || c.route.path == "/chat/" && requests > 1:
		return errors.Errorf("a request that may run once ran %d times", requests)
	case !success && whole && c.end != resets:
		return errors.New("a whole answer was not forwarded")
	case !success:
		if a.status == 0 || a.whole && (a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout) {
			return nil
		}
		return errors.New("neither a failure nor a broken connection")
	case !a.signed:
		return errors.New("a success without a signature")
	case !strings.HasPrefix(c.answer.content, a.body) || c.route.stream && a.body != "" && !strings.HasSuffix(a.body, "\n\n"):
		return errors.New("a body that the endpoint did not send")
	case a.whole && c.once && a.body == c.answer.content:
		return nil
	case a.whole && (!whole || a.body != content):
		return errors.New("a cut answer looks whole")
	case !a.whole && whole && c.end != resets:
		return errors.New("a whole answer was cut")
	}
	return nil
}

const (
	// exchangesAtOnce bounds the exchanges at a time, and waitingAtOnce those with silent endpoints, which only wait.
	exchangesAtOnce = 32
	waitingAtOnce   = 256
	// maxTries bounds the tries to make an exchange on a kept connection.
	maxTries = 5
)

// runAll runs exchanges.
func runAll(t *testing.T, tests []cutTest) {
	t.Helper()
	s := newCutServer(t)
	var running sync.WaitGroup
	slots := make(chan struct{}, exchangesAtOnce)
	if len(tests) > 0 && tests[0].end == fallsSilent {
		slots = make(chan struct{}, waitingAtOnce)
	}
	for _, c := range tests {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			err := errNewConnection
			for try := 0; try < maxTries && errors.Is(err, errNewConnection); try++ {
				err = s.add(c).run(s)
			}
			if err != nil {
				t.Errorf("%v: %v", c, err)
			}
		})
	}
	running.Wait()
}

// atEachByte returns one exchange for each byte of the answer that may be the last one.
func atEachByte(c cutTest) []cutTest {
	var list []cutTest
	for c.cut = 0; c.cut <= len(c.answer.head)+len(c.answer.body); c.cut++ {
		list = append(list, c)
	}
	return list
}

// answersFor returns the usual answers on a route.
func answersFor(route cutRoute) []writtenAnswer {
	if route.stream {
		return plainAnswers("id: 1\ndata: 1\n\nid: 2\nda", "ta: 2\n\nid: 3\ndata: 3\n\n")
	}
	return plainAnswers("the who", "le answer")
}

// usual returns whether the answer is framed as most answers are.
func (a writtenAnswer) usual() bool { return a.name == "length" || a.name == "chunks" }

// Guards against an endpoint that ends its connection in the middle of the head, the framing or the body of its answer, and whose
// client gets a success with a body that is empty or short and looks whole.
func TestAnswerThatIsCut(t *testing.T) {
	for _, route := range cutRoutes {
		for _, end := range []ending{closes, resets, halfCloses, fallsSilent, pauses} {
			for _, warm := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s, kept connection %v", route.path, endingNames[end], warm), func(t *testing.T) {
					var tests []cutTest
					for _, answer := range answersFor(route) {
						c := cutTest{route: route, answer: answer, end: end, warm: warm}
						if answer.usual() || !c.costly() {
							tests = append(tests, atEachByte(c)...)
						}
					}
					runAll(t, tests)
				})
			}
		}
	}
}

// costly reports whether the exchange is made with the usual answers only: it takes a tenth of a second or more, or its ending
// differs little from that of the others.
func (c cutTest) costly() bool {
	return c.end == fallsSilent || c.end == halfCloses || c.end == pauses || c.route.path == "/resumable/"
}

// Guards against an answer that is put together from a cut one and the whole one of another attempt.
func TestAnswerThatIsCutOnce(t *testing.T) {
	for _, route := range cutRoutes {
		for _, end := range []ending{closes, resets} {
			t.Run(route.path+" "+endingNames[end], func(t *testing.T) {
				var tests []cutTest
				for _, answer := range answersFor(route) {
					if answer.usual() {
						tests = append(tests, atEachByte(cutTest{route: route, answer: answer, end: end, once: true})...)
					}
				}
				runAll(t, tests)
			})
		}
	}
}

// Guards against framing that contradicts itself or that no sender may use, from which each reader would take another body.
func TestAnswerWithOddFraming(t *testing.T) {
	for _, route := range cutRoutes[:2] {
		for _, end := range []ending{closes, resets, fallsSilent} {
			for _, warm := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s, kept connection %v", route.path, endingNames[end], warm), func(t *testing.T) {
					var tests []cutTest
					for _, answer := range oddAnswers() {
						tests = append(tests, cutTest{route: route, answer: answer, end: end, warm: warm, cut: len(answer.head) + len(answer.body)})
					}
					runAll(t, tests)
				})
			}
		}
	}
}
