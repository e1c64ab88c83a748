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

// fakeBackend returns values set by a test and records the edits that it receives.
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

// Each error of a backend must reach the operator's command as the same error with the same exit code: an edit that was
// not applied must never be reported as unknown, nor the reverse.
func TestErrorsCrossTheAPI(t *testing.T) {
	cases := []struct {
		name       string
		err        error
		wantStatus int
		wantExit   int
		// typed is set if the client must return an error with the same fields.
		typed bool
	}{
		{
			name:       "conflict names the other author",
			err:        &ConflictError{Author: "rana", Revision: 12, Base: 10},
			wantStatus: http.StatusConflict, wantExit: ExitConflict, typed: true,
		},
		{
			name: "invalid lists every place",
			err: &InvalidError{Places: []ConfigProblem{
				{File: "a.ini", Line: 3, Section: `model "m"`, Key: "memory", Problem: "no unit", Allowed: "MiB, GiB"},
				{File: "a.ini", Section: `model "n"`, Problem: "unknown key"},
			}},
			wantStatus: http.StatusUnprocessableEntity, wantExit: ExitFailed, typed: true,
		},
		{
			name:       "outage includes the retry delay",
			err:        &UnavailableError{Reason: "the table does not answer", RetryAfter: 3 * time.Second},
			wantStatus: http.StatusServiceUnavailable, wantExit: ExitFailed, typed: true,
		},
		{
			name:       "lost response is unknown",
			err:        &OutcomeUnknownError{OperationID: "op-1", Reason: "the response was lost"},
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

// A malformed edit, for example with a misspelled field or an oversized body, must be rejected as a whole and never
// applied in part.
func TestBadRequestsChangeNothing(t *testing.T) {
	cases := []struct{ name, body string }{
		{name: "unknown field", body: `{"ini":"x","bose":3}`},
		{name: "not JSON", body: `[model]`},
		{name: "two values", body: `{"ini":"x"}{"ini":"y"}`},
		{name: "truncated", body: `{"ini":"x`},
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
				t.Fatalf("the backend received %+v, want nothing", backend.applied)
			}
		})
	}
}

// If the first entry cannot be connected to, an edit is sent to the second, because nothing was sent to the first.
func TestEditGoesOnWhileNothingWasSent(t *testing.T) {
	backend := &fakeBackend{accepted: Accepted{Revision: 5}}
	_, live := startAPI(t, backend)
	client := NewClient([]string{"http://" + closedAddress(t), live}, http.DefaultClient)
	accepted, err := client.Apply(t.Context(), ApplyRequest{INI: "x", Edit: Edit{Author: "rana"}})
	if err != nil || accepted.Revision != 5 {
		t.Fatalf("accepted %+v, %v; want revision 5", accepted, err)
	}
	if len(backend.applied) != 1 || backend.applied[0].OperationID == "" {
		t.Fatalf("the backend received %+v, want one edit with an identifier", backend.applied)
	}
}

// The first entry receives the edit and crashes before it responds. A retry at the second entry could apply the edit on
// top of a later one, so the client must return "outcome unknown" with the identifier and not contact the second entry.
func TestEditIsNotSentTwice(t *testing.T) {
	var received atomic.Int64
	crashing := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received.Add(1)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(crashing.Close)
	backend := &fakeBackend{}
	_, live := startAPI(t, backend)
	client := NewClient([]string{crashing.URL, live}, http.DefaultClient)

	_, err := client.Apply(t.Context(), ApplyRequest{INI: "x", Edit: Edit{OperationID: "op-7"}})
	var unknown *OutcomeUnknownError
	if !errors.As(err, &unknown) || unknown.OperationID != "op-7" {
		t.Fatalf("error %v, want outcome unknown of op-7", err)
	}
	if received.Load() != 1 || len(backend.applied) != 0 {
		t.Fatalf("sent %d times to the first entry, %d to the second; want 1 and 0", received.Load(), len(backend.applied))
	}
	if objects, err := client.Objects(t.Context(), ObjectQuery{Kind: "model", Name: "m"}); err != nil || objects.Revision != 7 {
		t.Fatalf("a read must fail over to the second entry: got %+v, %v", objects, err)
	}
}

// The first entry hangs: it accepts connections and never responds. Reads must fail over to the second entry, and an edit
// must end as unknown after a timeout, since the hung entry may resume and apply it.
func TestFrozenEntryIsNotWaitedForForEver(t *testing.T) {
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = frozen.Close() })
	backend := &fakeBackend{}
	_, live := startAPI(t, backend)
	client := NewClient([]string{"http://" + frozen.Addr().String(), live}, http.DefaultClient)
	client.readTimeout, client.editResponseTimeout = 50*time.Millisecond, 50*time.Millisecond
	if status, err := client.Status(t.Context()); err != nil || status.Entry != "entry-1" {
		t.Fatalf("status %+v, %v; want that of the live entry", status, err)
	}
	if _, err := client.Apply(t.Context(), ApplyRequest{INI: "x"}); ExitCode(err) != ExitOutcomeUnknown {
		t.Fatalf("error %v, want outcome unknown", err)
	}
	if len(backend.applied) != 0 {
		t.Fatalf("the edit was retried at the second entry: %+v", backend.applied)
	}
}

func TestNoEntryReachableAppliesNothing(t *testing.T) {
	client := NewClient([]string{"http://" + closedAddress(t)}, http.DefaultClient)
	_, err := client.Drain(t.Context(), DrainRequest{Endpoint: "e1", Drain: true})
	if !errors.Is(err, ErrUnreachable) || ExitCode(err) != ExitFailed {
		t.Fatalf("error %v, want ErrUnreachable", err)
	}
}

// closedAddress returns a loopback address without a listener.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// A revision reaches one process late: Wait must return once the last process has it, or report that process when the
// context expires.
func TestWaitNamesWhereARevisionIsMissing(t *testing.T) {
	cases := []struct {
		name        string
		caughtUpAt  int
		unreachable bool
		fails       error
		wantPolls   int
		wantMissing int
		wantErr     error
	}{
		{name: "in force at the first poll", caughtUpAt: 1, wantPolls: 1},
		{name: "one process is late", caughtUpAt: 3, wantPolls: 3},
		{name: "one process never catches up", caughtUpAt: 1 << 40, wantPolls: 10, wantMissing: 1, wantErr: ErrNotInForce},
		{name: "one process is unreachable", caughtUpAt: 1, unreachable: true, wantPolls: 10, wantMissing: 1, wantErr: ErrNotInForce},
		{name: "no entry is reachable", fails: ErrUnreachable, wantPolls: 10, wantErr: ErrNotInForce},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				polls := 0
				backend := &fakeBackend{err: c.fails, inForce: func() InForce {
					polls++
					second := ProcessRevision{Process: "agent-2", Unreachable: c.unreachable}
					if polls >= c.caughtUpAt {
						second.Revision = 5
					}
					return InForce{Revision: 5, Processes: []ProcessRevision{{Process: "agent-1", Revision: 6}, second}}
				}}
				ctx, cancel := context.WithTimeout(t.Context(), 10*WaitInterval-1)
				defer cancel()
				got, err := Wait(ctx, backend, 5)
				if !errors.Is(err, c.wantErr) || len(got.Missing()) != c.wantMissing || polls != c.wantPolls {
					t.Fatalf("missing %+v after %d polls, %v; want %d after %d, %v",
						got.Missing(), polls, err, c.wantMissing, c.wantPolls, c.wantErr)
				}
			})
		})
	}
}

// The response to an edit was lost. AwaitOperation must poll until the outcome is known and must not treat "not stored
// yet" as final.
func TestSettle(t *testing.T) {
	cases := []struct {
		name  string
		state OperationState
		want  time.Duration
	}{
		{name: "applied", state: OperationApplied},
		{name: "never", state: OperationNotCommitted},
		{name: "stays unknown", state: OperationUnknown, want: time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				begin := time.Now()
				got := AwaitOperation(ctx, &fakeBackend{operation: Operation{State: c.state}}, "op-1")
				if got.State != c.state || time.Since(begin) != c.want {
					t.Fatalf("got %+v after %s, want %s after %s", got, time.Since(begin), c.state, c.want)
				}
			})
		})
	}
}

// If a load balancer responds to an edit with a redirect, following it would send the edit a second time.
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
