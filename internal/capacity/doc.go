// Package capacity measures what the system's parts cost as they grow, and sums the figures up for the size that the
// system is designed for. It holds tests and benchmarks only; docs/CAPACITY.md is written from them.
//
// The benchmarks measure one slope each (bytes and processor time for one more model, peer, report, request) at three
// sizes or more and log the line that fits them:
//
//	go test ./internal/capacity -run '^$' -bench .
//
// The runs with real processes start the built binary on loopback addresses. They are not part of the ordinary tests,
// because they take minutes and hundreds of megabytes:
//
//	go test ./internal/capacity -run TestEntryPeers -capacity.run -timeout 30m -v
//	go test ./internal/capacity -run TestAgentPeers -capacity.run -timeout 30m -v
//	go test ./internal/capacity -run TestFleet      -capacity.run -timeout 30m -v
//
// TestSums works out each role's state, messages, processor time and memory from the measured slopes and prints the
// tables of the page.
package capacity
