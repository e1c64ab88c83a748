package replicas

import (
	"balsamsail/internal/replicas/replicaspb"
)

// memo is what is worked out once for one row and one set of engines.
type memo struct {
	row   *replicaspb.Row
	index *engineIndex
	// granted are the positions of the engines that hold the GRANTED slots, in the order of the row; -1 when not known.
	granted []int
	// calm says that nothing was to be decided for the row under these declarations and this host list, that no passing of
	// time will change this, and that the row has no more than its home slots.
	calm            bool
	declared, hosts uint64
	// crowded is the failure domain that holds too many of the slots, once that was looked for.
	crowded      string
	crowdedKnown bool
}

// memo returns what is worked out for a model version's row.
func (r *run) memo(model string) *memo {
	row := r.snapshot.Rows[model].Row
	m := r.memos[model]
	if m != nil && m.row == row && m.index == r.index {
		return m
	}
	m = &memo{row: row, index: r.index}
	for _, s := range row.GetSlots() {
		if s.State == replicaspb.SlotState_GRANTED {
			m.granted = append(m.granted, r.index.holder(s.Engine, s.Host))
		}
	}
	r.memos[model] = m
	return m
}

// becomeCalm notes that nothing was to be decided for a row, if that will stay so while its inputs stay as they are.
func (r *run) becomeCalm(spec *ModelSpec, m *memo, d *draft) {
	home, _ := r.policy.bounds(*spec)
	if len(d.slots) != home {
		return
	}
	for _, engine := range m.granted {
		if engine < 0 || !r.index.engines[engine].Reachable {
			return
		}
	}
	m.calm = true
	m.declared = r.snapshot.Declared.Revision
	m.hosts = r.snapshot.Hosts.Version
}

// stillCalm reports whether nothing is to be decided for a row because nothing was and its inputs are the same.
func (r *run) stillCalm(m *memo, model string) bool {
	same := m.calm && m.declared == r.snapshot.Declared.Revision && m.hosts == r.snapshot.Hosts.Version
	return same && len(r.snapshot.Demand[model].Wants) == 0
}

// scratch is memory that is used again by each decision.
type scratch struct {
	// load and warm are the declared weights of each engine's slots, and of those of them that stay loaded; share is what an
	// engine's load would be if all were spread evenly.
	load, warm []int64
	share      []float64
	// held and loaded mark engines for one model version at a time, by the number of its turn.
	held, loaded []uint32
	turn         uint32
	found        []candidate
}

func (s *scratch) reset(engines int) {
	s.load = zeroed(s.load, engines)
	s.warm = zeroed(s.warm, engines)
	s.share = zeroed(s.share, engines)
	s.held = zeroed(s.held, engines)
	s.loaded = zeroed(s.loaded, engines)
	s.turn = 0
}

func zeroed[T any](s []T, n int) []T {
	if cap(s) < n {
		return make([]T, n)
	}
	s = s[:n]
	clear(s)
	return s
}
