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

// ErrNotLoopback says that a target is not on this machine's loopback interface; nothing was sent.
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
		return errors.Wrapf(ErrOptions, "%q: a URL that begins with http:// is wanted", target)
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

// newDialer returns a dialer that checks each address once more before it connects: "localhost" may resolve to another
// machine, which the load must never reach.
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
