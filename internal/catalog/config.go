// Package catalog holds what a site's operator and its endpoints declare: the routes and services of the newest
// configuration and the list of endpoints. It has no I/O and no clock; times are arguments.
package catalog

import (
	"strings"
	"time"
)

// Repeatability says what may be done with a request again.
type Repeatability int

// The repeatabilities of a route's requests.
const (
	// RunOnce requests run at most once.
	RunOnce Repeatability = iota
	// Idempotent requests may run more than once.
	Idempotent
)

// Route is a rule of the operator: which requests go to which service, and within which bounds.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Repeat says whether a request that may have run may be run again from the start.
	Repeat Repeatability
	// Streaming routes are answered with a series of events.
	Streaming bool
	// Resumable streams may be continued at another endpoint behind the last event that arrived.
	Resumable bool
	// Timeout is the longest time that a request may wait for the end of its answer.
	Timeout time.Duration
	// Target is the time within which an answer, or a stream's first event, is on time.
	Target time.Duration
	// GapTarget is the longest pause between the events of a stream that is still on time; 0 means none was set.
	GapTarget time.Duration
	// Urgency ranks the route; 0 is the most urgent.
	Urgency int
	// Services lists where the requests go, by weight.
	Services []WeightedService
	// MaxAttempts bounds the endpoints that one request may be sent to.
	MaxAttempts int
}

// WeightedService is one of the services of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Pick chooses a service by its weight; draw lies in [0, 1).
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
	// MaxConnections is how many connections one endpoint takes from all callers together; 0 means no bound.
	MaxConnections int
	// Engine is set where the endpoints serve models.
	Engine *EngineClass
}

// EngineClass describes the engines of a service, which are alike.
type EngineClass struct {
	// Batch is how many requests an engine runs at once.
	Batch int
	// MemoryMB is the room for weights of models and adapters together.
	MemoryMB float64
	// AdapterPlaces bounds the adapters of an engine, those in transit included.
	AdapterPlaces int
	// LoadsPerSecond bounds how many loads from the weight store may begin a second, over all engines.
	LoadsPerSecond float64
	// Models by name.
	Models map[string]Model
}

// Model is what a service may be asked to serve.
type Model struct {
	Name   string
	SizeMB float64
	// LoadTime, DiskTime and MemoryTime are how long a load takes from the weight store, from the host's disk and from
	// the host's memory.
	LoadTime, DiskTime, MemoryTime time.Duration
	AdapterMB                      float64
	// Adapters is how many adapters the operator declares for it.
	Adapters int
}

// ClientLimits bound what a client may send, and how long it may take.
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

// Match returns the route of a request: among those of its host, the one with the longest prefix of the path.
func (c *Config) Match(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// Routes returns how many routes there are.
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
