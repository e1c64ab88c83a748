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

// guard names something that the joining of the machines rests on. A world can leave one out, to show that its checks see
// what the guard prevents.
type guard string

const (
	guardNone guard = ""
	// guardNotLoaded: an engine's answer that it has not loaded the model is a refusal, not the answer to the request.
	guardNotLoaded guard = "not loaded is a refusal"
	// guardAnswerFirst: the caller's final answer does not wait for the record of the claim.
	guardAnswerBeforeRecord guard = "answer first"
	// guardDisplaced: what the machine asks for when displaced requests are taken away is carried out.
	guardDisplacedActions guard = "displaced requests' actions"
	// guardReadID: an answer of the engine names the read that asked for it.
	guardReadID guard = "number of the read"
	// guardFirstByte: the patience with a streamed answer begins with its first byte, not with its head.
	guardFirstByte guard = "first byte"
	// guardStreams: an agent keeps all control streams of an entry, not the one that was taken up last.
	guardAllStreams guard = "all control streams"
	// guardFade: an estimate that refuses all requests of a target at which nothing runs fades.
	guardEstimateFade guard = "estimates fade"
	// guardUnloads: a planned stop of an agent waits for the unloads on their way.
	guardUnloadsAtStop guard = "unloads at a stop"
)

// world is all processes with what surrounds them, and the truth about it.
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

	// truth holds the declarations as accepted, acceptedAt when each revision was, and rows the grants.
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
	// slowStore makes loads slow.
	slowStore bool
	counts    map[string]int
	// mends end the faults that are there.
	recoveries []func()
	// last are the calls at the end of a run.
	finalCalls []*finalCall
}

// faulty is true once in so many times while there are faults.
func (w *world) faulty(in int) bool { return !w.healthy && w.severity > 0 && w.oneIn(in*3/w.severity) }

// shape is the size of a world.
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

// begin starts all processes.
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

// addHost adds a live host for an endpoint's name.
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

// labels are an endpoint's own labels.
func (h *host) labels() map[string]string {
	if h.kind == kindService {
		return map[string]string{"pool": "ledger"}
	}
	return map[string]string{"pool": []string{"a", "b"}[h.endpoint[len(h.endpoint)-1]%2]}
}

// liveEntries returns the entries whose processes are there.
func (w *world) liveEntries() []*entry {
	var list []*entry
	for _, name := range w.entryNames {
		if e := w.entries[name]; e.alive {
			list = append(list, e)
		}
	}
	return list
}

// freeClaims lets claims do the work in the background that waits. The bubble of testing/synctest tells when it is done.
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

// changed follows each commit as it happens.
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

// declared takes in an accepted edit.
func (w *world) applyAccepted(delta *pb.Delta) {
	if applied, _ := w.reference.ApplyDelta(delta); !applied {
		w.violated("P9", "revision %d follows %d in the table", delta.Revision, w.reference.Revision())
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

// rowChanged checks a change of a grant: it keeps to the maximum that is in force, and a slot that is being released is
// never granted again.
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
			w.violated("P1", "%s: the slot of %s is granted again while it is released", after.Model, s.Engine)
		}
	}
}

func (w *world) checkGrant(row *replicaspb.Row) {
	name, _, _ := strings.Cut(row.Model, "@")
	model, ok := w.reference.Current().Model(name)
	if !ok {
		w.violated("P1", "%s is granted and not declared", row.Model)
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

// check checks after each step what an engine or the table may have changed: whatever an engine holds, it has a slot for.
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
				w.violated("P1", "%s on %s holds %s, the row is %s", h.endpoint, h.id, model, slotsText(w.rows[model]))
			}
		}
	}
}
