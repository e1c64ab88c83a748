package clients

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"balsamsail/platform/standin"
)

// The crowds of the tests. Each of them takes a process that holds whatever its clients send beyond its limits.
const (
	crowdOfHeads       = 200
	crowdOfOddHeads    = 800
	crowdOfLongHeads   = 100
	crowdOfBodies      = 60
	crowdOfTrailers    = 900
	crowdOfSilence     = 400
	crowdOfNonReaders  = 60
	crowdOfSlowReaders = 20
	crowdOfStreams     = 500
	crowdOfEmptyLines  = 60
	unknownRounds      = 40
	// ownBufferBytes is the buffer of a client's own, unreadBytes what it may add to a gateway's and to that.
	ownBufferBytes     = 32 << 10
	unreadBytes        = 256 << 10
	headAtTheLimit     = maxHeaderBytes - 64
	longHeadBytes      = 60 << 10
	emptyLinesBytes    = 4 << 20
	missingBytes       = 10
	trailerBytes       = 4000
	pipelinedRequests  = 200
	pipelinedHeadBytes = 8 << 10
)

const chunkedField = "Transfer-Encoding: chunked\r\n"

func lengthField(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// checkCrowd checks what holds beside any crowd.
func (r *rig) checkCrowd(descriptors int) {
	r.t.Helper()
	r.checkServes(prefixOrdinary, []byte("ordinary"))
	checkWithin(r.t, r.process, descriptors)
}

// Guards against requests of legal size with very many short header lines, whose parsed form takes many times their length.
func TestWholeHeadsOfShortLines(t *testing.T) {
	r := startGateway(t, descriptors)
	head := r.headOf(http.MethodGet, prefixHeld, "", shortLines, headAtTheLimit)
	join(t, r.clients, crowdOfHeads, say(func(int) string { return head }))
	r.checkCrowd(descriptors)
}

// Guards against the same with lines of every odd kind.
func TestWholeHeadsOfOddLines(t *testing.T) {
	r := startGateway(t, descriptors)
	head := r.headOf(http.MethodGet, prefixHeld, "", oddLines, headAtTheLimit)
	join(t, r.clients, crowdOfOddHeads, say(func(int) string { return head }))
	r.checkCrowd(descriptors)
}

// Guards against heads of legal size that never end.
func TestUnfinishedHeads(t *testing.T) {
	r := startGateway(t, descriptors)
	head := strings.TrimSuffix(r.headOf(http.MethodGet, prefixHeld, "", shortLines, headAtTheLimit), "\r\n")
	join(t, r.clients, 2*crowdOfHeads, say(func(int) string { return head }))
	r.checkCrowd(descriptors)
}

// Guards against heads far over the limit that never end.
func TestHeadsOverTheLimit(t *testing.T) {
	r := startGateway(t, descriptors)
	head := strings.TrimSuffix(r.headOf(http.MethodGet, prefixHeld, "", shortLines, longHeadBytes), "\r\n")
	join(t, r.clients, crowdOfLongHeads, say(func(int) string { return head }))
	r.checkCrowd(descriptors)
}

// Guards against a request line that never ends.
func TestRequestLineWithoutEnd(t *testing.T) {
	r := startGateway(t, descriptors)
	line := "GET " + prefixHeld + strings.Repeat("p", emptyLinesBytes)
	join(t, r.clients, crowdOfEmptyLines, say(func(int) string { return line }))
	r.checkCrowd(descriptors)
}

// Guards against empty lines without end before a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	r := startGateway(t, descriptors)
	lines := strings.Repeat("\r\n", emptyLinesBytes/2)
	join(t, r.clients, crowdOfEmptyLines, say(func(int) string { return lines }))
	r.checkCrowd(descriptors)
}

// Guards against many large bodies of legal size at once, whole, of requests that wait.
func TestWholeBodies(t *testing.T) {
	r := startGateway(t, descriptors)
	head := r.requestHead(http.MethodPost, prefixHeld) + lengthField(maxBodyBytes) + "\r\n"
	join(t, r.clients, crowdOfBodies, func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, head)
		_, _ = conn.Write(wholeBody)
	})
	r.checkCrowd(descriptors)
}

// Guards against large bodies that stop just short of their end and stay open.
func TestUnfinishedBodies(t *testing.T) {
	r := startGateway(t, descriptors)
	head := r.requestHead(http.MethodPost, prefixHeld) + lengthField(maxBodyBytes) + "\r\n"
	join(t, r.clients, crowdOfBodies, func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, head)
		_, _ = conn.Write(wholeBody[missingBytes:])
	})
	r.checkCrowd(descriptors)
}

// Guards against the same bodies piece by piece, in chunks without a declared length.
func TestUnfinishedChunkedBodies(t *testing.T) {
	r := startGateway(t, descriptors)
	head := r.requestHead(http.MethodPost, prefixHeld) + chunkedField + "\r\n"
	body := chunked(wholeBody[missingBytes:], 64<<10)
	join(t, r.clients, crowdOfBodies, func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, head)
		_, _ = conn.Write(body)
	})
	r.checkCrowd(descriptors)
}

// Guards against chunks of one byte with long extensions.
func TestChunkExtensions(t *testing.T) {
	r := startGateway(t, descriptors)
	head := r.requestHead(http.MethodPost, prefixHeld) + chunkedField + "\r\n"
	body := strings.Repeat("1;"+strings.Repeat("e", 2000)+"\r\nb\r\n", 500)
	join(t, r.clients, crowdOfBodies, say(func(int) string { return head + body }))
	r.checkCrowd(descriptors)
}

// Guards against trailers of very many short lines of requests that wait.
func TestTrailersOfShortLines(t *testing.T) {
	r := startGateway(t, descriptors)
	request := r.requestHead(http.MethodPost, prefixHeld) + chunkedField + "\r\n1\r\nb\r\n0\r\n" + trailerLines(trailerBytes) + "\r\n"
	join(t, r.clients, crowdOfTrailers, say(func(int) string { return request }))
	r.checkCrowd(descriptors)
}

// Guards against connections on which nothing is ever sent: they must leave descriptors for endpoints, store and peers.
func TestSilentConnections(t *testing.T) {
	r := startGateway(t, fewDescriptors)
	join(t, r.clients, crowdOfSilence, func(net.Conn, int) {})
	r.checkCrowd(fewDescriptors)
}

// Guards against connections on which a request has been answered, and no other follows.
func TestIdleConnections(t *testing.T) {
	r := startGateway(t, fewDescriptors)
	request := r.requestHead(http.MethodGet, prefixOrdinary) + "\r\n"
	join(t, r.clients, crowdOfSilence, say(func(int) string { return request }))
	r.checkCrowd(fewDescriptors)
}

// Guards against requests that never get an answer from their endpoint: each takes two sockets.
func TestWaitingConnections(t *testing.T) {
	r := startGateway(t, fewDescriptors)
	request := r.requestHead(http.MethodGet, prefixHeld) + "\r\n"
	join(t, r.clients, crowdOfSilence, say(func(int) string { return request }))
	checkWithin(r.t, r.process, fewDescriptors)
}

// Guards against clients that do not read long responses: others must get theirs.
func TestLongResponsesThatAreNotRead(t *testing.T) {
	r := startGateway(t, descriptors)
	request := r.requestHead(http.MethodGet, prefixLarge) + "\r\n"
	join(t, r.clients, crowdOfNonReaders, say(func(int) string { return request }))
	r.checkServes(prefixLarge, nil)
	r.checkCrowd(descriptors)
}

// Guards against clients that read long responses so slowly that they never end: others must get theirs.
func TestLongResponsesThatAreReadSlowly(t *testing.T) {
	r := startGateway(t, descriptors)
	request := r.requestHead(http.MethodGet, prefixLarge) + "\r\n"
	join(t, r.clients, crowdOfSlowReaders, func(conn net.Conn, i int) {
		// One after the other, so that each finds what those before it have left.
		time.Sleep(time.Duration(i) * 100 * time.Millisecond)
		_, _ = io.WriteString(conn, request)
		_ = conn.SetDeadline(time.Time{})
		go func() {
			for {
				if _, err := conn.Read(make([]byte, 4<<10)); err != nil {
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		}()
	})
	r.checkServes(prefixLarge, nil)
	r.checkCrowd(descriptors)
}

// Guards against clients that do not read streams.
func TestStreamsThatAreNotRead(t *testing.T) {
	r := startGateway(t, descriptors)
	request := r.requestHead(http.MethodGet, prefixEvents) + "\r\n"
	join(t, r.clients, crowdOfStreams, say(func(int) string { return request }))
	r.checkCrowd(descriptors)
}

// Guards against requests that are sent behind one that waits.
func TestPipelinedRequests(t *testing.T) {
	r := startGateway(t, descriptors)
	first := r.requestHead(http.MethodGet, prefixHeld) + "\r\n"
	behind := strings.Repeat(r.headOf(http.MethodGet, prefixHeld, "", shortLines, pipelinedHeadBytes), pipelinedRequests)
	join(t, r.clients, crowdOfNonReaders, say(func(int) string { return first + behind }))
	r.checkCrowd(descriptors)
}

// Guards against bytes behind a request that waits, which nobody reads: the system keeps them for the process, in a buffer that has grown
// while a long body was read.
func TestUnreadBytesBehindARequest(t *testing.T) {
	r := startGateway(t, descriptors)
	conn, err := net.Dial("tcp", r.clients)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetWriteBuffer(ownBufferBytes); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, r.requestHead(http.MethodPost, prefixHeld)+lengthField(maxBodyBytes)+"\r\n"+string(wholeBody)); err != nil {
		t.Fatal(err)
	}
	r.await("the request is at its endpoint", func() bool { return r.held.Load() == 1 })
	taken := 0
	for portion := wholeBody[:16<<10]; ; {
		if err := conn.SetWriteDeadline(time.Now().Add(settle)); err != nil {
			t.Fatal(err)
		}
		n, err := conn.Write(portion)
		if taken += n; err != nil || taken > len(wholeBody) {
			break
		}
	}
	if taken > unreadBytes {
		t.Errorf("%d bytes were taken behind a request that waits", taken)
	}
	r.checkCrowd(descriptors)
}

// Guards against clients that close their sending side in the middle of a large body, and before the answer.
func TestHalfClosedRequests(t *testing.T) {
	r := startGateway(t, descriptors)
	head := r.requestHead(http.MethodPost, prefixHeld) + lengthField(maxBodyBytes) + "\r\n"
	join(t, r.clients, 2*crowdOfBodies, func(conn net.Conn, i int) {
		_, _ = io.WriteString(conn, head)
		_, _ = conn.Write(wholeBody[missingBytes*(i%2):])
		_ = conn.(*net.TCPConn).CloseWrite()
	})
	r.checkCrowd(descriptors)
}

// Guards against large requests whose clients leave at once, time and again.
func TestCancelledRequests(t *testing.T) {
	r := startGateway(t, descriptors)
	head := r.requestHead(http.MethodPost, prefixHeld) + lengthField(maxBodyBytes) + "\r\n"
	const rounds = 5
	for range rounds {
		join(t, r.clients, crowdOfBodies, func(conn net.Conn, i int) {
			_, _ = io.WriteString(conn, head)
			_, _ = conn.Write(wholeBody[missingBytes*(i%2):])
			_ = conn.Close()
		})
	}
	r.checkCrowd(descriptors)
}

// Guards against names of models that nobody has declared, a different one in each request, which are kept for ever.
func TestNamesOfUnknownModels(t *testing.T) {
	r := startGateway(t, descriptors)
	for round := range unknownRounds {
		visit(t, r.clients, crowdOfHeads, func(conn net.Conn, i int) {
			name := fmt.Sprintf("%d-%d-%s", round, i, strings.Repeat("m", headAtTheLimit-1000))
			_, _ = io.WriteString(conn, fmt.Sprintf("GET %sx HTTP/1.1\r\nHost: %s\r\n%s: u\r\n%s: 100\r\n%s: %s\r\n\r\n",
				prefixEngine, siteHost, standin.HeaderRequestID, standin.HeaderDeadline, standin.HeaderModel, name))
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		})
	}
	r.checkCrowd(descriptors)
}

// Guards against a limit that a client within the pages' limits meets: one request at all of them, in calm.
func TestOneRequestAtTheLimits(t *testing.T) {
	for _, c := range []struct {
		name    string
		lines   func(int) string
		chunked bool
	}{{"short lines", shortLines, false}, {"odd lines", oddLines, false}, {"odd lines, in chunks", oddLines, true}} {
		t.Run(c.name, func(t *testing.T) {
			r := startGateway(t, descriptors)
			framing, body := lengthField(maxBodyBytes), wholeBody
			if c.chunked {
				framing, body = chunkedField, append(chunked(wholeBody, 100_000), "0\r\n"+trailerLines(trailerBytes)+"\r\n"...)
			}
			conn, err := net.Dial("tcp", r.clients)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, r.headOf(http.MethodPost, prefixOrdinary, framing, c.lines, maxHeaderBytes)); err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Write(body); err != nil {
				t.Fatal(err)
			}
			if got := statusLine(t, conn); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
				t.Errorf("a request at the limits is answered with %q", got)
			}
			checkWithin(t, r.process, descriptors)
		})
	}
}

// statusLine reads the first line of a response.
func statusLine(t *testing.T, conn net.Conn) string {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(crowdTimeout)); err != nil {
		t.Fatal(err)
	}
	var line []byte
	for one := make([]byte, 1); len(line) == 0 || one[0] != '\n'; line = append(line, one[0]) {
		if _, err := conn.Read(one); err != nil {
			t.Fatalf("no response: %v", err)
		}
	}
	return string(line)
}
