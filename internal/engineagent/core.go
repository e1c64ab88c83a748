// Package engineagent implements the agent that runs on the host of one engine and is the only process that sends it orders.
// The agent polls the engine's report locally, where it is up to date and cheap to read, publishes the engine's state to the
// gateways, and carries out their requests as far as the engine's memory and adapter capacity allow.
package engineagent

import (
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/nameset"
)

const (
	// commandTimeout is how long the agent tries to complete a command. A load from the weight store takes 6 to 13 s, and
	// several times as long when many loads run at once.
	commandTimeout = 90 * time.Second
	// orderRetryDelay is the delay before the next order after one that the engine refused or did not answer.
	orderRetryDelay = 60 * time.Millisecond
	// busyReportInterval is the report interval while the engine carries out an order, since requests wait for its completion.
	busyReportInterval = 40 * time.Millisecond
	// wantedTTL is how long a request for an adapter stays valid. Gateways repeat it while requests wait for the adapter.
	wantedTTL = 400 * time.Millisecond
	// gatewayTTL is how long a gateway's last message stays valid.
	gatewayTTL = 1500 * time.Millisecond
)

// Model is the operator's declaration of a model.
type Model struct {
	SizeMB, AdapterMB float64
}

// EngineClass is the operator's declaration of the engine.
type EngineClass struct {
	Version     int64
	MemoryMB    float64
	MaxAdapters int
	Models      map[string]Model
}

// Adapter identifies an adapter of a model.
type Adapter struct{ Model, Name string }

// Report is the state that the engine reports.
type Report struct {
	// Started is the Unix time in milliseconds at which the engine's process started; 0 if the engine does not state it.
	Started int64
	// Models holds the loaded models, each with its loaded adapters.
	Models map[string]map[string]bool
	// Fetching holds the adapters that are being fetched.
	Fetching map[Adapter]bool
	// Busy is set while the engine carries out an order on a model.
	Busy bool
	// Sequence is the number of orders that the engine has accepted.
	Sequence        int64
	Running, Queued int
	// InMemory and OnDisk are the models whose weights the host has cached.
	InMemory, OnDisk map[string]bool
}

// OrderKind is the operation that an order requests.
type OrderKind int

// The kinds of orders.
const (
	Load OrderKind = iota
	Unload
)

// Order requests that the engine load or unload a model, or an adapter if Adapter is set.
type Order struct {
	Kind    OrderKind
	Model   string
	Adapter string
	// EndpointID is the engine incarnation that the order is meant for; another one refuses it.
	EndpointID string
	// Sequence is the number of accepted orders that the engine must be at.
	//
	// It guards against an order whose response was lost and that reaches the engine seconds later, after newer ones: the
	// engine has moved past its sequence and rejects it. Otherwise a delayed load would be added to a newer one and
	// overcommit the engine's memory, which crashes it.
	Sequence int64
}

// Result is the outcome of an order.
type Result int

// The results of an order.
const (
	// Accepted means that the engine carries out the order and counts it in its sequence.
	Accepted Result = iota
	// Unchanged means that the engine is already in the requested state, or has reached it at once.
	Unchanged
	// Conflict means that another order is in progress or the sequence does not match.
	Conflict
	// WrongEndpoint means that a different incarnation is listening at the address.
	WrongEndpoint
	// Rejected means that the engine will not carry out the order.
	Rejected
	// Unknown means that the outcome is unknown: the order may have been accepted or may still be accepted later.
	Unknown
)

func (r Result) String() string {
	return [...]string{"accepted", "unchanged", "conflict", "wrong_endpoint", "rejected", "unknown"}[r]
}

// Command requests a change of the loaded models: unload those in Unload, then load Load. The coordinator sends it to the
// agent, which carries it out by sending orders to the engine.
type Command struct {
	ID         uint64
	EndpointID string
	// EngineStarted is the start of the engine process that the command is meant for; 0 if unknown.
	EngineStarted int64
	Unload        []string
	Load          string
}

// GatewayMessage is a message from a gateway.
type GatewayMessage struct {
	// Stream numbers the gateway's stream; a later one has a greater number.
	Stream           uint64
	EndpointID       string
	EndpointRevision int64
	Class            *EngineClass
	Wanted, Used     []Adapter
	Command          *Command
}

// gateway is the state of a connected gateway, from its last message.
type gateway struct {
	stream        uint64
	lastMessageAt time.Time
	used          []Adapter
}

// Core is the agent's state machine: it decides what the agent does next. It does no I/O and reads no clock.
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
	// started is the start of the engine's process, from its reports; 0 if they do not state it.
	started int64
	// lateOrders are the orders to earlier processes of the engine that may still be carried out by the current one, and
	// unansweredOrders those to the current process whose outcome is unknown.
	lateOrders, unansweredOrders []unansweredOrder
	// leastSequence is the least sequence that the current process can report: the last one it reported, or one more than that of an
	// order it has accepted since.
	leastSequence int64
	// unproven is set when a report was less than that, and proving while it is read over a new connection.
	unproven, proving bool
	// stale is set when an order has been sent since the report was read; no further order may be based on that report.
	stale bool
	// down is set while the engine does not respond.
	down bool
	// callInFlight is set while a call to the engine is in progress.
	callInFlight bool
	// notBefore is the earliest time for the next order.
	notBefore time.Time

	command          *Command
	commandStartedAt time.Time
	// loading is set once the engine has accepted the command's load.
	loading bool
	// lastCommandID identifies the command that was accepted last.
	lastCommandID uint64
}

// NewCore returns a Core that reads the engine's report at the given interval.
func NewCore(reportInterval time.Duration) *Core {
	return &Core{
		reportInterval: reportInterval,
		gateways:       make(map[string]*gateway),
		wanted:         make(map[Adapter]time.Time),
		lastUsed:       make(map[Adapter]time.Time),
	}
}

// HandleGatewayMessage handles a message from the named gateway. It ignores one of an earlier stream than the gateway's last message.
func (c *Core) HandleGatewayMessage(now time.Time, name string, m GatewayMessage) {
	g := c.gateways[name]
	if g == nil {
		g = &gateway{}
		c.gateways[name] = g
	}
	if m.Stream < g.stream {
		return
	}
	g.stream, g.lastMessageAt, g.used = m.Stream, now, m.Used
	for _, a := range m.Used {
		c.lastUsed[a] = now
	}
	if m.EndpointID != "" && m.EndpointRevision >= c.endpointRevision && m.EndpointID != c.endpointID {
		c.endpointID, c.command = m.EndpointID, nil
		// Late orders name the earlier ID, so the engine refuses them; the start of its process is not compared across IDs.
		c.lateOrders, c.unansweredOrders, c.started = nil, nil, 0
	}
	c.endpointRevision = max(c.endpointRevision, m.EndpointRevision)
	if m.Class != nil && (c.class == nil || m.Class.Version > c.class.Version) {
		c.class = m.Class
	}
	for _, a := range m.Wanted {
		c.wanted[a] = now
	}
	c.acceptCommand(now, m.Command)
}

// isForAnother reports whether a command is meant for another process of the engine than the one that started at a time.
func (c *Command) isForAnother(started int64) bool {
	return c.EngineStarted != 0 && started != 0 && c.EngineStarted != started
}

// acceptCommand makes a command the current one. It ignores a command for another process of the engine, and any command
// while one is being carried out.
func (c *Core) acceptCommand(now time.Time, command *Command) {
	if command == nil || c.command != nil || command.EndpointID != c.endpointID || command.isForAnother(c.started) {
		return
	}
	c.command, c.commandStartedAt, c.loading, c.lastCommandID = command, now, false, command.ID
}

// RemoveGateway removes a gateway whose stream has ended, unless it has spoken on a later one.
func (c *Core) RemoveGateway(name string, stream uint64) {
	if g := c.gateways[name]; g != nil && g.stream == stream {
		delete(c.gateways, name)
	}
}

// Gateways returns the names of the connected gateways.
func (c *Core) Gateways(now time.Time) []string {
	var names []string
	for name, g := range c.gateways {
		if now.Sub(g.lastMessageAt) < gatewayTTL {
			names = append(names, name)
		}
	}
	return names
}

// ErrEarlierProcess means that a report is of an earlier process of the engine than the last one, or states none after one
// that did.
var ErrEarlierProcess = errors.New("engineagent: report of an earlier engine process")

// ErrUnproven means that a report is older than what is known of the engine, unless the engine has restarted. The engine may have sent
// an earlier report once more; the report that is read next shows which it is.
var ErrUnproven = errors.New("engineagent: report is older than what is known of the engine")

// HandleReport handles a report of the engine. It returns ErrEarlierProcess for one that is not used and counts as a failed read, and
// ErrUnproven for one that is not used and is read again.
func (c *Core) HandleReport(now time.Time, r *Report) error {
	if r.Started < c.started {
		c.HandleReportFailure(now)
		return errors.Wrapf(ErrEarlierProcess, "started %d, known %d", r.Started, c.started)
	}
	if c.report != nil && r.Started == c.started && r.Sequence < c.leastSequence && !c.proving {
		c.callInFlight, c.unproven = false, true
		return errors.Wrapf(ErrUnproven, "sequence %d, known %d", r.Sequence, c.leastSequence)
	}
	if c.report != nil && (c.started != 0 && r.Started > c.started || r.Sequence < c.report.Sequence) {
		c.handleRestart(now)
	}
	c.started, c.leastSequence = r.Started, r.Sequence
	c.report, c.reportAt, c.stale, c.callInFlight, c.down = r, now, false, false, false
	c.clearFinishedCommand(now)
	return nil
}

// handleRestart drops what was meant for the engine's earlier process. Orders that it has not answered may still reach
// the new process, which has the same ID and counts its orders from 0 again.
func (c *Core) handleRestart(now time.Time) {
	c.command = nil
	clear(c.wanted)
	clear(c.lastUsed)
	c.lateOrders = append(c.lateOrders, c.unansweredOrders...)
	c.unansweredOrders = nil
	c.forgetLateOrders(now)
}

// HandleReportFailure marks the engine as down after a failed read of its report.
func (c *Core) HandleReportFailure(now time.Time) {
	c.callInFlight, c.down = false, true
	c.reportAt = now
}

// requestCounts returns the engine's running and queued requests.
func (c *Core) requestCounts() (running, queued int) {
	if c.report == nil || c.down {
		return 0, 0
	}
	return c.report.Running, c.report.Queued
}

// clearFinishedCommand clears the current command once it is complete, has failed or has timed out.
func (c *Core) clearFinishedCommand(now time.Time) {
	if c.command == nil {
		return
	}
	_, loaded := c.report.Models[c.command.Load]
	unloaded := !nameset.HoldsAny(c.report.Models, c.command.Unload)
	failed := c.loading && !c.report.Busy && !loaded
	if (loaded || c.command.Load == "") && unloaded || failed || now.Sub(c.commandStartedAt) > commandTimeout {
		c.command = nil
	}
}

// HandleOrderResult handles the result of an order.
func (c *Core) HandleOrderResult(now time.Time, o Order, result Result) {
	c.callInFlight, c.stale = false, true
	c.reportAt = time.Time{}
	switch result {
	case Accepted, Unchanged:
		if result == Accepted {
			c.leastSequence = max(c.leastSequence, o.Sequence+1)
		}
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
		c.notBefore = now.Add(orderRetryDelay)
	default:
		c.notBefore = now.Add(orderRetryDelay)
	}
	if result == Unknown {
		c.unansweredOrders = append(c.unansweredOrders, unansweredOrder{Order: o, until: now.Add(lateOrderTTL)})
	}
	c.forgetLateOrders(now)
}

// Action is what the Agent has to do next.
type Action struct {
	// Read requests a read of the engine's report, Order the sending of an order; at most one of them is set.
	Read  bool
	Order *Order
	// NewConnection is set if the report has to be read over a new connection, on which no earlier report can come.
	NewConnection bool
	// At is when to call Next again, if no event occurs earlier.
	At time.Time
}

// Next returns the next action.
func (c *Core) Next(now time.Time) Action {
	if c.callInFlight {
		return Action{At: now.Add(c.reportInterval)}
	}
	if c.unproven || !c.down && (c.report == nil || c.stale) || now.Sub(c.reportAt) >= c.interval() {
		c.callInFlight, c.proving, c.unproven = true, c.unproven, false
		return Action{Read: true, NewConnection: c.proving}
	}
	if order := c.nextOrder(now); order != nil {
		c.callInFlight = true
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

// nextOrder returns the next order to send, or nil.
func (c *Core) nextOrder(now time.Time) *Order {
	if c.endpointID == "" || c.class == nil || c.down || now.Before(c.notBefore) {
		return nil
	}
	c.forgetLateOrders(now)
	if order := c.adapterOrder(now); order != nil {
		return c.stamp(order)
	}
	return c.stamp(c.commandOrder())
}

// stamp binds an order to the engine's incarnation and to the sequence of the report on which the order is based.
func (c *Core) stamp(o *Order) *Order {
	if o != nil {
		o.EndpointID, o.Sequence = c.endpointID, c.report.Sequence
	}
	return o
}

// commandOrder returns the next order of the current command, or nil. It drops a command whose load does not fit in memory.
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

// memoryFree returns the memory not taken by models and adapters, including adapters being fetched and what late orders
// may load.
func (c *Core) memoryFree() float64 {
	free := c.class.MemoryMB - c.lateOrderMemory()
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
