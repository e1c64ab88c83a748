// Package netconn makes TCP connections between hosts and detects an unresponsive peer within seconds.
package netconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds the connection setup. A round trip within a site takes a few milliseconds, and the kernel
	// retransmits a lost SYN after one second.
	DialTimeout = 1200 * time.Millisecond
	// probeIdle and probeInterval are set to the kernel's minimum of one second. A connection is closed after
	// probeCount unanswered keepalive probes, so an unresponsive peer is detected within about three seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout bounds the time for which sent data may remain unacknowledged.
	userTimeout = 2 * time.Second
)

// Dialer returns a dialer whose connections fail when the peer becomes unresponsive.
//
// When a host is partitioned or loses power, its connections are not reset: a read would block forever, and a request
// written to one would appear to be in flight. Keepalive probes detect this on idle connections, and TCP_USER_TIMEOUT
// on those with unacknowledged data.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         DialTimeout,
		KeepAliveConfig: keepAlive(),
		ControlContext: func(_ context.Context, _, _ string, c syscall.RawConn) error {
			return setUserTimeout(c)
		},
	}
}

// ListenConfig returns the configuration of a listener whose connections fail when the peer becomes unresponsive.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: func(_, _ string, c syscall.RawConn) error {
		return setUserTimeout(c)
	}}
}

// clientReadBuffer is the receive buffer of a client's connection in bytes, of which the kernel allocates twice as much. It carries
// 5 MB/s over a round trip of 6 ms.
const clientReadBuffer = 32 << 10

// ClientListenConfig is ListenConfig for connections of clients. Their receive buffers do not grow: what a client sends and nobody reads
// is memory of this host.
func ClientListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: func(_, _ string, c syscall.RawConn) error {
		if err := setOption(c, unix.SOL_SOCKET, unix.SO_RCVBUF, clientReadBuffer); err != nil {
			return err
		}
		return setUserTimeout(c)
	}}
}

// DialAbortive returns a dial function whose connections are reset when they are closed.
//
// This prevents a request from arriving after its client has given up. Data for a host that is suspended or partitioned
// stays in the sender's kernel, and after an orderly close it would still be delivered when the host recovers, seconds
// later. A reset discards it.
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
	return setOption(c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
}

func setOption(c syscall.RawConn, level, option, value int) error {
	var sockErr error
	err := c.Control(func(fd uintptr) { sockErr = unix.SetsockoptInt(int(fd), level, option, value) })
	if err != nil {
		return err
	}
	return sockErr
}
