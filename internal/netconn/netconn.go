// Package netconn makes TCP connections between hosts on which a silent peer shows within seconds.
package netconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds the making of a connection: a round trip within a site takes a few milliseconds, and the kernel
	// repeats a lost opening packet after one second.
	DialTimeout = 1200 * time.Millisecond
	// probeIdle and probeInterval are the shortest times that the kernel takes, one second; after probeCount unanswered
	// probes a connection is broken, so a peer that fell silent shows within about three seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// unackedLimit bounds the time for which sent bytes may stay without an acknowledgement.
	unackedLimit = 2 * time.Second
)

// Dialer returns a dialer whose connections break when the peer falls silent.
//
// It guards against a connection that a cut-off or powered-off host leaves behind: nothing resets it, so a read on it would
// wait for ever and a request written to it would seem to be under way. The kernel's probes answer for an idle connection,
// and TCP_USER_TIMEOUT for one with bytes under way.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         DialTimeout,
		KeepAliveConfig: keepAlive(),
		ControlContext: func(_ context.Context, _, _ string, c syscall.RawConn) error {
			return setUserTimeout(c)
		},
	}
}

// ListenConfig returns the settings of a listener whose connections break when the peer falls silent.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: func(_, _ string, c syscall.RawConn) error {
		return setUserTimeout(c)
	}}
}

// DialAbortive returns a dial function whose connections are reset when they are closed.
//
// It guards against a request that arrives after its client has left: bytes for a host that stands still, or is cut off,
// wait in the sender's kernel, and after an orderly close they are still delivered when the host is back, seconds later. A
// reset drops them.
func DialAbortive() func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := Dialer()
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				_ = conn.Close()
				return nil, err
			}
		}
		return conn, nil
	}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

func setUserTimeout(c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
