// Package load is an open-loop load generator: requests are sent at planned times, whether or not earlier ones have
// completed, and each latency is measured from the planned time. A stall of the system therefore counts against all
// requests due during the stall, not only those in flight (no coordinated omission).
//
// It sends to loopback addresses only.
package load
