// Package load measures a running system with an open loop: requests are sent at planned times, whether or not earlier
// ones have been answered, and each latency counts from the planned time. A system that stalls is so charged for all
// requests that came during the stall, not only for the few that were in flight (no coordinated omission).
//
// It sends to loopback addresses only.
package load
