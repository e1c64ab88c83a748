package crashes

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamsail/internal/sitelog"
)

const (
	// minContents is the number of different requests under which endpoints have to end before a part that they share is blamed:
	// what one request ends is bounded by itself.
	minContents = 2
	// commonContents is the number of different requests with a part that end with a process, on average, from which on the part is
	// one that most requests have. The same holds of a part that commonShare of the arriving requests have, of minArrivals at least,
	// if several requests with it have ended with one process.
	commonContents = 3
	commonShare    = 0.25
	minArrivals    = 20
	// maxArrivals is the number of counted arrivals at which older ones begin to weigh less.
	maxArrivals = 1000
	// MaxPartHold is how long an end counts against a part at most.
	MaxPartHold = time.Hour
	// sameEndTime is the time within which the requests that one end breaks off are noticed, and maxSameEnd the number of them that
	// a gateway records.
	sameEndTime = time.Second
	maxSameEnd  = commonContents + 1
	// settleTime is the time after which it is final that an endpoint has ended: one that has gone on would have answered or
	// reported by then.
	settleTime = 30 * time.Second
	// settleInterval is the time between two checks of the ends that are not final.
	settleInterval = 250 * time.Millisecond
	// answeredTTL is how long an answer at this gateway rules a part out as the cause of an end.
	answeredTTL = 2 * time.Second
	// maxPartEnds and maxPartAnswers bound what is remembered; an end takes some 300 bytes. pruneAnswered is the number of
	// recently answered parts from which on old ones are dropped.
	maxPartEnds    = 4096
	maxPartAnswers = 1024
	pruneAnswered  = 1024
)

// partHolds is how long a part is blamed after the last of MaxEnded ends, and after each one more. The first ones are short: if
// the part is sound, no request that is refused can show it, and the next one that is sent does. A part is not blamed for longer than
// the first while others were at its ends for which there is as much to say. Where several parts end endpoints before anything is
// answered, all parts of the sound requests are at as many ends, and nothing would be served any more. A common part is blamed for
// longer only after trials that have failed.
var partHolds = []time.Duration{5 * time.Second, 20 * time.Second, 5 * time.Minute, MaxPartHold}

// Part identifies a part that prompts share by a hash of its ID.
type Part uint64

// PartOf returns the part with an ID.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// PartEnd says that a process of an endpoint may have ended under a request with a part, before the answer was under way.
type PartEnd struct {
	Part    Part
	Process Process
	Content Content
	// Attempt tells the ends of several attempts at one process apart.
	Attempt uint64
}

// PartAnswer says that an endpoint has been writing an answer on a part and gone on.
type PartAnswer struct {
	Part Part
	// Attempt tells several answers apart.
	Attempt uint64
}

// Parts tracks which parts of prompts end the endpoints that begin to write an answer on them. No two requests with such a part
// need be alike, and all requests at the endpoint end with the one that has it, so an end says little. Two things do: a part on
// which an answer is under way has ended nothing before, and parts that were there at several ends without one are to blame. It is
// safe for concurrent use.
type Parts struct {
	mayHaveEnded func(now time.Time, p Process, at time.Time) bool
	onAdd        func()

	mu      sync.Mutex
	ends    *sitelog.Log[PartEnd, time.Time]
	answers *sitelog.Log[PartAnswer, time.Time]
	// suspects are the ends that count, by part.
	suspects map[Part][]suspectEnd
	// blames holds what was worked out of each part since the ends that count last changed.
	blames map[Part]workedOut
	// lastAnswer is the latest answer on each part that has been a suspect.
	lastAnswer map[Part]partAnswer
	// settledAt is when the ends that are not final were last checked.
	settledAt time.Time
	// arrived is the number of requests that have arrived while there are suspects, and arrivedWith that of those with each suspect.
	arrived     float64
	arrivedWith map[Part]float64
	// answered holds when this gateway last got an answer on each part, for answeredTTL, and latestAnswer is when there last was one on
	// any part, as far as this gateway knows.
	answered     map[Part]time.Time
	latestAnswer time.Time
}

// suspectEnd is an end that counts. It is final once it is certain that the process has ended, and own if this gateway has seen it.
// It is amidAnswers if answers were known from shortly before.
type suspectEnd struct {
	PartEnd
	at                      time.Time
	final, own, amidAnswers bool
}

// partAnswer is the latest answer on a part. It is own if this gateway has got it.
type partAnswer struct {
	PartAnswer
	at  time.Time
	own bool
}

// NewParts returns a tracker that blames nothing. mayHaveEnded reports whether a process may have ended at a time.
func NewParts(mayHaveEnded func(now time.Time, p Process, at time.Time) bool) *Parts {
	t := &Parts{
		mayHaveEnded: mayHaveEnded,
		onAdd:        func() {},
		suspects:     make(map[Part][]suspectEnd),
		blames:       make(map[Part]workedOut),
		lastAnswer:   make(map[Part]partAnswer),
		answered:     make(map[Part]time.Time),
		arrivedWith:  make(map[Part]float64),
	}
	t.ends = sitelog.New[PartEnd, time.Time](maxPartEnds, t.forgetEnd)
	t.answers = sitelog.New[PartAnswer, time.Time](maxPartAnswers, t.forgetAnswer)
	return t
}

// OnAdd sets a function that is called at each new end or answer. It must not block. Call OnAdd before the first request.
func (t *Parts) OnAdd(call func()) { t.onAdd = call }

// Arrived counts a request with these parts, which shows how common the suspects among them are.
func (t *Parts) Arrived(parts []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		if t.arrived > 0 {
			t.arrived = 0
			clear(t.arrivedWith)
		}
		return
	}
	t.arrived++
	for _, part := range parts {
		if len(t.suspects[part]) > 0 {
			t.arrivedWith[part]++
		}
	}
	if t.arrived >= maxArrivals {
		t.arrived /= 2
		for part := range t.arrivedWith {
			t.arrivedWith[part] /= 2
			if len(t.suspects[part]) == 0 {
				delete(t.arrivedWith, part)
			}
		}
	}
}

// isCommon reports whether so many requests have a part that one of them is at any end.
func (t *Parts) isCommon(part Part, processes, contents int) bool {
	if contents >= commonContents*processes {
		return true
	}
	return contents > processes && t.arrived >= minArrivals && t.arrivedWith[part] >= commonShare*t.arrived
}

// Ended records that a process has left a request with these parts before its answer was under way, and so may have ended.
func (t *Parts) Ended(now time.Time, parts []Part, process Process, content Content) {
	t.mu.Lock()
	added := false
	for _, part := range parts {
		if now.Sub(t.answered[part]) < answeredTTL || t.isKnown(now, part, process, content) {
			continue
		}
		added = t.addEnd(now, PartEnd{Part: part, Process: process, Content: content, Attempt: rand.Uint64()}, now, true) || added
	}
	t.mu.Unlock()
	if added {
		t.onAdd()
	}
}

// isKnown reports whether the end of a process under a part has just been recorded, for this request or enough others.
func (t *Parts) isKnown(now time.Time, part Part, process Process, content Content) bool {
	recorded := 0
	for _, e := range t.suspects[part] {
		if e.Process != process || now.Sub(e.at) >= sameEndTime {
			continue
		}
		if e.Content == content {
			return true
		}
		recorded++
	}
	return recorded >= maxSameEnd
}

// AddEnd records an end that another gateway has seen.
func (t *Parts) AddEnd(now time.Time, e PartEnd, at time.Time) {
	t.mu.Lock()
	added := t.addEnd(now, e, at, false)
	t.mu.Unlock()
	if added {
		t.onAdd()
	}
}

func (t *Parts) addEnd(now time.Time, e PartEnd, at time.Time, own bool) bool {
	if !t.ends.Add(now, sitelog.Fact[PartEnd, time.Time]{Key: e, Value: at, Expires: at.Add(MaxPartHold)}) {
		return false
	}
	if at.After(t.lastAnswer[e.Part].at) {
		amidAnswers := now.Sub(t.latestAnswer) < answeredTTL
		t.suspects[e.Part] = append(t.suspects[e.Part], suspectEnd{PartEnd: e, at: at, own: own, amidAnswers: amidAnswers})
		clear(t.blames)
	}
	return true
}

// Answered records that an answer to a request with these parts has been under way for a while, or is whole.
func (t *Parts) Answered(now time.Time, parts []Part) {
	t.mu.Lock()
	added := false
	for _, part := range parts {
		t.noteAnswered(now, part)
		if len(t.suspects[part]) > 0 {
			added = t.addAnswer(now, PartAnswer{Part: part, Attempt: rand.Uint64()}, now, true) || added
		}
	}
	t.mu.Unlock()
	if added {
		t.onAdd()
	}
}

func (t *Parts) noteAnswered(now time.Time, part Part) {
	if _, known := t.answered[part]; !known && len(t.answered) >= pruneAnswered {
		for p, at := range t.answered {
			if now.Sub(at) >= answeredTTL {
				delete(t.answered, p)
			}
		}
	}
	t.answered[part], t.latestAnswer = now, now
}

// AddAnswer records an answer that another gateway has seen.
func (t *Parts) AddAnswer(now time.Time, a PartAnswer, at time.Time) {
	t.mu.Lock()
	added := t.addAnswer(now, a, at, false)
	t.mu.Unlock()
	if added {
		t.onAdd()
	}
}

func (t *Parts) addAnswer(now time.Time, a PartAnswer, at time.Time, own bool) bool {
	if !t.answers.Add(now, sitelog.Fact[PartAnswer, time.Time]{Key: a, Value: at, Expires: at.Add(MaxPartHold)}) {
		return false
	}
	if at.After(t.latestAnswer) {
		t.latestAnswer = at
	}
	if at.After(t.lastAnswer[a.Part].at) {
		t.lastAnswer[a.Part] = partAnswer{a, at, own}
		t.drop(a.Part, func(e suspectEnd) bool { return !e.at.After(at) })
	}
	return true
}

// drop removes the ends of a part that meet a condition.
func (t *Parts) drop(part Part, condition func(suspectEnd) bool) {
	clear(t.blames)
	rest := slices.DeleteFunc(t.suspects[part], condition)
	if len(rest) == 0 {
		delete(t.suspects, part)
		return
	}
	t.suspects[part] = rest
}

func (t *Parts) forgetEnd(e PartEnd) {
	t.drop(e.Part, func(other suspectEnd) bool { return other.PartEnd == e })
}

func (t *Parts) forgetAnswer(a PartAnswer) {
	if t.lastAnswer[a.Part].PartAnswer == a {
		delete(t.lastAnswer, a.Part)
	}
}

// settle drops the ends of processes that have gone on.
func (t *Parts) settle(now time.Time) {
	if now.Sub(t.settledAt) < settleInterval {
		return
	}
	t.settledAt = now
	for part, ends := range t.suspects {
		goneOn := false
		for i := range ends {
			e := &ends[i]
			if e.final {
				continue
			}
			if !t.mayHaveEnded(now, e.Process, e.at) {
				goneOn = true
				break
			}
			e.final = now.Sub(e.at) >= settleTime
		}
		if goneOn {
			t.drop(part, func(e suspectEnd) bool { return !e.final && !t.mayHaveEnded(now, e.Process, e.at) })
		}
	}
}

// Blame says that a part ends endpoints.
type Blame struct {
	Part Part
	// Processes is the number of processes that have ended under it, and Last when the last of them did.
	Processes int
	Last      time.Time
	// Until is when a request with the part may be sent again.
	Until time.Time
}

// Blame returns the part of a request for which it must not be sent to an endpoint, if there is one. Parts that have been at the
// same ends cannot be told apart: a request that has only some of them is sent, and its answer clears those.
func (t *Parts) Blame(now time.Time, parts []Part) (Blame, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		return Blame{}, false
	}
	t.settle(now)
	for _, part := range parts {
		b, blamed := t.blame(now, part)
		if blamed && now.Before(b.Until) && !t.couldBeAnother(part, parts) {
			return b, true
		}
	}
	return Blame{}, false
}

// workedOut is what speaks against a part, and whether that is enough, as of a time.
type workedOut struct {
	Blame
	blamed bool
	at     time.Time
}

// blame returns what speaks against a part, and whether that is enough.
func (t *Parts) blame(now time.Time, part Part) (Blame, bool) {
	if len(t.suspects[part]) < MaxEnded {
		return Blame{}, false
	}
	w, known := t.blames[part]
	// How common a part is changes without an end.
	if !known || now.Sub(w.at) > settleInterval {
		w.Blame, w.blamed = t.workOut(part)
		w.at = now
		t.blames[part] = w
	}
	return w.Blame, w.blamed
}

func (t *Parts) workOut(part Part) (Blame, bool) {
	b, processes, contents := t.endsOf(part)
	if !isEnough(processes, contents) {
		return Blame{}, false
	}
	step := len(processes) - MaxEnded
	switch {
	case len(t.onlyAt(part, processes)) < MaxEnded:
		step = 0
	case t.isCommon(part, len(processes), len(contents)):
		step = t.failedTrials(part)
	}
	b.Until = b.Last.Add(partHolds[min(step, len(partHolds)-1)])
	return b, true
}

// failedTrials returns how often a request with a part has ended a process after the first hold, while others were answered. If the
// part were sound, that request would have been answered as well.
func (t *Parts) failedTrials(part Part) int {
	ends := slices.Clone(t.suspects[part])
	slices.SortFunc(ends, func(a, b suspectEnd) int { return a.at.Compare(b.at) })
	trials := 0
	for i := 1; i < len(ends); i++ {
		if ends[i].amidAnswers && ends[i].at.Sub(ends[i-1].at) >= partHolds[0] {
			trials++
		}
	}
	return trials
}

func isEnough(processes map[Process]struct{}, contents map[Content]struct{}) bool {
	return len(processes) >= MaxEnded && len(contents) >= minContents
}

// endsOf returns the processes that have ended under a part, and the requests under which they did.
func (t *Parts) endsOf(part Part) (Blame, map[Process]struct{}, map[Content]struct{}) {
	b := Blame{Part: part}
	processes, contents := make(map[Process]struct{}), make(map[Content]struct{})
	for _, e := range t.suspects[part] {
		processes[e.Process], contents[e.Content] = struct{}{}, struct{}{}
		if e.at.After(b.Last) {
			b.Last = e.at
		}
	}
	b.Processes = len(processes)
	return b, processes, contents
}

// onlyAt returns those of the processes that have ended under a part at which no other part was for which there is as much to say.
func (t *Parts) onlyAt(part Part, processes map[Process]struct{}) map[Process]struct{} {
	rest := maps.Clone(processes)
	for other := range t.suspects {
		if other == part || len(t.suspects[other]) < MaxEnded {
			continue
		}
		if _, others, contents := t.endsOf(other); isEnough(others, contents) {
			maps.DeleteFunc(rest, func(p Process, _ struct{}) bool { _, shared := others[p]; return shared })
		}
	}
	return rest
}

// couldBeAnother reports whether a part that the request does not have was at all ends of a part that it has.
func (t *Parts) couldBeAnother(part Part, parts []Part) bool {
	for other := range t.suspects {
		if !slices.Contains(parts, other) && t.wasAtAllEndsOf(other, part) {
			return true
		}
	}
	return false
}

func (t *Parts) wasAtAllEndsOf(other, part Part) bool {
	return !slices.ContainsFunc(t.suspects[part], func(e suspectEnd) bool { return !t.wasAt(other, e.Process) })
}

func (t *Parts) wasAt(part Part, process Process) bool {
	return slices.ContainsFunc(t.suspects[part], func(e suspectEnd) bool { return e.Process == process })
}

// TimedEnd is an end and when it happened.
type TimedEnd struct {
	PartEnd
	At time.Time
}

// OwnBlames returns the blamed parts at one end of which at least this gateway has lost a request, each with all its ends.
func (t *Parts) OwnBlames(now time.Time) map[Part][]TimedEnd {
	t.mu.Lock()
	defer t.mu.Unlock()
	blames := make(map[Part][]TimedEnd)
	for part, ends := range t.suspects {
		if _, blamed := t.blame(now, part); !blamed || !slices.ContainsFunc(ends, func(e suspectEnd) bool { return e.own }) {
			continue
		}
		for _, e := range ends {
			blames[part] = append(blames[part], TimedEnd{e.PartEnd, e.at})
		}
	}
	return blames
}

// IsClearedHere reports whether nothing speaks against a part any more because this gateway has got an answer on it.
func (t *Parts) IsClearedHere(part Part) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects[part]) == 0 && t.lastAnswer[part].own
}

// Suspects returns the number of parts under which an endpoint may have ended, without an answer since.
func (t *Parts) Suspects() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects)
}

// PartsPosition is how far a peer has been sent what is known of parts.
type PartsPosition struct{ ends, answers int64 }

// End returns the position after all that is known.
func (t *Parts) End() PartsPosition {
	t.mu.Lock()
	defer t.mu.Unlock()
	return PartsPosition{ends: t.ends.End(), answers: t.answers.End()}
}

// PartFacts are ends and answers, with the times at which they happened.
type PartFacts struct {
	Ends    []sitelog.Fact[PartEnd, time.Time]
	Answers []sitelog.Fact[PartAnswer, time.Time]
}

// Since returns what became known from a position on, at most limit ends and as many answers.
func (t *Parts) Since(now time.Time, from PartsPosition, limit int) (PartFacts, PartsPosition) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var facts PartFacts
	facts.Ends, from.ends = t.ends.Since(now, from.ends, limit)
	facts.Answers, from.answers = t.answers.Since(now, from.answers, limit)
	return facts, from
}
