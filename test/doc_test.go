// Package test holds integration tests that run the built binary: entries, agents and stand-ins are separate processes
// on loopback addresses, connected through fault-injecting proxies. The tests compare the answers that callers and
// operators got with the requests and orders that the stand-ins recorded as carried out.
package test
