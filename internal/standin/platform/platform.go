// Package platform stands in for the services that the platform runs, for tests and the dev command: the transactional
// table, the object store, the weight store and the host list, in one HTTP server that keeps all in memory.
//
//	GET    /table/row?key=K             backing.Row, 404 if absent
//	GET    /table/rows?prefix=P&after=N backing.Listing
//	POST   /table/commit                backing.Txn in, {"revision":N} out; 409 with {"key","revision"}
//	PUT    /objects/{name}              immutable blob; 409 if it exists with other content
//	GET    /objects/{name}
//	POST   /weights/fetch               FetchRequest in; the answer comes when the transfer ends
//	GET    /hosts                       {"version","hosts"}, lagging
//	PUT    /hosts/{id}                  backing.Host in
//	DELETE /hosts/{id}                  the host is gone
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

// Options are the settings of the stand-in. A zero takes the default that is given with it.
type Options struct {
	// Clock is the source of time (the machine's).
	Clock clock.Clock
	// Seed seeds the chances of faults.
	Seed uint64
	// Table and Objects limit the calls of each store.
	Table, Objects StoreLimits
	// Weights limits the weight store.
	Weights WeightLimits
	// HostsLag is how far the host list runs behind.
	HostsLag time.Duration
	// GoneListed is how long a host that is gone stays listed (one minute).
	GoneListed time.Duration
	// Hosts are listed from the start, without lag.
	Hosts []backing.Host
}

// StoreLimits are the calls a second that a store takes.
type StoreLimits struct {
	// ReadsPerSecond (2000) and WritesPerSecond (400); a second's worth may come at once.
	ReadsPerSecond, WritesPerSecond float64
}

// Server is the stand-in.
type Server struct {
	clock   clock.Clock
	faults  *control.Switch[Faults]
	table   *table
	objects *objects
	weights *weights
	hosts   *hosts
	router  chi.Router
}

// New returns a stand-in that holds no rows and no objects.
func New(o Options) *Server {
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	if o.GoneListed == 0 {
		o.GoneListed = time.Minute
	}
	s := &Server{clock: o.Clock, faults: control.NewSwitch[Faults](o.Seed), router: chi.NewRouter()}
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

// Handler returns the server's HTTP interface.
func (s *Server) Handler() http.Handler { return s.router }

// Faults returns the switch of the faults.
func (s *Server) Faults() *control.Switch[Faults] { return s.faults }

// Truth is what really happened.
type Truth struct {
	Table   StoreTruth  `json:"table"`
	Objects StoreTruth  `json:"objects"`
	Weights WeightTruth `json:"weights"`
}

// Truth returns the counts since the start.
func (s *Server) Truth() Truth {
	return Truth{Table: s.table.store.truth(), Objects: s.objects.store.truth(), Weights: s.weights.counts()}
}
