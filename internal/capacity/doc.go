// Package capacity measures how the cost of the system's components scales, and estimates the total cost at the size for
// which the system is designed. It contains only tests and benchmarks. docs/CAPACITY.md is based on their results.
//
// Each benchmark measures one slope (bytes or CPU time per additional model, peer, report or request) at three or more
// sizes and reports the fitted line:
//
//	go test ./internal/capacity -run '^$' -bench .
//
// The tests with real processes run the binary on loopback addresses. They are disabled by default, because they take
// minutes and hundreds of megabytes:
//
//	go test ./internal/capacity -run TestEntryPeers -capacity.run -timeout 30m -v
//	go test ./internal/capacity -run TestAgentPeers -capacity.run -timeout 30m -v
//	go test ./internal/capacity -run TestFleet      -capacity.run -timeout 30m -v
//
// TestSums computes each role's network traffic, CPU time and memory from the measured slopes and logs the tables of
// docs/CAPACITY.md.
package capacity
