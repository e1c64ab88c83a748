package loading

// size is an amount of memory.
type size struct {
	// bytes are weights, which the engine reports as used, and kvFloor is the KV cache space to keep free in addition.
	bytes, kvFloor int64
}

func (s size) plus(o size) size  { return size{s.bytes + o.bytes, s.kvFloor + o.kvFloor} }
func (s size) minus(o size) size { return size{s.bytes - o.bytes, s.kvFloor - o.kvFloor} }

// sizeOf returns the declared size of a holding when loaded.
func (m *Machine) sizeOf(h *holding) size {
	if h.isAdapter() {
		return size{bytes: m.adapters[h.adapter].MemoryBytes}
	}
	spec := m.models[h.replica.model]
	return size{bytes: spec.MemoryBytes, kvFloor: spec.KVFloorBytes}
}

// taken returns what a holding reserves in the ledger.
func (h *holding) taken() size {
	if h.state == absent {
		return size{}
	}
	return size{h.bytes, h.kvFloor}
}

// reserved returns the total of everything that is or may be in the engine's memory.
func (m *Machine) reserved() size {
	total := size{}
	for _, r := range m.replicas {
		total = total.plus(r.taken())
		for _, a := range r.adapters {
			total = total.plus(a.taken())
		}
	}
	return total
}

// limit returns the memory that the ledger may allocate.
func (m *Machine) limit() int64 {
	if m.options.MemoryBytes <= 0 {
		return m.engine.memoryBytes
	}
	if m.engine.memoryBytes <= 0 {
		return m.options.MemoryBytes
	}
	return min(m.options.MemoryBytes, m.engine.memoryBytes)
}

// reservedBytes converts a size to bytes: the larger of the ledger's reservations, including the minimum KV cache, and
// of the usage that the engine reports, which includes memory that belongs to no model.
func (m *Machine) reservedBytes(s size) int64 {
	return max(s.bytes+s.kvFloor, m.engine.unattributedBytes+s.bytes)
}

// fits reports whether a size is within the limit.
func (m *Machine) fits(s size) bool { return m.reservedBytes(s) <= m.limit() }
