package test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"balsamsail/internal/operator"
)

// edit is one edit of an operator and its result.
type edit struct {
	operation string
	author    string
	label     string
	// base is the revision that the edit requires to be current, 0 for any.
	base uint64
	sent time.Time
	// ended is when the answer arrived.
	ended time.Time
	// revision is the revision that an accepted edit became, else 0.
	revision uint64
	err      error
}

// unknown reports whether the editor got no definite answer, so that the edit may or may not have been applied.
func (e *edit) unknown() bool {
	var unknown *operator.OutcomeUnknownError
	return errors.As(e.err, &unknown)
}

// The object and the label that all editors change.
const (
	editedKind  = "model"
	editedName  = "crack"
	editedLabel = "note"
)

// editInterval is the time between two edits of one editor.
const editInterval = 150 * time.Millisecond

// editors are two operators who repeatedly change the same label. One requires the revision that it read before to be
// current, the other accepts any.
type editors struct {
	cluster  *cluster
	stopped  chan struct{}
	stopOnce sync.Once
	running  sync.WaitGroup

	mu    sync.Mutex
	edits []*edit
}

func startEditors(c *cluster) *editors {
	e := &editors{cluster: c, stopped: make(chan struct{})}
	e.running.Go(func() { e.run("blind", false, 0) })
	e.running.Go(func() { e.run("careful", true, 1) })
	return e
}

// stop ends the editing and returns all edits.
func (e *editors) stop() []*edit {
	e.stopOnce.Do(func() { close(e.stopped) })
	e.running.Wait()
	return e.edits
}

// run makes edits until stop, at each entry in turn from the turn-th. Conditional edits require the revision read
// before.
func (e *editors) run(author string, conditional bool, turn int) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ; n++ {
		entry := e.cluster.entries[(turn+n)%len(e.cluster.entries)]
		e.makeEdit(operator.NewClient([]string{entry.operatorsURL()}, client), author, conditional, n)
		select {
		case <-e.stopped:
			return
		case <-time.After(editInterval):
		}
	}
}

// makeEdit makes one edit and records it.
func (e *editors) makeEdit(client *operator.Client, author string, conditional bool, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	one := &edit{
		operation: fmt.Sprintf("%s-%d-%d", author, n, time.Now().UnixNano()),
		author:    author,
		label:     fmt.Sprintf("%s-%d", author, n),
	}
	if conditional {
		objects, err := client.Objects(ctx, operator.ObjectQuery{Kind: editedKind, Name: editedName})
		if err != nil {
			return
		}
		one.base = objects.Revision
	}
	one.send(ctx, client)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.edits = append(e.edits, one)
}

// send sends the edit and sets its result.
func (e *edit) send(ctx context.Context, client *operator.Client) {
	e.sent = time.Now()
	accepted, err := client.Label(ctx, operator.LabelRequest{
		ObjectKey: operator.ObjectKey{Kind: editedKind, Name: editedName},
		Set:       map[string]string{editedLabel: e.label},
		Edit:      operator.Edit{Author: e.author, Base: e.base, OperationID: e.operation},
	})
	e.ended, e.revision, e.err = time.Now(), accepted.Revision, err
}

// editAt makes one additional edit at an entry and fails the test if it isn't accepted.
func (c *cluster) editAt(entry string) {
	c.t.Helper()
	one := &edit{operation: fmt.Sprintf("single-%d", time.Now().UnixNano()), author: "single", label: "single"}
	one.send(c.t.Context(), operator.NewClient([]string{c.entry(entry).operatorsURL()}, controlClient))
	if one.err != nil {
		c.t.Fatalf("edit at %s: %v", entry, one.err)
	}
	c.editsMu.Lock()
	defer c.editsMu.Unlock()
	c.edits = append(c.edits, one)
}

// resolveUnknownEdits looks up the outcome of each edit whose answer was not definite.
func (c *cluster) resolveUnknownEdits(edits []*edit) {
	c.t.Helper()
	for _, e := range edits {
		if !e.unknown() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		operation := operator.AwaitOperation(ctx, c.operatorClient, e.operation)
		cancel()
		switch operation.State {
		case operator.OperationApplied:
			e.revision = operation.Revision
		case operator.OperationUnknown:
			c.t.Logf("the outcome of edit %s is still unknown", e.operation)
		}
	}
}

// summarizeEdits counts edits by result.
func summarizeEdits(edits []*edit) string {
	counts := map[string]int{}
	for _, e := range edits {
		counts[e.result()]++
	}
	return fmt.Sprint(counts)
}

func (e *edit) result() string {
	var conflict *operator.ConflictError
	var unavailable *operator.UnavailableError
	switch {
	case e.err == nil:
		return "accepted"
	case e.unknown() && e.revision > 0:
		return "unknown, found accepted"
	case e.unknown():
		return "unknown, not found accepted"
	case errors.As(e.err, &conflict):
		return "conflict"
	case errors.As(e.err, &unavailable):
		return "unavailable"
	case errors.Is(e.err, operator.ErrUnreachable):
		return "unreachable"
	default:
		return e.err.Error()
	}
}
