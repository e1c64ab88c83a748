package operator

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

func TestStatusTable(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	status := Status{
		Entry: "entry-1", At: now, Revision: 41, Outage: now.Add(-90 * time.Second),
		Models: []ModelStatus{
			{
				Model: "narrator@2", MinReplicas: 2, MaxReplicas: 3, WarmReplicas: 1, Eligible: 4, Queued: 5, Why: "burst",
				Replicas: []ReplicaStatus{
					{Engine: "e1", State: ReplicaIdle, IdleSince: now.Add(-3 * time.Minute), Why: "kept warm"},
					{Engine: "e2", State: ReplicaLoading, Queued: 5},
				},
			},
			{Model: "audit@1", MaxReplicas: 1, Why: "no live engine matches gpu in (a)"},
		},
		Endpoints: []EndpointStatus{{
			Endpoint: "e1", Kind: "engine", FailureDomain: "amman-a", Reachable: true, Ready: true,
			MemoryBytes: 80 << 30, ReservedBytes: 20 << 30, Revision: 41, Labels: map[string]string{"b": "2", "a": "1"},
		}},
	}
	var b strings.Builder
	if err := WriteStatus(&b, status); err != nil {
		t.Fatal(err)
	}
	const want = `revision 41 as seen by entry-1 at 2026-01-02T03:04:05Z
the platform's table has not answered for 2m: edits are refused, granted slots go on

MODEL       MIN/MAX/WARM  ELIGIBLE  SLOTS  LOADED  QUEUED  ENGINE  STATE    RUNNING  WAITING  WHY
narrator@2  2/3/1         4         2      1       5       e1      idle 3m  0        0        kept warm; burst
                                                           e2      loading  0        5        -
audit@1     0/1/0         0         0      0       0       -       -        -        -        no live engine matches gpu in (a)

ENDPOINT  KIND    DOMAIN   STATE  MEMORY         RUNNING  WAITING  REVISION  LABELS   WHY
e1        engine  amman-a  ready  20.0/80.0 GiB  0        0        41        a=1,b=2  -

MODEL       1
narrator@2  i
audit@1     .

1  e1

L loaded  i idle  l loading  g granted and asleep  u unloading  r releasing  ? unknown  . none
`
	if b.String() != want {
		t.Fatalf("got\n%s\nwant\n%s", b.String(), want)
	}
}

func TestMatrix(t *testing.T) {
	endpoints := []EndpointStatus{{Endpoint: "e1", Kind: "engine"}, {Endpoint: "ledger-1", Kind: "service"}, {Endpoint: "e2", Kind: "engine"}}
	status := Status{Endpoints: endpoints, Models: []ModelStatus{
		{Model: "narrator@2", Replicas: []ReplicaStatus{{Engine: "e2", State: ReplicaIdle}, {Engine: "e1", State: ReplicaLoading}}},
		{Model: "audit@1", Replicas: []ReplicaStatus{{Engine: "e2", State: ReplicaReleasing}}},
	}}
	var b strings.Builder
	if err := WriteMatrix(&b, status); err != nil {
		t.Fatal(err)
	}
	const want = `MODEL       1  2
narrator@2  l  i
audit@1     .  r

1  e1
2  e2

L loaded  i idle  l loading  g granted and asleep  u unloading  r releasing  ? unknown  . none
`
	if b.String() != want {
		t.Fatalf("got\n%s\nwant\n%s", b.String(), want)
	}
}

func TestWriteError(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want string
	}{
		{
			name: "conflict names the other author",
			err:  &ConflictError{Author: "rana", Revision: 12, Base: 10},
			want: "not applied: conflict: the edit was made on revision 10, and \"rana\" has since made revision 12\nnext: " + nextConflict + "\n",
		},
		{
			name: "each place on its own line",
			err: &InvalidError{Places: []ConfigProblem{
				{File: "a.ini", Line: 3, Section: `model "m"`, Key: "memory", Problem: "no unit", Allowed: "MiB, GiB"},
				{File: "a.ini", Problem: "no section"},
			}},
			want: "not applied:\n  a.ini:3: [model \"m\"] memory: no unit; allowed: MiB, GiB\n  a.ini: no section\nnext: " + nextInvalid + "\n",
		},
		{
			name: "unknown includes the identifier",
			err:  &OutcomeUnknownError{OperationID: "op-1", Reason: "EOF"},
			want: "OUTCOME UNKNOWN: the edit may have been applied or may still be: EOF\noperation op-1\nnext: " + nextUnknown + "\n",
		},
		{
			name: "accepted but not yet in force",
			err:  errors.Wrap(ErrNotInForce, "x"),
			want: "accepted, and not yet in force in every live process\n",
		},
		{name: "any other", err: ErrUnreachable, want: "not applied: no entry can be reached\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b strings.Builder
			if err := WriteError(&b, c.err); err != nil || b.String() != c.want {
				t.Fatalf("got %q, %v; want %q", b.String(), err, c.want)
			}
		})
	}
}

func TestWriteInForce(t *testing.T) {
	var b strings.Builder
	err := WriteInForce(&b, InForce{Revision: 5, Processes: []ProcessRevision{
		{Process: "entry-1", Role: "entry", Revision: 6},
		{Process: "agent-1", Role: "agent", FailureDomain: "salt-a", Address: "127.0.0.1:9", Revision: 4},
		{Process: "agent-2", Role: "agent", FailureDomain: "salt-a", Address: "127.0.0.1:8", Revision: 5, Unreachable: true},
	}})
	const want = `revision 5 is in force in 1 of 3 live processes
NOT IN FORCE IN  ROLE   DOMAIN  ADDRESS      HAS  NOTE
agent-1          agent  salt-a  127.0.0.1:9  4    behind
agent-2          agent  salt-a  127.0.0.1:8  5    does not answer
`
	if err != nil || b.String() != want {
		t.Fatalf("got\n%s%v\nwant\n%s", b.String(), err, want)
	}
}
