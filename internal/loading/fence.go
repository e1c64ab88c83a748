package loading

// fenceCounterBits is the number of bits of a fencing token that count the orders at one table revision.
const fenceCounterBits = 24

// fenceSource generates fencing tokens that increase strictly, also across successive agents of an engine.
//
// The upper bits are the highest known table revision. Each agent writes to the table before its first read, so its
// initial revision is above all that previous agents have seen, and no order of a previous agent has a token as high as
// the first of this agent.
type fenceSource struct {
	revision uint64
	last     uint64
}

// observeRevision records a table revision.
func (f *fenceSource) observeRevision(revision uint64) { f.revision = max(f.revision, revision) }

// observeFence records a token that the engine has seen; the next one will be higher.
func (f *fenceSource) observeFence(fence uint64) { f.last = max(f.last, fence) }

// next returns the next token, or false if the tokens of the highest known revision are used up.
func (f *fenceSource) next() (uint64, bool) {
	fence := max(f.last+1, f.revision<<fenceCounterBits)
	if fence == 0 || fence>>fenceCounterBits > f.revision {
		return 0, false
	}
	return fence, true
}

// take returns the next token and advances the sequence.
func (f *fenceSource) take() uint64 {
	fence, ok := f.next()
	if !ok {
		panic("loading: an order without a fencing token")
	}
	f.last = fence
	return fence
}

// accepted is the highest fencing token that the engine's current incarnation is known to have accepted. If the engine
// checks fencing tokens, it rejects later arrivals with lower ones.
type accepted struct {
	fence uint64
	// step is the step in which the machine received the result.
	step uint64
}
