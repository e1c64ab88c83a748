package joined

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/declarations"
	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/wire/wirepb"
)

// modelMemory is the memory of each model. They do not all fit into one engine.
var modelMemory = map[string]int64{"a": 40, "b": 50, "c": 30}

var (
	modelNames      = []string{"a", "b", "c"}
	selectors       = []string{"pool = a", "pool = b", "pool in (a, b)", ""}
	requestedModels = []string{"a", "a", "a-x", "a-y", "b", "b-x", "c"}
)

// randomModel returns the declaration of a model with random numbers of replicas and a random selector.
func (w *world) randomModel(name string) string {
	maxReplicas, warm := 1+w.random.IntN(3), w.random.IntN(4)/3
	if w.healthy {
		// Two models that stay loaded could leave no memory for the third.
		warm = 0
	}
	return fmt.Sprintf(`
[model %q]
versions = 1
engine_selector = %s
memory = %dB
kv_floor = 5B
min_replicas = %d
max_replicas = %d
warm_replicas = %d
max_concurrency = %d
load_time = 1s
`, name, pick(w.sim, selectors), modelMemory[name], 1+w.random.IntN(maxReplicas), maxReplicas, warm, 1+w.random.IntN(3))
}

// firstDeclarations returns the declarations at the start of a run.
func (w *world) firstDeclarations() string {
	file := `
[service "ledger"]
path_prefix = /ledger/
endpoint_selector = pool = ledger
max_concurrency = 3
`
	for _, name := range modelNames {
		file += w.randomModel(name)
	}
	for _, adapter := range []string{"a-x", "a-y", "b-x"} {
		file += fmt.Sprintf("\n[adapter %q]\nmodel = %s\nmemory = 6B\n", adapter, adapter[:1])
	}
	return file
}

// apply applies a file of declarations at an entry.
func (w *world) apply(e *entry, file string) {
	w.edit(e, declarations.PutFile("file", []byte(file), nil))
}

// edit makes an edit at an entry, unless it is down or frozen.
func (w *world) edit(e *entry, change declarations.ChangeFunc) {
	if !e.alive || e.frozen {
		return
	}
	w.edits++
	result, err := e.store.Edit(context.Background(), declarations.EditRequest{
		Author: "operator", OperationID: fmt.Sprint("edit", w.edits), Change: change,
	})
	e.skipClock.skipped = 0
	w.logf("edit %d at %s: revision %d, %v", w.edits, e.name, result.Revision, err)
	if errors.Is(err, declarations.ErrInvalid) {
		w.violated("test", "edit %d: %v", w.edits, err)
	}
	if err == nil && result.Revision > w.reference.Revision() {
		w.violated("P9", "edit %d was accepted as revision %d, but the table has %d", w.edits, result.Revision, w.reference.Revision())
	}
	w.counts["edits"]++
	e.pushRevision()
}

// scheduleEdits makes a random edit and schedules the next one.
func (w *world) scheduleEdits() {
	if w.healthy {
		return
	}
	w.randomEdit()
	w.after(w.between(200*time.Millisecond, 5*time.Second), w.scheduleEdits)
}

func (w *world) randomEdit() {
	e := w.randomEntry()
	engine := w.randomHost().endpoint
	switch n := w.random.IntN(10); {
	case n < 4:
		w.apply(e, w.randomModel(pick(w.sim, modelNames)))
	case n < 6:
		w.edit(e, declarations.SetDrain(engine, w.oneIn(2)))
	case n < 9 && w.current[engine].kind == kindEngine:
		key := &pb.ObjectKey{Kind: declarations.KindEngine, Name: engine}
		w.edit(e, declarations.SetLabels(key, map[string]string{"pool": pick(w.sim, []string{"a", "b"})}, nil))
	case n == 9:
		// Model c has no adapters, so that it can be deleted and declared again.
		if _, ok := w.reference.Current().Model("c"); ok {
			w.edit(e, declarations.PutObjects(nil, []*pb.ObjectKey{{Kind: declarations.KindModel, Name: "c"}}))
		}
	}
}

// scheduleCalls makes a random call, or occasionally several at once, and schedules the next ones.
func (w *world) scheduleCalls() {
	if w.healthy {
		return
	}
	n := 1
	if w.oneIn(15) {
		n = 8
	}
	for range n {
		w.randomCall()
	}
	w.after(w.between(10*time.Millisecond, 500*time.Millisecond), w.scheduleCalls)
}

func (w *world) randomCall() {
	entries := w.readyEntries()
	if len(entries) == 0 {
		return
	}
	c := w.newCall()
	c.timeout = w.between(50*time.Millisecond, 6*time.Second)
	c.caller = pick(w.sim, []string{"x", "y", "z"})
	if w.oneIn(25) {
		c.disconnectAfter = w.between(0, c.timeout)
	}
	if w.oneIn(3) {
		c.service = serviceName
		c.idempotent = w.oneIn(4)
		if !c.idempotent && w.oneIn(2) {
			c.key = fmt.Sprint("key", c.number/4)
			c.repeats = 2
		}
	} else {
		c.model = pick(w.sim, requestedModels)
		c.streamed = w.oneIn(2)
		if w.oneIn(4) {
			c.class = wirepb.Class_BATCH
			c.timeout *= 3
		}
	}
	c.send(pick(w.sim, entries))
}

// readyEntries returns the entries to which the load balancer sends calls. They include frozen entries, because its health
// checks are delayed.
func (w *world) readyEntries() []*entry {
	var list []*entry
	for _, e := range w.liveEntries() {
		if e.ready() {
			list = append(list, e)
		}
	}
	return list
}
