package joined

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/atmostonce"
	"balsamsail/internal/backing"
	"balsamsail/internal/declarations"
	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/replicas"
	"balsamsail/internal/replicas/replicaspb"
	"testing/synctest"
)

const (
	engineLimit = 100
	engineBase  = 7
	serviceName = "ledger"
)

// guard names a rule in the code that connects the state machines. A test can disable one guard to show that the checks
// detect the fault that it prevents.
type guard string

const (
	guardNone guard = ""
	// guardNotLoaded: an engine's response that the model is not loaded is a refusal, not the answer to the request.
	guardNotLoaded guard = "model-not-loaded response is a refusal"
	// guardAnswerBeforeRecord: the caller's final answer does not wait until the outcome of the claim is recorded.
	guardAnswerBeforeRecord guard = "answer before claim record"
	// guardDisplacedActions: the loading machine's actions after the removal of displaced requests are executed.
	guardDisplacedActions guard = "displaced requests' actions"
	// guardReadID: the result of an engine state read carries the ID of the read that requested it.
	guardReadID guard = "ID of the read"
	// guardFirstByte: the timeout for the rest of a streamed answer starts at its first byte, not at its head.
	guardFirstByte guard = "timeout from first byte"
	// guardAllStreams: an agent keeps all control streams of an entry, not only the one that was accepted last.
	guardAllStreams guard = "all control streams"
	// guardEstimateFade: a service time estimate fades if it causes refusals although the target is idle.
	guardEstimateFade guard = "estimates fade"
	// guardUnloadsAtStop: a planned stop of an agent waits for unload orders in flight.
	guardUnloadsAtStop guard = "unloads at a stop"
)

// world contains all simulated processes and their environment, and the reference state that the checks use.
type world struct {
	*sim
	net           *network
	table         *memoryTable
	operators     *tableClient
	hosts         *hostList
	allHosts      []*host
	hostByID      map[string]*host
	current       map[string]*host
	entryNames    []string
	entries       map[string]*entry
	disabledGuard guard

	// reference holds the accepted declarations, acceptedAt the time of each revision, and rows the current grants.
	// drainedAt is the time since which each drained engine is drained.
	reference  *declarations.Receiver
	acceptedAt []time.Duration
	rows       map[string]*replicaspb.Row
	drainedAt  map[string]time.Duration
	dirty      bool

	calls        []*call
	callOf       map[string]*call
	keyRuns      map[string]int
	agents       int
	runs         int
	edits        int
	hostIDs      int
	severity     int
	healthy      bool
	tableFaultAt time.Duration
	// slowStore makes loads from the weight store slow.
	slowStore bool
	counts    map[string]int
	// recoveries end the current faults.
	recoveries []func()
	// finalCalls are the calls at the end of a run.
	finalCalls []*finalCall
}

// faulty returns true with probability severity/(3*in). It returns false once the world is healthy, which means that the
// faults have ended.
func (w *world) faulty(in int) bool { return !w.healthy && w.severity > 0 && w.oneIn(in*3/w.severity) }

// topology holds the numbers of processes in a world, the engines' fencing modes and the severity of the faults.
type topology struct {
	entries, engines, services int
	fencing                    []fencing
	severity                   int
}

func newWorld(seed uint64, s topology) *world {
	base := &sim{random: rand.New(rand.NewPCG(seed, 1))}
	w := &world{
		sim: base, net: newNetwork(base), table: newMemoryTable(base), hosts: &hostList{sim: base},
		hostByID: map[string]*host{}, current: map[string]*host{}, entries: map[string]*entry{},
		reference: declarations.NewReceiver(), rows: map[string]*replicaspb.Row{}, drainedAt: map[string]time.Duration{},
		acceptedAt: []time.Duration{0}, callOf: map[string]*call{}, keyRuns: map[string]int{}, counts: map[string]int{}, severity: s.severity,
	}
	w.table.changed = w.handleCommit
	w.operators = &tableClient{memoryTable: w.table}
	for i := range s.engines {
		w.addHost(fmt.Sprint("e", i), kindEngine, domainOf(i), s.fencing[i%len(s.fencing)])
	}
	for i := range s.services {
		w.addHost(fmt.Sprint("s", i), kindService, domainOf(i), fencingIgnored)
	}
	for i := range s.entries {
		w.entryNames = append(w.entryNames, fmt.Sprint("entry", i))
	}
	return w
}

func domainOf(i int) string { return []string{"north", "south"}[i%2] }

// startAll publishes the host list and starts all processes.
func (w *world) startAll() {
	w.publishHosts()
	for _, name := range w.entryNames {
		w.startEntry(name)
	}
	for _, h := range w.allHosts {
		h.startAgent()
	}
}

func (w *world) startEntry(name string) {
	if e := w.entries[name]; e != nil && e.alive {
		return
	}
	e := newEntry(w, name)
	w.entries[name] = e
	e.begin()
}

// addHost adds a live host for the named endpoint.
func (w *world) addHost(endpoint, kind, domain string, f fencing) *host {
	w.hostIDs++
	h := &host{
		world: w, id: fmt.Sprint("h", w.hostIDs), endpoint: endpoint, domain: domain, kind: kind, up: true, state: backing.HostLive,
	}
	if kind == kindEngine {
		h.engine = newEngine(h, f)
	} else {
		h.service = newService(h)
	}
	w.allHosts = append(w.allHosts, h)
	w.hostByID[h.id] = h
	w.current[endpoint] = h
	h.createdAt = w.elapsed
	return h
}

// labels returns the labels that the endpoint's agent reports.
func (h *host) labels() map[string]string {
	if h.kind == kindService {
		return map[string]string{"pool": "ledger"}
	}
	return map[string]string{"pool": []string{"a", "b"}[h.endpoint[len(h.endpoint)-1]%2]}
}

// liveEntries returns the entries whose processes are running or frozen.
func (w *world) liveEntries() []*entry {
	var list []*entry
	for _, name := range w.entryNames {
		if e := w.entries[name]; e.alive {
			list = append(list, e)
		}
	}
	return list
}

// runClaims runs the pending background work of claims. It uses the bubble of testing/synctest to detect when that is done.
func (w *world) runClaims(c *atmostonce.Claims) {
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = c.Run(ctx)
		close(done)
	}()
	synctest.Wait()
	end()
	<-done
}

// handleCommit checks each row that a commit changes and applies it to the reference state.
func (w *world) handleCommit(before, after backing.Row) {
	key := before.Key + after.Key
	if after.Key != "" {
		key = after.Key
	}
	switch {
	case strings.HasPrefix(key, replicas.KeyPrefix):
		w.checkRowChange(decodeRow(before), decodeRow(after))
	case strings.HasPrefix(key, "decl/log/") && after.Key != "":
		delta := &pb.Delta{}
		if err := proto.Unmarshal(after.Value, delta); err != nil {
			panic(err)
		}
		w.applyAccepted(delta)
	}
}

func decodeRow(stored backing.Row) *replicaspb.Row {
	if stored.Key == "" {
		return nil
	}
	row, err := replicas.DecodeRow(stored)
	if err != nil {
		panic(err)
	}
	return row
}

// applyAccepted applies an accepted edit to the reference state.
func (w *world) applyAccepted(delta *pb.Delta) {
	if applied, _ := w.reference.ApplyDelta(delta); !applied {
		w.violated("P9", "revision %d was committed after %d", delta.Revision, w.reference.Revision())
	}
	w.acceptedAt = append(w.acceptedAt, w.elapsed)
	w.logf("revision %d: %v", delta.Revision, delta)
	for _, e := range w.reference.Current().Engines() {
		if _, known := w.drainedAt[e.Name]; e.Drain && !known {
			w.drainedAt[e.Name] = w.elapsed
		}
		if !e.Drain {
			delete(w.drainedAt, e.Name)
		}
	}
}

// checkRowChange checks a change of a row of grants: a new grant respects the maximum in force, and a slot that is being
// released is never granted again.
func (w *world) checkRowChange(before, after *replicaspb.Row) {
	w.dirty = true
	w.counts["rows changed"]++
	delete(w.rows, before.GetModel())
	if after != nil {
		w.rows[after.Model] = after
	}
	w.logf("row %s%s: %s -> %s at %d", before.GetModel(), after.GetModel(), slotsText(before), slotsText(after), after.GetRevision())
	for _, s := range after.GetSlots() {
		was := replicas.SlotOf(before, s.Engine, s.Host)
		if was == nil {
			w.checkGrant(after)
		}
		if was.GetState() == replicaspb.SlotState_RELEASING && s.State == replicaspb.SlotState_GRANTED {
			w.violated("P1", "%s: the slot of %s is granted again while it is being released", after.Model, s.Engine)
		}
	}
}

func (w *world) checkGrant(row *replicaspb.Row) {
	name, _, _ := strings.Cut(row.Model, "@")
	model, ok := w.reference.Current().Model(name)
	if !ok {
		w.violated("P1", "%s is granted but not declared", row.Model)
		return
	}
	if len(row.Slots) > int(model.MaxReplicas) {
		w.violated("P1", "%s has %s, the maximum is %d", row.Model, slotsText(row), model.MaxReplicas)
	}
}

func slotsText(row *replicaspb.Row) string {
	var texts []string
	for _, s := range row.GetSlots() {
		text := s.Engine + "/" + s.Host
		if s.State == replicaspb.SlotState_RELEASING {
			text += "-"
		}
		texts = append(texts, text)
	}
	return "[" + strings.Join(texts, " ") + "]"
}

// check checks, after each step that changed an engine or the table, that every engine has a slot for each of its models.
func (w *world) check() {
	if !w.dirty {
		return
	}
	w.dirty = false
	for _, h := range w.allHosts {
		if h.engine == nil || !h.up {
			continue
		}
		for _, model := range slices.Sorted(maps.Keys(h.engine.models)) {
			if replicas.SlotOf(w.rows[model], h.endpoint, h.id) == nil {
				w.violated("P1", "%s on %s holds %s without a slot, the row is %s", h.endpoint, h.id, model, slotsText(w.rows[model]))
			}
		}
	}
}
