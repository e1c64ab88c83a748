// Package capacity measures how the cost of the system's components scales. It contains only tests and benchmarks. Each
// benchmark measures one slope (bytes or CPU time per additional model, peer, report or request) at three or more sizes and
// reports the fitted line:
//
//	go test ./internal/capacity -run '^$' -bench .
package capacity
