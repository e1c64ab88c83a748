package placement

import "time"

const (
	// firstLimit is how many loads from the weight store run at once before anything is known of it.
	firstLimit = 2
	// doublesBelow is the limit below which it doubles with the loads that were on time; from there on it grows by one. A store
	// that runs four at once, with loads of 6 s, is used fully from the seventh second on and not from the thirteenth: worth
	// 0.756 and 0.693 against 0.745 and 0.681 on the two sites of examples/experiment, 16 days each.
	doublesBelow = 3
	// maxLimit bounds them in any case.
	maxLimit = 32
	// onTime and overTime are the shares of a load's nominal time up to which it ran at full speed, and from which the store
	// was shared by too many.
	onTime   = 1.15
	overTime = 1.4
	// ceilingHold is for how long a limit that was found too high is not exceeded again.
	ceilingHold = 30 * time.Second
	// startWindow is the window in which the loads that begin are counted against the store's rate, and startShare the share
	// of the rate that is used.
	startWindow = 5 * time.Second
	startShare  = 1.0
)

// pipe learns how many loads from the weight store run at full speed at once. The operator does not declare it; beyond it
// every load takes longer in proportion, so that nothing is gained and whoever waits waits longer.
type pipe struct {
	limit    int
	ceiling  int
	heldTill time.Time
	running  map[string]storeLoad
	starts   []time.Time
}

type storeLoad struct {
	model   string
	began   time.Time
	nominal time.Duration
	// most is how many loads ran beside it at most, itself included.
	most int
}

func newPipe() *pipe {
	return &pipe{limit: firstLimit, ceiling: maxLimit, running: make(map[string]storeLoad)}
}

// room returns how many more loads may begin.
func (p *pipe) room(now time.Time, perSecond float64) int {
	for len(p.starts) > 0 && now.Sub(p.starts[0]) > startWindow {
		p.starts = p.starts[1:]
	}
	left := p.limit - len(p.running)
	if perSecond > 0 {
		left = min(left, int(perSecond*startWindow.Seconds()*startShare)-len(p.starts))
	}
	return left
}

// begin notes a load at an engine.
func (p *pipe) begin(now time.Time, engine, model string, nominal time.Duration) {
	p.running[engine] = storeLoad{model: model, began: now, nominal: nominal}
	p.starts = append(p.starts, now)
	for e, l := range p.running {
		l.most = max(l.most, len(p.running))
		p.running[e] = l
	}
}

// started notes that an engine has begun its load: the order took a time of its own, and longer where its answer was lost.
func (p *pipe) started(now time.Time, engine string) {
	if l, ok := p.running[engine]; ok {
		l.began = now
		p.running[engine] = l
	}
}

// end notes that an engine's load is over; it has succeeded if the model is there.
func (p *pipe) end(now time.Time, engine string, succeeded bool) {
	l, ok := p.running[engine]
	if !ok {
		return
	}
	delete(p.running, engine)
	if !succeeded || l.nominal <= 0 {
		return
	}
	if now.After(p.heldTill) {
		p.ceiling = maxLimit
	}
	ratio := float64(now.Sub(l.began)) / float64(l.nominal)
	switch {
	case ratio >= overTime:
		p.limit = max(1, min(p.limit, int(float64(l.most)/ratio+0.5)))
		p.ceiling, p.heldTill = p.limit, now.Add(ceilingHold)
	case ratio <= onTime && l.most >= p.limit:
		grown := p.limit + 1
		if p.limit < doublesBelow {
			grown = 2 * p.limit
		}
		p.limit = min(grown, p.ceiling)
	}
}
