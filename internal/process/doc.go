// Package process provides what all processes have in common: liveness, readiness with reasons, metrics, the timeline over
// HTTP, a logger, and an HTTP server with graceful shutdown.
package process
