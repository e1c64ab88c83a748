// Package engineagent runs beside one engine and is the only one that gives it orders. It reads the engine's report where
// that is fresh and free, tells the gateways what it sees, and carries out what they ask for as far as the engine's memory
// and places allow.
package engineagent

import (
	"time"

	"balsamsail/internal/nameset"
)

const (
	// commandLife is for how long a command is pursued. A load from the weight store takes 6 to 13 s, several times as long
	// when many run.
	commandLife = 90 * time.Second
	// orderPause is the pause after an order that the engine refused or did not answer.
	orderPause = 60 * time.Millisecond
	// busyReportInterval is the time between reports while the engine carries out an order, whose end requests wait for.
	busyReportInterval = 40 * time.Millisecond
	// wishLife is for how long a wish for an adapter counts. Requests that still wait repeat it.
	wishLife = 400 * time.Millisecond
	// gatewayLife is for how long a gateway's last message counts.
	gatewayLife = 1500 * time.Millisecond
)

// Model is what an operator declares of a model.
type Model struct {
	SizeMB, AdapterMB float64
}

// EngineClass is what an operator declares of the engine.
type EngineClass struct {
	Version       int64
	MemoryMB      float64
	AdapterPlaces int
	Models        map[string]Model
}

// Adapter names an adapter of a model.
type Adapter struct{ Model, Name string }

// Report is the engine's word on itself.
type Report struct {
	// Models that it holds, with their adapters.
	Models map[string]map[string]bool
	// Fetching lists adapters that are on their way to it.
	Fetching map[Adapter]bool
	// Busy is set while it carries out an order on a model.
	Busy bool
	// Sequence counts the orders that it has accepted.
	Sequence        int64
	Running, Queued int
	// InMemory and OnDisk are the models of which the host keeps copies.
	InMemory, OnDisk map[string]bool
}

// OrderKind is what an order asks for.
type OrderKind int

// The kinds of orders.
const (
	Load OrderKind = iota
	Unload
)

// Order is an order to the engine.
type Order struct {
	Kind    OrderKind
	Model   string
	Adapter string
	// EndpointID is the incarnation that may carry it out.
	EndpointID string
	// Sequence is how many orders the engine must have accepted before.
	//
	// It guards against an order whose answer was lost and that reaches the engine seconds later, behind newer ones: its
	// sequence has passed by then, and the engine drops it. Without it a late load would come on top of a newer one and
	// overcommit the engine's memory, which crashes it.
	Sequence int64
}

// Result is the engine's answer to an order.
type Result int

// The results of an order.
const (
	// Accepted: the order is or will be carried out, or holds already.
	Accepted Result = iota
	// Conflict: another order is in progress, or the sequence differs.
	Conflict
	// WrongEndpoint: another incarnation answers at the address.
	WrongEndpoint
	// Rejected: the engine will not carry it out.
	Rejected
	// Unknown: no answer came; the order may have been accepted, or may be later.
	Unknown
)

func (r Result) String() string {
	return [...]string{"accepted", "conflict", "wrong_endpoint", "rejected", "unknown"}[r]
}

// Command asks for a change of the models that the engine holds.
type Command struct {
	ID         uint64
	EndpointID string
	Unload     []string
	Load       string
}

// GatewayMessage is what a gateway tells.
type GatewayMessage struct {
	EndpointID       string
	EndpointRevision int64
	Class            *EngineClass
	Wanted, Used     []Adapter
	Command          *Command
}

// gateway is what a gateway told last.
type gateway struct {
	heard time.Time
	used  []Adapter
}

// Core decides what the agent does next. It has no I/O and no clock.
type Core struct {
	reportInterval time.Duration

	endpointID       string
	endpointRevision int64
	class            *EngineClass
	gateways         map[string]*gateway
	wanted           map[Adapter]time.Time
	lastUsed         map[Adapter]time.Time

	report   *Report
	reportAt time.Time
	// stale is set when an order has been sent since the report: no further one is decided on it.
	stale bool
	// down is set while the engine does not answer.
	down bool
	// calling is set while a call of the engine is under way.
	calling bool
	// notBefore is when the next order may be sent.
	notBefore time.Time

	command   *Command
	commandAt time.Time
	// loading is set once the engine has accepted the command's load.
	loading bool
	// finished is the last command that was taken up.
	finished uint64
}

// NewCore returns a core that reads the report at the given interval.
func NewCore(reportInterval time.Duration) *Core {
	return &Core{
		reportInterval: reportInterval,
		gateways:       make(map[string]*gateway),
		wanted:         make(map[Adapter]time.Time),
		lastUsed:       make(map[Adapter]time.Time),
	}
}

// FromGateway takes in a gateway's message.
func (c *Core) FromGateway(now time.Time, name string, m GatewayMessage) {
	e := c.gateways[name]
	if e == nil {
		e = &gateway{}
		c.gateways[name] = e
	}
	e.heard, e.used = now, m.Used
	for _, a := range m.Used {
		c.lastUsed[a] = now
	}
	if m.EndpointID != "" && m.EndpointRevision >= c.endpointRevision && m.EndpointID != c.endpointID {
		c.endpointID, c.command = m.EndpointID, nil
	}
	c.endpointRevision = max(c.endpointRevision, m.EndpointRevision)
	if m.Class != nil && (c.class == nil || m.Class.Version > c.class.Version) {
		c.class = m.Class
	}
	for _, a := range m.Wanted {
		c.wanted[a] = now
	}
	c.takeCommand(now, m.Command)
}

// takeCommand takes up a command unless one is being carried out.
func (c *Core) takeCommand(now time.Time, command *Command) {
	if command == nil || c.command != nil || command.EndpointID != c.endpointID {
		return
	}
	c.command, c.commandAt, c.loading, c.finished = command, now, false, command.ID
}

// Forget drops a gateway whose link has ended.
func (c *Core) Forget(name string) { delete(c.gateways, name) }

// Gateways returns the gateways that are connected.
func (c *Core) Gateways(now time.Time) []string {
	var names []string
	for name, e := range c.gateways {
		if now.Sub(e.heard) < gatewayLife {
			names = append(names, name)
		}
	}
	return names
}

// Reported takes in the engine's report.
func (c *Core) Reported(now time.Time, r *Report) {
	if c.report != nil && r.Sequence < c.report.Sequence {
		// The engine was restarted and has forgotten its orders.
		c.command = nil
	}
	c.report, c.reportAt, c.stale, c.calling, c.down = r, now, false, false, false
	c.finishCommand(now)
}

// NoReport notes that the engine did not answer.
func (c *Core) NoReport(now time.Time) {
	c.calling, c.down = false, true
	c.reportAt = now
}

// load returns the engine's requests.
func (c *Core) load() (running, queued int) {
	if c.report == nil || c.down {
		return 0, 0
	}
	return c.report.Running, c.report.Queued
}

// finishCommand ends a command that holds, or that can't be carried out in its time.
func (c *Core) finishCommand(now time.Time) {
	if c.command == nil {
		return
	}
	_, loaded := c.report.Models[c.command.Load]
	gone := !nameset.HoldsAny(c.report.Models, c.command.Unload)
	failed := c.loading && !c.report.Busy && !loaded
	if (loaded || c.command.Load == "") && gone || failed || now.Sub(c.commandAt) > commandLife {
		c.command = nil
	}
}

// Answered takes in the engine's answer to an order.
func (c *Core) Answered(now time.Time, o Order, result Result) {
	c.calling, c.stale = false, true
	c.reportAt = time.Time{}
	switch result {
	case Accepted:
		if o.Adapter == "" && o.Kind == Load {
			c.loading = true
		}
		if o.Adapter != "" && o.Kind == Load {
			delete(c.wanted, Adapter{Model: o.Model, Name: o.Adapter})
		}
	case Rejected, WrongEndpoint:
		if o.Adapter == "" {
			c.command = nil
		}
		c.notBefore = now.Add(orderPause)
	default:
		c.notBefore = now.Add(orderPause)
	}
}

// Action is what the shell does next.
type Action struct {
	// Read asks for the engine's report, Order gives it an order; at most one of them is set.
	Read  bool
	Order *Order
	// At is when Next is to be called again if nothing happens before.
	At time.Time
}

// Next returns what to do now.
func (c *Core) Next(now time.Time) Action {
	if c.calling {
		return Action{At: now.Add(c.reportInterval)}
	}
	if !c.down && (c.report == nil || c.stale) || now.Sub(c.reportAt) >= c.interval() {
		c.calling = true
		return Action{Read: true}
	}
	if order := c.nextOrder(now); order != nil {
		c.calling = true
		return Action{Order: order}
	}
	return Action{At: c.reportAt.Add(c.interval())}
}

func (c *Core) interval() time.Duration {
	if c.report != nil && (c.report.Busy || len(c.report.Fetching) > 0) {
		return min(busyReportInterval, c.reportInterval)
	}
	return c.reportInterval
}

// nextOrder returns the order to give now, if there is one.
func (c *Core) nextOrder(now time.Time) *Order {
	if c.endpointID == "" || c.class == nil || c.down || now.Before(c.notBefore) {
		return nil
	}
	if order := c.adapterOrder(now); order != nil {
		return c.stamp(order)
	}
	return c.stamp(c.commandOrder())
}

// stamp binds an order to the engine's incarnation and to the report that it was decided on.
func (c *Core) stamp(o *Order) *Order {
	if o != nil {
		o.EndpointID, o.Sequence = c.endpointID, c.report.Sequence
	}
	return o
}

// commandOrder returns the next order of the command.
func (c *Core) commandOrder() *Order {
	if c.command == nil || c.report.Busy {
		return nil
	}
	for _, m := range c.command.Unload {
		if _, ok := c.report.Models[m]; ok {
			return &Order{Kind: Unload, Model: m}
		}
	}
	load := c.command.Load
	if _, loaded := c.report.Models[load]; load == "" || loaded {
		return nil
	}
	if c.memoryFree() < c.class.Models[load].SizeMB {
		c.command = nil
		return nil
	}
	return &Order{Kind: Load, Model: load}
}

// memoryFree is the memory that neither models nor adapters take, those on their way included.
func (c *Core) memoryFree() float64 {
	free := c.class.MemoryMB
	for name, adapters := range c.report.Models {
		m := c.class.Models[name]
		free -= m.SizeMB + float64(len(adapters))*m.AdapterMB
	}
	for a := range c.report.Fetching {
		if !c.report.Models[a.Model][a.Name] {
			free -= c.class.Models[a.Model].AdapterMB
		}
	}
	return free
}
