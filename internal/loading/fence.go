package loading

// fenceCounterBits is how many bits of a fencing number count the orders given at one table revision.
const fenceCounterBits = 24

// fenceSource makes fencing numbers that only rise, also from one agent of an engine to the next.
//
// The upper bits are the highest table revision known. Each agent writes to the table before its first read, so the
// revision that it starts from is above all that its predecessors have seen, and no predecessor's order, however late,
// carries a number as high as this agent's first.
type fenceSource struct {
	revision uint64
	last     uint64
}

// observeRevision notes a table revision.
func (f *fenceSource) observeRevision(revision uint64) { f.revision = max(f.revision, revision) }

// observeFence notes a number that the engine has seen; the next one will be above it.
func (f *fenceSource) observeFence(fence uint64) { f.last = max(f.last, fence) }

// next returns the next number, or false when all numbers of the highest revision known are used up.
func (f *fenceSource) next() (uint64, bool) {
	fence := max(f.last+1, f.revision<<fenceCounterBits)
	if fence == 0 || fence>>fenceCounterBits > f.revision {
		return 0, false
	}
	return fence, true
}

// take uses up the next number.
func (f *fenceSource) take() uint64 {
	fence, ok := f.next()
	if !ok {
		panic("loading: an order without a fencing number")
	}
	f.last = fence
	return fence
}

// accepted is the newest order that the engine's present incarnation is known to have carried out: orders with lower
// numbers that arrive later are refused where the engine checks them.
type accepted struct {
	fence uint64
	// step is when the machine learnt it.
	step uint64
}
