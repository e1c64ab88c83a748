package crashes

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// partsRig is a tracker whose clock the test moves on, and whose processes have ended unless they are in goneOn.
type partsRig struct {
	parts  *Parts
	now    time.Time
	ends   int
	goneOn map[Process]bool
}

func newPartsRig() *partsRig {
	r := &partsRig{now: time.Unix(1000, 0), goneOn: make(map[Process]bool)}
	r.parts = NewParts(func(_ time.Time, p Process, _ time.Time) bool { return !r.goneOn[p] })
	return r
}

func (r *partsRig) pass(d time.Duration) { r.now = r.now.Add(d) }

// end lets a process end under requests with the given parts, each unlike the others, and returns it.
func (r *partsRig) end(requests ...[]Part) Process {
	r.pass(time.Second)
	r.ends++
	p := Process{EndpointID: fmt.Sprint("e", r.ends), Started: 1}
	for i, parts := range requests {
		r.parts.Ended(r.now, parts, p, Content(r.ends<<8+i))
	}
	return p
}

func (r *partsRig) answer(parts ...Part) { r.parts.Answered(r.now, parts) }

func (r *partsRig) refuses(parts ...Part) bool {
	_, refused := r.parts.Blame(r.now, parts)
	return refused
}

// The parts of the tests: the first part of all requests, two others that sound requests have, and one that ends endpoints.
const (
	first Part = iota
	common
	rare
	bad
)

// Guards against requests with a part that ends endpoints being sent on because no two of them are alike, and against refusals of
// the sound ones that ended beside them.
func TestPartThatEndsEndpointsIsBlamed(t *testing.T) {
	r := newPartsRig()
	for i := range MaxEnded {
		beside := []Part{first, common}
		if i == 0 {
			beside = []Part{first, rare}
		}
		r.end([]Part{first, common, bad}, beside)
		r.answer(first, common)
	}
	if !r.refuses(first, common, bad) || !r.refuses(bad) || !r.refuses(rare, bad) {
		t.Error("a request with the part is sent on")
	}
	if r.refuses(first, common) || r.refuses(first) {
		t.Error("a sound request is refused")
	}
}

// Guards against a sound part that is blamed beside the one that ends endpoints because nothing has been answered in between.
func TestPartsThatCannotBeToldApart(t *testing.T) {
	r := newPartsRig()
	for range MaxEnded {
		r.end([]Part{first, rare, bad})
	}
	if !r.refuses(first, rare, bad) {
		t.Error("a request with all of the parts is sent on")
	}
	if r.refuses(first, rare) || r.refuses(first) {
		t.Error("a request with some of the parts is refused")
	}
	r.answer(first, rare)
	if !r.refuses(common, bad) {
		t.Error("a request with the only part that is left is sent on")
	}
}

// Guards against requests with a part that ends endpoints being sent on for long because other requests were at all ends, too.
func TestOneMoreEndTellsPartsApart(t *testing.T) {
	r := newPartsRig()
	for range MaxEnded {
		r.end([]Part{first, bad}, []Part{first, rare})
	}
	r.end([]Part{first, bad})
	if !r.refuses(first, bad) {
		t.Error("a request with the part is sent on")
	}
	if r.refuses(first, rare) {
		t.Error("a sound request is refused")
	}
}

// Guards against sound parts that are blamed for ends which have other causes: of many endpoints at once, of one that goes on, of
// one that is broken off again and again, and by one request alone.
func TestSoundPartsAreNotBlamed(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(r *partsRig)
	}{
		{"answered before, at this gateway", func(r *partsRig) {
			for range 5 {
				r.pass(answeredTTL / 2)
				r.answer(rare)
				r.end([]Part{rare})
			}
		}},
		{"answered since", func(r *partsRig) {
			for range 5 {
				r.end([]Part{rare})
			}
			r.answer(rare)
		}},
		{"endpoints go on", func(r *partsRig) {
			for range 5 {
				r.goneOn[r.end([]Part{rare})] = true
			}
		}},
		{"an endpoint goes on, and ends long after", func(r *partsRig) {
			for range 5 {
				p := r.end([]Part{rare})
				r.goneOn[p] = true
				r.pass(time.Second)
				r.refuses(common)
				r.goneOn[p] = false
			}
		}},
		{"the same process", func(r *partsRig) {
			for i := range 5 {
				r.pass(2 * sameEndTime)
				r.parts.Ended(r.now, []Part{rare}, Process{EndpointID: "e", Started: 1}, Content(i))
			}
		}},
		{"one request", func(r *partsRig) {
			for i := range 5 {
				r.parts.Ended(r.now, []Part{rare}, Process{EndpointID: fmt.Sprint(i)}, 7)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newPartsRig()
			c.run(r)
			if r.refuses(first, rare) {
				t.Error("a request with a sound part is refused")
			}
		})
	}
}

// Guards against a blame that ends while requests with the part still end endpoints, and one that never ends.
func TestBlameLastsLongerWithEachEnd(t *testing.T) {
	r := newPartsRig()
	for range MaxEnded {
		r.end([]Part{bad})
	}
	for _, hold := range partHolds {
		r.pass(hold - time.Millisecond)
		if !r.refuses(bad) {
			t.Errorf("sent on before %v", hold)
		}
		r.pass(time.Millisecond)
		if r.refuses(bad) {
			t.Errorf("refused after %v", hold)
		}
		r.end([]Part{bad})
	}
}

// Guards against a part that most requests have being blamed for long after endpoints that had answered nothing yet have all ended:
// no request that is refused could show that it is sound.
func TestCommonPartIsBlamedBriefly(t *testing.T) {
	r := newPartsRig()
	for range 9 {
		r.end([]Part{first, 10}, []Part{first, 11}, []Part{first, 12}, []Part{first, 13})
	}
	r.pass(partHolds[0])
	if r.refuses(first) {
		t.Errorf("refused %v after the last end", partHolds[0])
	}
}

// Guards against the parts of all sound requests being blamed for long because several others end endpoints before anything is
// answered: nothing would be served any more.
func TestSoundPartsAreTriedAgainSoon(t *testing.T) {
	const others = 20
	r := newPartsRig()
	for i := range 24 {
		r.end([]Part{first, bad + Part(i%2), others + Part(i%3)}, []Part{first, others + Part(i%3)})
	}
	r.pass(partHolds[0])
	for i := range 3 {
		if r.refuses(first, others+Part(i)) {
			t.Errorf("a sound request is refused %v after the last end", partHolds[0])
		}
		r.answer(first, others+Part(i))
	}
	for i := range 2 {
		r.end([]Part{first, bad + Part(i)})
	}
	r.pass(partHolds[1])
	for i := range 2 {
		if !r.refuses(first, bad+Part(i)) {
			t.Errorf("a request with part %d that ends endpoints is sent on", i)
		}
	}
}

// Guards against the first part of most requests being blamed for long after ends that had other causes.
func TestPartOfMostRequestsIsBlamedBriefly(t *testing.T) {
	r := newPartsRig()
	for i := range 6 {
		r.end([]Part{first, 20 + Part(2*i)}, []Part{first, 20 + Part(2*i+1)})
	}
	for range minArrivals {
		r.parts.Arrived([]Part{first})
		r.parts.Arrived([]Part{common})
	}
	r.pass(partHolds[0])
	if r.refuses(first) {
		t.Errorf("refused %v after the last end", partHolds[0])
	}
}

// Guards against the first part of most requests being blamed for long because trials of it fail where nothing else is answered either.
func TestPartOfMostRequestsIsTriedAgainInAnOutage(t *testing.T) {
	r := newPartsRig()
	for i := range 6 {
		r.pass(partHolds[0])
		r.end([]Part{first, 20 + Part(2*i)}, []Part{first, 20 + Part(2*i+1)})
	}
	for range minArrivals {
		r.parts.Arrived([]Part{first})
	}
	r.pass(partHolds[0])
	if r.refuses(first) {
		t.Errorf("refused %v after the last end", partHolds[0])
	}
}

// Guards against a part that ends endpoints being tried again every few seconds because many of the arriving requests have it, while
// sound ones with the same first part are answered.
func TestBadPartOfManyRequestsIsNotTriedAgainSoon(t *testing.T) {
	// Five ends until all know the part, and three requests more.
	const mostEnded = 8
	r := newPartsRig()
	for i := range 120 {
		if !r.refuses(first, bad) {
			r.end([]Part{first, bad, 20 + Part(2*i)}, []Part{first, bad, 21 + Part(2*i)})
		}
		for range minArrivals {
			r.parts.Arrived([]Part{first, bad})
			r.parts.Arrived([]Part{first, common})
			r.parts.Arrived([]Part{first, common})
		}
		r.answer(first, common)
		r.pass(500 * time.Millisecond)
	}
	if r.ends > mostEnded {
		t.Errorf("%d processes have ended under the part, want at most %d", r.ends, mostEnded)
	}
}

// Guards against gateways that come to different conclusions because news reaches them in another order, or twice.
func TestPartFactsArriveInAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		r := newPartsRig()
		for range MaxEnded {
			r.end([]Part{first, rare, bad}, []Part{first, common})
			r.pass(100 * time.Millisecond)
			r.answer(first, common)
		}
		facts, _ := r.parts.Since(r.now, PartsPosition{}, 100)
		var apply []func(t *Parts)
		for range 2 {
			for _, e := range facts.Ends {
				apply = append(apply, func(t *Parts) { t.AddEnd(r.now, e.Key, e.Value) })
			}
			for _, a := range facts.Answers {
				apply = append(apply, func(t *Parts) { t.AddAnswer(r.now, a.Key, a.Value) })
			}
		}
		random := rand.New(rand.NewPCG(seed, 1))
		random.Shuffle(len(apply), func(i, j int) { apply[i], apply[j] = apply[j], apply[i] })
		other := newPartsRig()
		other.now = r.now
		for _, f := range apply {
			f(other.parts)
		}
		for _, parts := range [][]Part{{first, rare, bad}, {first, common}, {first, rare}, {bad}} {
			if got, want := other.refuses(parts...), r.refuses(parts...); got != want {
				t.Errorf("seed %d: a request with %v is refused: %v, where it was seen: %v", seed, parts, got, want)
			}
		}
	}
}

// Guards against a flood of different parts at endpoints that end, which must not use memory without bound.
func TestPartsMemoryIsBounded(t *testing.T) {
	r := newPartsRig()
	for i := range 3 * maxPartEnds {
		r.pass(time.Millisecond)
		r.parts.Ended(r.now, []Part{Part(2 * i)}, Process{EndpointID: fmt.Sprint(i)}, Content(i))
		r.parts.Answered(r.now, []Part{Part(2*i + 1)})
	}
	if n := r.parts.ends.Len(); n > maxPartEnds {
		t.Errorf("%d ends are remembered", n)
	}
	if n := len(r.parts.suspects); n > maxPartEnds {
		t.Errorf("%d parts are suspects", n)
	}
	if limit := pruneAnswered + int(answeredTTL/time.Millisecond); len(r.parts.answered) > limit {
		t.Errorf("%d answered parts are remembered, at most %d", len(r.parts.answered), limit)
	}
}

// Guards against a storm of ends on a large site that makes each request wait for the blame to be worked out.
func BenchmarkBlameInAStorm(b *testing.B) {
	r := newPartsRig()
	for i := range 300 {
		r.end([]Part{first, bad + Part(i%8), 100 + Part(i)})
	}
	for b.Loop() {
		r.parts.Blame(r.now, []Part{first, 100})
	}
}
