package test

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// The ports that processes listen on; each host has a loopback address of its own.
const (
	portCaller    = 8080
	portOperator  = 8081
	portAgent     = 7000
	portAgentHTTP = 7001
	portEndpoint  = 9000
	portLink      = 6000
)

// addressPool allocates loopback addresses. The second and third byte are derived from the process ID, so that
// concurrent test runs don't use the same addresses.
type addressPool struct {
	mu   sync.Mutex
	next int
}

var loopbackAddresses addressPool

// firstHost and lastHost are the lowest and highest last byte of an address.
const (
	firstHost = 1
	lastHost  = 254
)

// allocate returns an address whose ports are all unused, or "" if there is none.
func (a *addressPool) allocate() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for range lastHost {
		ip := fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()>>8%200, os.Getpid()%256, firstHost+a.next%lastHost)
		a.next++
		if portsFree(ip) {
			return ip
		}
	}
	return ""
}

// portsFree reports whether no port of an address is in use.
func portsFree(ip string) bool {
	for _, port := range []int{portCaller, portOperator, portAgent, portAgentHTTP, portEndpoint} {
		listener, err := net.Listen("tcp", hostPort(ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// hostPort joins an IP address and a port.
func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// allocateAddress returns an unused address for one host of the test.
func allocateAddress(t *testing.T) string {
	t.Helper()
	ip := loopbackAddresses.allocate()
	if ip == "" {
		t.Fatal("no loopback address is free")
	}
	return ip
}
