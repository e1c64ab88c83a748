package test

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// The ports that processes listen on, each on its host's own address.
const (
	portClients   = 8080
	portOperator = 8081
	portAgent     = 7000
	portAgentHTTP = 7001
	portEndpoint  = 9000
	portLink      = 6000
)

// addresses hands out loopback addresses. The second and third byte come from the process's number, so that test runs at
// the same time do not meet.
type addressPool struct {
	mu   sync.Mutex
	next int
}

var loopbackAddresses addressPool

// first and last bound the last byte of an address.
const (
	firstHost = 1
	lastHost  = 254
)

// take returns an address on which nothing of this test run listens.
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

// free reports whether all ports of an address can be listened on.
func portsFree(ip string) bool {
	for _, port := range []int{portClients, portOperator, portAgent, portAgentHTTP, portEndpoint} {
		listener, err := net.Listen("tcp", hostPort(ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// at joins an address and a port.
func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// takeAddress returns an address for one host of the test.
func allocateAddress(t *testing.T) string {
	t.Helper()
	ip := loopbackAddresses.allocate()
	if ip == "" {
		t.Fatal("no loopback address is free")
	}
	return ip
}
