// Package repeattest runs a client against a server that sends an answer once more, where the next one on its connection is due.
package repeattest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Answer returns an answer with a JSON body; header holds further fields, each with its line end.
func Answer(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// Start starts a server that gives the answers in their order, one to each call. When it has read a call, it sends the last answer on
// that call's connection once more, if there was one, and then the answer to the call. It returns the server's address.
func Start(t *testing.T, answers ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	queue := make(chan string, len(answers))
	for _, a := range answers {
		queue <- a
	}
	close(queue)
	var mu sync.Mutex
	var conns []net.Conn
	var serving sync.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		mu.Lock()
		for _, conn := range conns {
			_ = conn.Close()
		}
		mu.Unlock()
		serving.Wait()
	})
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			serving.Go(func() { serve(conn, queue) })
		}
	})
	return listener.Addr().String()
}

func serve(conn net.Conn, answers <-chan string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	last := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		next, ok := <-answers
		if !ok {
			return
		}
		if _, err := io.WriteString(conn, last+next); err != nil {
			return
		}
		last = next
	}
}
