// Package test runs the built binary: entries, agents and stand-ins as separate processes on loopback addresses, with a
// fault-injecting proxy on the paths between them. It compares what callers and operators are told with what the
// stand-ins know really happened.
package test
