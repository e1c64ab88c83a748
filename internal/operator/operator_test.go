package operator

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// fakeBackend answers with what a test sets, and notes the edits that reach it.
type fakeBackend struct {
	err       error
	accepted  Accepted
	operation Operation
	inForce   func() InForce
	applied   []ApplyRequest
}

func (b *fakeBackend) Apply(_ context.Context, r ApplyRequest) (Accepted, error) {
	b.applied = append(b.applied, r)
	b.accepted.OperationID = r.OperationID
	return b.accepted, b.err
}

func (b *fakeBackend) Label(_ context.Context, r LabelRequest) (Accepted, error) {
	return Accepted{Revision: 8, OperationID: r.OperationID, Changed: []ObjectKey{r.ObjectKey}}, b.err
}

func (b *fakeBackend) Drain(_ context.Context, r DrainRequest) (Accepted, error) {
	return Accepted{Revision: 9, OperationID: r.OperationID, Changed: []ObjectKey{{"engine", r.Endpoint}}}, b.err
}

func (b *fakeBackend) Operation(context.Context, string) (Operation, error) {
	return b.operation, b.err
}

func (b *fakeBackend) Objects(_ context.Context, q ObjectQuery) (Objects, error) {
	object := Object{ObjectKey: ObjectKey(q), INI: "[model \"m\"]\nversions = 1"}
	return Objects{Revision: 7, Objects: []Object{object}}, b.err
}

func (b *fakeBackend) Status(context.Context) (Status, error) { return Status{Entry: "entry-1"}, b.err }

func (b *fakeBackend) InForce(context.Context, uint64) (InForce, error) { return b.inForce(), b.err }

func (b *fakeBackend) Processes(context.Context) (ProcessList, error) {
	return ProcessList{Processes: []Process{{Name: "agent-1", URL: "http://127.0.0.1:1"}}}, b.err
}

func startAPI(t *testing.T, backend Backend) (*Client, string) {
	t.Helper()
	server := httptest.NewServer(NewHandler(backend))
	t.Cleanup(server.Close)
	return NewClient([]string{server.URL}, server.Client()), server.URL
}

// Each error of a backend must reach the operator's command as the same error with the same exit code: what was not
// applied is never told as unknown, nor the other way round.
func TestErrorsCrossTheAPI(t *testing.T) {
	cases := []struct {
		name       string
		err        error
		wantStatus int
		wantExit   int
		// typed errors arrive with all they hold.
		typed bool
	}{
		{
			name:       "conflict names the winner",
			err:        &ConflictError{Author: "rana", Revision: 12, Base: 10},
			wantStatus: http.StatusConflict, wantExit: ExitConflict, typed: true,
		},
		{
			name: "invalid names every place",
			err: &InvalidError{Places: []Place{
				{File: "a.ini", Line: 3, Section: `model "m"`, Key: "memory", Problem: "no unit", Allowed: "MiB, GiB"},
				{File: "a.ini", Section: `model "n"`, Problem: "unknown key"},
			}},
			wantStatus: http.StatusUnprocessableEntity, wantExit: ExitFailed, typed: true,
		},
		{
			name:       "outage says when to come back",
			err:        &UnavailableError{Reason: "the table does not answer", RetryAfter: 3 * time.Second},
			wantStatus: http.StatusServiceUnavailable, wantExit: ExitFailed, typed: true,
		},
		{
			name:       "lost answer is unknown",
			err:        &OutcomeUnknownError{OperationID: "op-1", Reason: "the answer was lost"},
			wantStatus: http.StatusGatewayTimeout, wantExit: ExitOutcomeUnknown, typed: true,
		},
		{name: "not found", err: ErrNotFound, wantStatus: http.StatusNotFound, wantExit: ExitFailed},
		{name: "any other", err: errors.New("boom"), wantStatus: http.StatusInternalServerError, wantExit: ExitFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client, url := startAPI(t, &fakeBackend{err: c.err})
			_, err := client.Apply(t.Context(), ApplyRequest{INI: "x"})
			if ExitCode(err) != c.wantExit {
				t.Fatalf("exit code %d of %v, want %d", ExitCode(err), err, c.wantExit)
			}
			if c.typed && !reflect.DeepEqual(err, c.err) {
				t.Fatalf("error %#v, want %#v", err, c.err)
			}
			if got := postStatus(t, url+applyPath, `{"ini":"x","author":"","operation_id":""}`); got != c.wantStatus {
				t.Fatalf("status %d, want %d", got, c.wantStatus)
			}
		})
	}
}

func postStatus(t *testing.T, url, body string) int {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

// An operator misspells a field, or sends a file far too large: the edit must be refused as a whole, not applied in the
// part that was understood.
func TestBadRequestsChangeNothing(t *testing.T) {
	cases := []struct{ name, body string }{
		{name: "unknown field", body: `{"ini":"x","bose":3}`},
		{name: "not JSON", body: `[model]`},
		{name: "two values", body: `{"ini":"x"}{"ini":"y"}`},
		{name: "cut short", body: `{"ini":"x`},
		{name: "too large", body: `{"ini":"` + strings.Repeat("x", MaxRequestBytes) + `"}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			backend := &fakeBackend{}
			_, url := startAPI(t, backend)
			if got := postStatus(t, url+applyPath, c.body); got != http.StatusBadRequest {
				t.Fatalf("status %d, want 400", got)
			}
			if len(backend.applied) != 0 {
				t.Fatalf("the backend got %+v", backend.applied)
			}
		})
	}
}

// The first entry is gone, the second lives: an edit goes on to the second, because nothing was sent to the first.
func TestEditGoesOnWhileNothingWasSent(t *testing.T) {
	backend := &fakeBackend{accepted: Accepted{Revision: 5}}
	_, live := startAPI(t, backend)
	client := NewClient([]string{"http://" + closedAddress(t), live}, http.DefaultClient)
	accepted, err := client.Apply(t.Context(), ApplyRequest{INI: "x", Edit: Edit{Author: "rana"}})
	if err != nil || accepted.Revision != 5 {
		t.Fatalf("accepted %+v, %v; want revision 5", accepted, err)
	}
	if len(backend.applied) != 1 || backend.applied[0].OperationID == "" {
		t.Fatalf("the backend got %+v, want one edit with an identifier", backend.applied)
	}
}

// The first entry takes the edit and dies before it answers. Sent again to the second entry it might be applied on top
// of a later edit, so the command must say "outcome unknown" with the identifier and leave the second entry alone.
func TestEditIsNotSentTwice(t *testing.T) {
	var taken atomic.Int64
	dying := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		taken.Add(1)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(dying.Close)
	backend := &fakeBackend{}
	_, live := startAPI(t, backend)
	client := NewClient([]string{dying.URL, live}, http.DefaultClient)

	_, err := client.Apply(t.Context(), ApplyRequest{INI: "x", Edit: Edit{OperationID: "op-7"}})
	var unknown *OutcomeUnknownError
	if !errors.As(err, &unknown) || unknown.OperationID != "op-7" {
		t.Fatalf("error %v, want outcome unknown of op-7", err)
	}
	if taken.Load() != 1 || len(backend.applied) != 0 {
		t.Fatalf("sent %d times to the first entry, %d to the second; want 1 and 0", taken.Load(), len(backend.applied))
	}
	if objects, err := client.Objects(t.Context(), ObjectQuery{Kind: "model", Name: "m"}); err != nil || objects.Revision != 7 {
		t.Fatalf("a read must go on to the second entry: %+v, %v", objects, err)
	}
}

// The first entry is frozen: it takes connections and never answers. Reads must go on to the second entry, and an edit
// must end as unknown in bounded time, since the frozen entry may yet wake and apply it.
func TestFrozenEntryIsNotWaitedForForEver(t *testing.T) {
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = frozen.Close() })
	backend := &fakeBackend{}
	_, live := startAPI(t, backend)
	client := NewClient([]string{"http://" + frozen.Addr().String(), live}, http.DefaultClient)
	client.readTimeout, client.answerTimeout = 50*time.Millisecond, 50*time.Millisecond
	if status, err := client.Status(t.Context()); err != nil || status.Entry != "entry-1" {
		t.Fatalf("status %+v, %v; want that of the live entry", status, err)
	}
	if _, err := client.Apply(t.Context(), ApplyRequest{INI: "x"}); ExitCode(err) != ExitOutcomeUnknown {
		t.Fatalf("error %v, want outcome unknown", err)
	}
	if len(backend.applied) != 0 {
		t.Fatalf("the edit was sent on: %+v", backend.applied)
	}
}

func TestNoEntryReachableAppliesNothing(t *testing.T) {
	client := NewClient([]string{"http://" + closedAddress(t)}, http.DefaultClient)
	_, err := client.Drain(t.Context(), DrainRequest{Endpoint: "e1", Drain: true})
	if !errors.Is(err, ErrUnreachable) || ExitCode(err) != ExitFailed {
		t.Fatalf("error %v, want ErrUnreachable", err)
	}
}

// closedAddress returns a loopback address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// A revision reaches one process late: Wait returns when the last one has it, and names it when the time is over.
func TestWaitNamesWhereARevisionIsMissing(t *testing.T) {
	cases := []struct {
		name        string
		lastCatches int
		unreachable bool
		fails       error
		wantLooks   int
		wantMissing int
		wantErr     error
	}{
		{name: "all have it at once", lastCatches: 1, wantLooks: 1},
		{name: "one is late", lastCatches: 3, wantLooks: 3},
		{name: "one never gets it", lastCatches: 1 << 40, wantLooks: 10, wantMissing: 1, wantErr: ErrNotInForce},
		{name: "one does not answer", lastCatches: 1, unreachable: true, wantLooks: 10, wantMissing: 1, wantErr: ErrNotInForce},
		{name: "no entry answers", fails: ErrUnreachable, wantLooks: 10, wantErr: ErrNotInForce},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				looks := 0
				backend := &fakeBackend{err: c.fails, inForce: func() InForce {
					looks++
					second := ProcessRevision{Process: "agent-2", Unreachable: c.unreachable}
					if looks >= c.lastCatches {
						second.Revision = 5
					}
					return InForce{Revision: 5, Processes: []ProcessRevision{{Process: "agent-1", Revision: 6}, second}}
				}}
				ctx, cancel := context.WithTimeout(t.Context(), 10*WaitInterval-1)
				defer cancel()
				got, err := Wait(ctx, backend, 5)
				if !errors.Is(err, c.wantErr) || len(got.Missing()) != c.wantMissing || looks != c.wantLooks {
					t.Fatalf("missing %+v after %d looks, %v; want %d after %d, %v",
						got.Missing(), looks, err, c.wantMissing, c.wantLooks, c.wantErr)
				}
			})
		})
	}
}

// The answer to an edit was lost. Settle looks until the outcome is known, and does not take "not stored now" for it.
func TestSettle(t *testing.T) {
	cases := []struct {
		name  string
		state OperationState
		want  time.Duration
	}{
		{name: "applied", state: OperationApplied},
		{name: "never", state: OperationNever},
		{name: "stays unknown", state: OperationUnknown, want: time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				begin := time.Now()
				got := Settle(ctx, &fakeBackend{operation: Operation{State: c.state}}, "op-1")
				if got.State != c.state || time.Since(begin) != c.want {
					t.Fatalf("got %+v after %s, want %s after %s", got, time.Since(begin), c.state, c.want)
				}
			})
		})
	}
}

// A balancer in front answers an edit with a redirect. Following it would send the edit a second time.
func TestEditFollowsNoRedirect(t *testing.T) {
	backend := &fakeBackend{}
	_, live := startAPI(t, backend)
	redirect := httptest.NewServer(http.RedirectHandler(live+applyPath, http.StatusTemporaryRedirect))
	t.Cleanup(redirect.Close)
	_, err := NewClient([]string{redirect.URL}, http.DefaultClient).Apply(t.Context(), ApplyRequest{INI: "x"})
	if ExitCode(err) != ExitOutcomeUnknown || len(backend.applied) != 0 {
		t.Fatalf("error %v, %d edits reached the other entry; want unknown and none", err, len(backend.applied))
	}
}
