package replicas

import (
	"balsamsail/internal/replicas/replicaspb"
)

// rowCache holds data derived from one row and one set of engines.
type rowCache struct {
	row   *replicaspb.Row
	index *engineIndex
	// granted are the indices of the engines that hold the GRANTED slots, in the order of the row; -1 if unknown.
	granted []int
	// steady means that the row needs no change under these declarations and this host list, that time alone will not
	// change this, and that the row has exactly its baseline slots.
	steady          bool
	declared, hosts uint64
	// crowdedDomain is the failure domain that holds too many of the slots, valid once crowdedComputed is true.
	crowdedDomain   string
	crowdedComputed bool
}

// rowCache returns the cache of a model version's row.
func (r *decisionRun) rowCache(model string) *rowCache {
	row := r.snapshot.Rows[model].Row
	m := r.caches[model]
	if m != nil && m.row == row && m.index == r.index {
		return m
	}
	m = &rowCache{row: row, index: r.index}
	for _, s := range row.GetSlots() {
		if s.State == replicaspb.SlotState_GRANTED {
			m.granted = append(m.granted, r.index.holder(s.Engine, s.Host))
		}
	}
	r.caches[model] = m
	return m
}

// markSteady marks a row that needs no change as steady, if it will need none while its inputs stay the same.
func (r *decisionRun) markSteady(spec *ModelSpec, m *rowCache, d *draft) {
	baseline, _ := r.policy.bounds(*spec)
	if len(d.slots) != baseline {
		return
	}
	for _, engine := range m.granted {
		if engine < 0 || !r.index.engines[engine].Reachable {
			return
		}
	}
	m.steady = true
	m.declared = r.snapshot.Declared.Revision
	m.hosts = r.snapshot.Hosts.Version
}

// isSteady reports whether a row needs no change because it needed none before and its inputs are the same.
func (r *decisionRun) isSteady(m *rowCache, model string) bool {
	same := m.steady && m.declared == r.snapshot.Declared.Revision && m.hosts == r.snapshot.Hosts.Version
	return same && len(r.snapshot.Demand[model].SlotRequests) == 0
}

// scratch holds buffers that are reused by each decision.
type scratch struct {
	// load is the declared memory of the slots that each engine holds, and warm that of those which stay loaded. share
	// is the load that the engine would have if all load were spread evenly.
	load, warm []int64
	share      []float64
	// held and loaded mark engines for one model version at a time: an engine is marked if its entry equals the current
	// mark.
	held, loaded []uint32
	mark         uint32
	candidateBuf []candidate
}

func (s *scratch) reset(engines int) {
	s.load = zeroed(s.load, engines)
	s.warm = zeroed(s.warm, engines)
	s.share = zeroed(s.share, engines)
	s.held = zeroed(s.held, engines)
	s.loaded = zeroed(s.loaded, engines)
	s.mark = 0
}

func zeroed[T any](s []T, n int) []T {
	if cap(s) < n {
		return make([]T, n)
	}
	s = s[:n]
	clear(s)
	return s
}
