package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"balsamsail/platform/standin"
)

// The members of a crowd at one gateway, by what they do. None of them ever completes a request.
const (
	crowdSilent   = 80
	crowdHeads    = 60
	crowdBodies   = 40
	crowdDripping = 20
	// crowdHeadLines is the number of short lines in an unfinished head, crowdBodyBytes the declared length of a body that stops
	// short of its end, at the limit that the site declares.
	crowdHeadLines = 3000
	crowdBodyBytes = maxBodyBytes
	// dripPause is the time between two bytes of a member that sends a byte now and then.
	dripPause = 100 * ms
)

// sendCrowd opens the connections of clients that do not behave at a gateway. They stay open until the returned function is called, or the
// gateway closes them.
func (s *site) sendCrowd(h *host) func() {
	ended := make(chan struct{})
	join := func(n int, send func(conn net.Conn)) {
		for range n {
			go func() {
				conn, err := net.DialTimeout("tcp", h.frontend, dialTimeout)
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				gone := make(chan struct{})
				go func() { defer close(gone); _, _ = io.Copy(io.Discard, conn) }()
				send(conn)
				select {
				case <-ended:
				case <-gone:
				}
			}()
		}
	}
	begin := "POST " + prefixRead + "crowd HTTP/1.1\r\nHost: " + siteHost + "\r\n" + standin.HeaderRequestID + ": crowd\r\n"
	head := begin + strings.Repeat("a:\n", crowdHeadLines)
	body := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", begin, crowdBodyBytes, strings.Repeat("b", crowdBodyBytes-1))
	join(crowdSilent, func(net.Conn) {})
	join(crowdHeads, func(conn net.Conn) { _, _ = io.WriteString(conn, head) })
	join(crowdBodies, func(conn net.Conn) { _, _ = io.WriteString(conn, body) })
	join(crowdDripping, func(conn net.Conn) {
		for i := range len(begin) {
			if _, err := io.WriteString(conn, begin[i:i+1]); err != nil {
				return
			}
			select {
			case <-ended:
				return
			case <-time.After(dripPause):
			}
		}
	})
	return func() { close(ended) }
}
