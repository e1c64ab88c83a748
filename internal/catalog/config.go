// Package catalog holds the operator's configuration (routes and services) and the list of registered endpoints. It
// does no I/O and reads no clock; times are arguments.
package catalog

import (
	"strings"
	"time"
)

// Repeatability is whether a request may be executed more than once.
type Repeatability int

// Values of Repeatability.
const (
	// RunOnce requests run at most once.
	RunOnce Repeatability = iota
	// Idempotent requests may run more than once.
	Idempotent
)

// Route is a routing rule of the operator: which requests go to which services, and within which limits.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Repeat is whether a request that may already have been executed may be sent again.
	Repeat Repeatability
	// Streaming is set for routes that answer with a stream of events.
	Streaming bool
	// Resumable is set for streams that can be continued at another endpoint after the last event received.
	Resumable bool
	// Timeout bounds the time from a request to the end of its answer.
	Timeout time.Duration
	// Target is the latency target: the time within which the answer, or the first event of a stream, is on time.
	Target time.Duration
	// GapTarget is the latency target between two events of a stream; 0 means none is set.
	GapTarget time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Services are the destinations of the requests, with their weights.
	Services []WeightedService
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
}

// WeightedService is a service of a route with its share of the traffic.
type WeightedService struct {
	Service string
	Weight  float64
}

// Pick returns a service chosen by weight; draw is a random number in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	rest := draw * total
	for _, s := range r.Services {
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}

// Service is a pool of endpoints.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one endpoint from all clients together; 0 means no bound.
	MaxConnections int
	// Engine is set if the endpoints are model engines.
	Engine *EngineClass
}

// EngineClass describes the engines of a service, all of which have the same properties.
type EngineClass struct {
	// Batch is how many requests an engine runs at once.
	Batch int
	// MemoryMB is the memory for the weights of models and adapters together.
	MemoryMB float64
	// MaxAdapters bounds the adapters of an engine, including those being loaded or unloaded.
	MaxAdapters int
	// LoadsPerSecond bounds the loads from the weight store that start per second, over all engines.
	LoadsPerSecond float64
	// Models is keyed by model name.
	Models map[string]Model
}

// Model is a model that a service can serve.
type Model struct {
	Name   string
	SizeMB float64
	// StoreLoadTime, DiskTime and MemoryTime are the times of a load from the weight store, from the host's disk and from
	// the host's memory.
	StoreLoadTime, DiskTime, MemoryTime time.Duration
	AdapterMB                           float64
	// Adapters is the number of adapters declared for the model.
	Adapters int
}

// ClientLimits bounds the size of a client's requests and the time a client may take.
type ClientLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  int64
	Limits   ClientLimits
	Services map[string]*Service
	routes   map[string][]*Route
}

// NewConfig returns a configuration with the given routes.
func NewConfig(version int64, limits ClientLimits, services map[string]*Service, routes []*Route) *Config {
	c := &Config{Version: version, Limits: limits, Services: services, routes: make(map[string][]*Route)}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	return c
}

// Match returns the route of a request: of the routes for its host, the one with the longest prefix of its path. Path and prefixes
// are compared as they are written, without decoding.
func (c *Config) Match(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// Routes returns the number of routes.
func (c *Config) Routes() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}

// EngineClass returns the class of a service's engines, or nil for a plain or unknown service and before the first
// configuration.
func (c *Config) EngineClass(service string) *EngineClass {
	if c == nil || c.Services[service] == nil {
		return nil
	}
	return c.Services[service].Engine
}
