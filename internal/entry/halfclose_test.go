package entry

import (
	"net"
	"testing"
)

// Guards against a caller that closes its side of the connection before its response is complete and gets a success that looks
// complete.
func TestCallerThatClosesItsSide(t *testing.T) {
	for _, c := range []struct {
		name   string
		script func(x *fakeStream)
	}{
		{"waiting", func(x *fakeStream) { x.accepted() }},
		{"running", func(x *fakeStream) { x.accepted(); x.ready() }},
		{"after the head", func(x *fakeStream) { x.head(200) }},
		{"within the body", func(x *fakeStream) { x.head(200); x.body("part") }},
		{"within a stream", func(x *fakeStream) { x.head(200, eventStream); x.body("data: 1\n\n") }},
	} {
		for _, method := range []string{"PUT", "POST"} {
			t.Run(method+" "+c.name, func(t *testing.T) {
				t.Parallel()
				s := newSite(t, siteOptions{agents: 1})
				reached := make(chan struct{}, 8)
				s.agents[0].setScript(func(x *fakeStream) {
					if x.offer.TwoStep && c.name != "waiting" && !x.committed() {
						return
					}
					c.script(x)
					reached <- struct{}{}
					x.stall()
				})
				conn := s.raw(method + " /ledger/n HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
				receive(t, reached, "the request did not reach the endpoint")
				_ = conn.(*net.TCPConn).CloseWrite()
				if got := rawReply(t, conn); !got.truncated && got.status/100 == 2 {
					t.Errorf("got %s", got.text())
				}
			})
		}
	}
}
