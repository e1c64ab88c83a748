package app

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"balsamsail/internal/control"
	"balsamsail/internal/crashes"
	"balsamsail/internal/watch"
	"balsamsail/platform"
	"balsamsail/platform/standin"
)

func mayHaveEnded(time.Time, crashes.Process, time.Time) bool { return true }

// startBlamedParts starts what a gateway keeps in a store of blamed parts. The returned function ends it.
func startBlamedParts(t *testing.T, store *platform.Store) (*crashes.Parts, context.CancelFunc) {
	t.Helper()
	parts := crashes.NewParts(mayHaveEnded)
	b := newBlamedParts(parts, nil, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	go b.run(ctx, store)
	go watch.Run(ctx, store, b.replica, watch.Options{Wait: func() time.Duration { return 20 * time.Second }, MinBackoff: 10 * time.Millisecond, MaxBackoff: 20 * time.Millisecond}, b.logger)
	return parts, cancel
}

func awaitBlame(t *testing.T, what string, parts *crashes.Parts, part crashes.Part, want bool) {
	t.Helper()
	const limit = 5 * time.Second
	for deadline := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		if _, blamed := parts.Blame(time.Now(), []crashes.Part{part}); blamed == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

func endUnder(parts *crashes.Parts, part crashes.Part, from, to int) {
	for i := from; i < to; i++ {
		parts.Ended(time.Now(), []crashes.Part{part}, crashes.Process{EndpointID: fmt.Sprint("e", i)}, crashes.Content(i))
	}
}

// Guards against gateways that all end at once, after which those that start know of no end and lose as many endpoints again. The
// store is down when the part is first blamed; what an answer has cleared is not blamed again.
func TestBlameOutlivesAllGateways(t *testing.T) {
	const part crashes.Part = 7
	standIn := standin.NewStore()
	server := httptest.NewServer(standIn)
	defer server.Close()
	store := platform.NewStore(server.Listener.Addr().String())
	standIn.SetFaults(func(f *standin.StoreFaults) { f.Down = true })
	first, endFirst := startBlamedParts(t, store)
	endUnder(first, part, 0, crashes.MaxEnded)
	time.Sleep(300 * time.Millisecond)
	standIn.SetFaults(func(f *standin.StoreFaults) { f.Down = false })
	other, endOther := startBlamedParts(t, store)
	awaitBlame(t, "another gateway blames the part", other, part, true)
	endFirst()
	endOther()

	next, endNext := startBlamedParts(t, store)
	awaitBlame(t, "a gateway that starts after them blames the part", next, part, true)
	next.Answered(time.Now(), []crashes.Part{part})
	awaitRows(t, store, 0)
	endNext()
	last, endLast := startBlamedParts(t, store)
	defer endLast()
	time.Sleep(100 * time.Millisecond)
	awaitBlame(t, "the part is cleared", last, part, false)
}

// Guards against rows that are written or removed again and again, by one gateway or by several that each have seen an end.
func TestBlamedPartsTakeFewWrites(t *testing.T) {
	const part crashes.Part = 7
	standIn := standin.NewStore()
	server := httptest.NewServer(standIn)
	defer server.Close()
	store := platform.NewStore(server.Listener.Addr().String())
	var gateways []*crashes.Parts
	for range 4 {
		g, end := startBlamedParts(t, store)
		defer end()
		gateways = append(gateways, g)
	}
	for i, g := range gateways {
		endUnder(g, part, crashes.MaxEnded*i, crashes.MaxEnded*(i+1))
	}
	awaitRows(t, store, 1)
	time.Sleep(4 * blameCheckInterval)
	before := standIn.Calls()
	time.Sleep(3 * blameCheckInterval)
	if calls := standIn.Calls() - before; calls > 0 {
		t.Errorf("%d calls in %v without an end", calls, 3*blameCheckInterval)
	}
}

// Guards against a foreign or damaged row that stops a gateway, or makes it blame a part.
func TestForeignRowsOfBlamedPartsAreIgnored(t *testing.T) {
	parts := crashes.NewParts(mayHaveEnded)
	b := newBlamedParts(parts, nil, slog.New(slog.DiscardHandler))
	b.Replace([]watch.Row{{Key: "7", Value: []byte("text")}, {Key: "", Value: nil}, {Key: "zz", Value: []byte{0xff}}})
	if n := parts.Suspects(); n != 0 {
		t.Errorf("%d parts are suspects", n)
	}
}

// Guards against a row that another writer overwrites and that is lost for the gateways that start later, although others know the ends.
func TestOverwrittenRowOfABlamedPartIsWrittenAgain(t *testing.T) {
	const part crashes.Part = 7
	standIn := standin.NewStore()
	server := httptest.NewServer(standIn)
	defer server.Close()
	store := platform.NewStore(server.Listener.Addr().String())
	first, end := startBlamedParts(t, store)
	defer end()
	endUnder(first, part, 0, crashes.MaxEnded)
	awaitRows(t, store, 1)
	time.Sleep(blameCheckInterval)
	standIn.PutBytes(platform.BlamedPartTable, control.BlamedKey(part), []byte("\xff"))
	next, endNext := startBlamedParts(t, store)
	defer endNext()
	awaitBlame(t, "a gateway that starts after the row was overwritten blames the part", next, part, true)
}

// Guards against rows of parts that nobody asks for any more, which would fill the store. Neither a new listing nor the clock of the
// host that wrote the row changes when that is.
func TestRowsWhoseEndsCountNoLongerAreRemoved(t *testing.T) {
	const part crashes.Part = 7
	server := httptest.NewServer(standin.NewStore())
	defer server.Close()
	store := platform.NewStore(server.Listener.Addr().String())
	written := time.Now().Add(-2 * crashes.MaxPartHold)
	end := crashes.TimedEnd{PartEnd: crashes.PartEnd{Part: part, Process: crashes.Process{EndpointID: "e"}}, At: written}
	value, err := control.EncodeBlamedRow(written, []crashes.TimedEnd{end})
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Put(t.Context(), platform.BlamedPartTable, control.BlamedKey(part), value); err != nil {
		t.Fatal(err)
	}
	b := newBlamedParts(crashes.NewParts(mayHaveEnded), nil, slog.New(slog.DiscardHandler))
	if b.removeAfter < crashes.MaxPartHold {
		t.Errorf("rows are removed after %v, before their ends cease to count", b.removeAfter)
	}
	b.removeAfter = 200 * time.Millisecond
	known := time.Now()
	for time.Since(known) < 2*b.removeAfter {
		rows, _, err := store.List(t.Context(), platform.BlamedPartTable)
		if err != nil {
			t.Fatal(err)
		}
		if len(rows) == 0 && time.Since(known) < b.removeAfter {
			t.Fatalf("the row was removed after %v", time.Since(known))
		}
		b.Replace(rows)
		if err := b.sync(t.Context(), store); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	awaitRows(t, store, 0)
}

func awaitRows(t *testing.T, store *platform.Store, want int) {
	t.Helper()
	const limit = 5 * time.Second
	for deadline := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		rows, _, err := store.List(t.Context(), platform.BlamedPartTable)
		if err == nil && len(rows) == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d rows after %v, want %d (%v)", len(rows), limit, want, err)
		}
	}
}
