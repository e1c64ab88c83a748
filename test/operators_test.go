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

// edit is one edit of an operator and what came of it.
type edit struct {
	operation string
	author    string
	label     string
	// base is the revision that the edit was made on, 0 for any.
	base uint64
	sent time.Time
	// ended is when the answer came.
	ended time.Time
	// revision is that of an accepted edit.
	revision uint64
	err      error
}

// unknown reports whether the editor was not told what became of the edit.
func (e *edit) unknown() bool {
	var unknown *operator.OutcomeUnknownError
	return errors.As(e.err, &unknown)
}

// The object that all editors change, and the label on it.
const (
	editedKind  = "model"
	editedName  = "crack"
	editedLabel = "note"
)

// editInterval is the time between two edits of one editor.
const editInterval = 150 * time.Millisecond

// editors are two operators who change the same label again and again, one of them always on the revision that it last
// saw.
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

// stop ends the edits and returns all of them.
func (e *editors) stop() []*edit {
	e.stopOnce.Do(func() { close(e.stopped) })
	e.running.Wait()
	return e.edits
}

// run makes edits over the entries in turn, beginning with the given one.
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

// make makes one edit.
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

// send makes the edit.
func (e *edit) send(ctx context.Context, client *operator.Client) {
	e.sent = time.Now()
	accepted, err := client.Label(ctx, operator.LabelRequest{
		ObjectKey: operator.ObjectKey{Kind: editedKind, Name: editedName},
		Set:       map[string]string{editedLabel: e.label},
		Edit:      operator.Edit{Author: e.author, Base: e.base, OperationID: e.operation},
	})
	e.ended, e.revision, e.err = time.Now(), accepted.Revision, err
}

// editAt makes one more edit at an entry, which must be accepted.
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

// settleEdits looks up what became of the edits of unknown outcome.
func (c *cluster) resolveUnknownEdits(edits []*edit) {
	c.t.Helper()
	for _, e := range edits {
		if !e.unknown() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		operation := operator.Settle(ctx, c.operatorClient, e.operation)
		cancel()
		switch operation.State {
		case operator.OperationApplied:
			e.revision = operation.Revision
		case operator.OperationUnknown:
			c.t.Logf("edit %s is of unknown outcome still", e.operation)
		}
	}
}

// summarizeEdits counts edits by what became of them.
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
		return "unknown, then accepted"
	case e.unknown():
		return "unknown, then not"
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
