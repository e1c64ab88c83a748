package load

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrNotLoopback reports that a target is not on this machine's loopback interface; nothing was sent.
var ErrNotLoopback = errors.New("load: only loopback addresses are allowed")

const (
	localhost   = "localhost"
	dialTimeout = 5 * time.Second
)

// checkLoopback accepts http URLs whose host is a loopback address or "localhost".
func checkLoopback(target string) error {
	parsed, err := url.Parse(target)
	if err != nil {
		return errors.Wrap(ErrOptions, err.Error())
	}
	if parsed.Scheme != "http" {
		return errors.Wrapf(ErrOptions, "%q: the URL must begin with http://", target)
	}
	if parsed.Hostname() == localhost {
		return nil
	}
	address, err := netip.ParseAddr(parsed.Hostname())
	if err != nil || !address.Unmap().IsLoopback() {
		return errors.Wrapf(ErrNotLoopback, "%q", target)
	}
	return nil
}

// newDialer returns a dialer that checks each resolved address before it connects, because "localhost" may resolve to
// another machine, to which no load may be sent.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		ControlContext: func(_ context.Context, _, address string, _ syscall.RawConn) error {
			return checkLoopback("http://" + address)
		},
	}
}

// newTransport returns a transport that connects to loopback addresses only.
func newTransport(concurrency int) *http.Transport {
	return &http.Transport{
		DialContext:         newDialer().DialContext,
		MaxIdleConns:        concurrency,
		MaxIdleConnsPerHost: concurrency,
		DisableCompression:  true,
	}
}
