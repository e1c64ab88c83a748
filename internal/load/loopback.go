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

// newTransport returns a transport that connects to loopback addresses only.
//
// The dialer checks each address again: "localhost" may resolve to another machine, which the load must never reach.
func newTransport(concurrency int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		ControlContext: func(_ context.Context, _, address string, _ syscall.RawConn) error {
			return checkLoopback("http://" + address)
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        concurrency,
		MaxIdleConnsPerHost: concurrency,
		DisableCompression:  true,
	}
}
