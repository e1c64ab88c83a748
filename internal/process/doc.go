// Package process holds what every process of the product offers beside its duty: liveness, readiness with its reasons,
// metrics, the time line over HTTP, a logger, and an HTTP server that stops without cutting a request.
package process
