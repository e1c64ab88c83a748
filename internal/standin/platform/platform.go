// Package platform is a stand-in for the services of the platform, for tests and the dev command: the transactional table,
// the object store, the weight store and the host list, in one HTTP server that keeps everything in memory.
//
//	GET    /table/row?key=K             backing.Row, 404 if absent
//	GET    /table/rows?prefix=P&after=N backing.Listing
//	POST   /table/commit                takes a backing.Txn; {"revision":N}, or 409 with {"key","revision"}
//	PUT    /objects/{name}              immutable blob; 409 if it exists with other content
//	GET    /objects/{name}
//	POST   /weights/fetch               takes a FetchRequest; responds when the transfer ends
//	GET    /hosts                       {"version","hosts"}, delayed by HostsLag
//	PUT    /hosts/{id}                  takes a backing.Host
//	DELETE /hosts/{id}                  marks the host as gone
//	GET    /faults, POST, DELETE        Faults
//	GET    /truth                       Truth
package platform

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	"balsamsail/internal/standin/control"
)

// Options configure the stand-in. A zero value selects the default, which is given in parentheses.
type Options struct {
	// Clock is the source of time (the system clock).
	Clock clock.Clock
	// Seed seeds the random choices of faults.
	Seed uint64
	// Table and Objects are the rate limits of the two stores.
	Table, Objects StoreLimits
	// Weights are the limits of the weight store.
	Weights WeightLimits
	// HostsLag is the delay after which a change becomes visible in the host list.
	HostsLag time.Duration
	// GoneRetention is how long a host stays listed after it is gone (one minute).
	GoneRetention time.Duration
	// Hosts are visible from the start, without lag.
	Hosts []backing.Host
}

// StoreLimits are the rate limits of a store.
type StoreLimits struct {
	// ReadsPerSecond (2000) and WritesPerSecond (400) are in calls a second, with a burst of one second's calls.
	ReadsPerSecond, WritesPerSecond float64
}

// Server is the stand-in.
type Server struct {
	clock   clock.Clock
	faults  *control.FaultSet[Faults]
	table   *table
	objects *objects
	weights *weights
	hosts   *hosts
	router  chi.Router
}

// New returns a stand-in without rows and objects.
func New(o Options) *Server {
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	if o.GoneRetention == 0 {
		o.GoneRetention = time.Minute
	}
	s := &Server{clock: o.Clock, faults: control.NewFaultSet[Faults](o.Seed), router: chi.NewRouter()}
	s.table = &table{
		store: newStore(s, o.Table, func(f *Faults) *StoreFaults { return &f.Table }),
		rows:  map[string]backing.Row{},
	}
	s.objects = &objects{
		store: newStore(s, o.Objects, func(f *Faults) *StoreFaults { return &f.Objects }),
		blobs: map[string][]byte{},
	}
	s.weights = newWeights(s, o.Weights)
	s.hosts = newHosts(s, o)
	s.table.mount(s.router)
	s.objects.mount(s.router)
	s.weights.mount(s.router)
	s.hosts.mount(s.router)
	s.faults.Mount(s.router)
	s.router.Get("/truth", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.Truth())
	})
	return s
}

// Handler returns the server's HTTP handler.
func (s *Server) Handler() http.Handler { return s.router }

// Faults returns the injected faults, which the caller may change.
func (s *Server) Faults() *control.FaultSet[Faults] { return s.faults }

// Truth is what really happened at the stores, including calls whose responses were lost.
type Truth struct {
	Table   StoreTruth  `json:"table"`
	Objects StoreTruth  `json:"objects"`
	Weights WeightTruth `json:"weights"`
}

// Truth returns the counts since the start.
func (s *Server) Truth() Truth {
	return Truth{Table: s.table.store.truth(), Objects: s.objects.store.truth(), Weights: s.weights.counts()}
}
