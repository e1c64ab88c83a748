package test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"balsamsail/internal/operator"
)

// propagationLimit is the time within which an accepted revision must be in force in every live process.
// propagationTolerance is added to it, to allow for scheduling delays on a busy machine.
const (
	propagationLimit     = 4 * time.Second
	propagationTolerance = 500 * time.Millisecond
)

// checkDeclarations checks that accepted edits are in force in every live process in time, that no process goes back to
// an older revision, and that concurrent edits never share a revision.
func checkDeclarations(e *evidence) *violations {
	v := &violations{property: "an accepted configuration is in force within seconds and never reverts"}
	if len(e.edits) == 0 {
		return v
	}
	accepted := acceptedEdits(e.edits)
	checkUniqueRevisions(v, accepted)
	checkInForce(v, e, accepted)
	checkMonotonic(v, e)
	checkFinalLabel(v, e, accepted)
	return v
}

// acceptedEdits returns the accepted edits, ordered by revision.
func acceptedEdits(edits []*edit) []*edit {
	var accepted []*edit
	for _, e := range edits {
		if e.revision > 0 {
			accepted = append(accepted, e)
		}
	}
	slices.SortFunc(accepted, func(a, b *edit) int { return int(a.revision) - int(b.revision) })
	return accepted
}

// checkUniqueRevisions checks that each revision belongs to one edit, and that an edit with a base revision became the
// revision after it.
func checkUniqueRevisions(v *violations, accepted []*edit) {
	for i, e := range accepted {
		if i > 0 && accepted[i-1].revision == e.revision {
			v.add("revision %d was assigned to both %s and %s", e.revision, accepted[i-1].operation, e.operation)
		}
		if e.base > 0 && e.revision != e.base+1 {
			v.add("%s was based on revision %d and became revision %d", e.operation, e.base, e.revision)
		}
	}
}

// checkInForce checks that each ready process had in force, at each observation, at least the newest revision that had
// been accepted propagationLimit (plus tolerance) earlier. Processes that were down in that time are skipped.
func checkInForce(v *violations, e *evidence, accepted []*edit) {
	for _, seen := range e.observations {
		if !seen.ready || e.cluster.wasDown(seen.process, seen.at.Add(-propagationLimit-propagationTolerance), seen.until) {
			continue
		}
		wanted := newestBefore(accepted, seen.at.Add(-propagationLimit-propagationTolerance))
		if wanted != nil && seen.revision < wanted.revision {
			v.add("%s had revision %d at %s, although revision %d was accepted at %s", seen.process, seen.revision,
				seen.at.Format(clockFormat), wanted.revision, wanted.ended.Format(clockFormat))
		}
	}
}

// newestBefore returns the edit with the highest revision among those accepted before t, or nil. Edits whose outcome
// was looked up later don't count, because their editor was not told in time that they were accepted.
func newestBefore(accepted []*edit, t time.Time) *edit {
	var newest *edit
	for _, e := range accepted {
		if e.err == nil && e.ended.Before(t) {
			newest = e
		}
	}
	return newest
}

// checkMonotonic checks that no running process goes back to an older revision.
func checkMonotonic(v *violations, e *evidence) {
	last := map[string]observation{}
	for _, seen := range e.observations {
		before, ok := last[seen.process]
		last[seen.process] = seen
		if seen.regression != "" && seen.regression != before.regression {
			v.add("%s went back %s", seen.process, seen.regression)
		}
		if !ok || e.cluster.wasDown(seen.process, before.at, seen.until) {
			continue
		}
		if seen.revision < before.revision {
			v.add("%s went back from revision %d at %s to %d at %s", seen.process, before.revision,
				before.at.Format(clockFormat), seen.revision, seen.at.Format(clockFormat))
		}
	}
}

// Guards against a check that takes the first revision of a process that was started again for a step back, because the readiness was asked
// of the process before it; and against one that excuses a step back of a running process.
func TestRevisionOfAProcessThatWasStartedAgain(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		down span
		want int
	}{
		"runs":                          {span{}, 1},
		"down between the observations": {span{at(120), at(150)}, 0},
		"down within the second one":    {span{at(210), at(240)}, 0},
		"down afterwards":               {span{at(300), at(350)}, 1},
	} {
		p := &process{name: "entry-1"}
		if !c.down.begin.IsZero() {
			p.downtime.spans = []span{c.down}
		}
		v := &violations{}
		checkMonotonic(v, &evidence{
			cluster: &cluster{entries: []*entryHost{{name: "entry-1", process: p}}},
			observations: []observation{
				{process: "entry-1", at: at(100), until: at(110), ready: true, revision: 27},
				{process: "entry-1", at: at(200), until: at(250), ready: true},
			},
		})
		if len(v.list) != c.want {
			t.Errorf("%s: violations %v, want %d", name, v.list, c.want)
		}
	}
}

// checkFinalLabel checks that all entries show the label of the newest accepted edit of it within propagationLimit
// (plus tolerance).
func checkFinalLabel(v *violations, e *evidence, accepted []*edit) {
	if len(accepted) == 0 {
		v.add("no edit was accepted")
		return
	}
	wanted := newestLabelled(accepted)
	deadline := time.Now().Add(propagationLimit + propagationTolerance)
	for _, entry := range e.cluster.entries {
		problem := labelMismatch(entry, wanted)
		for problem != "" && time.Now().Before(deadline) {
			time.Sleep(pollInterval)
			problem = labelMismatch(entry, wanted)
		}
		if problem != "" {
			v.add("%s; want %q, accepted as revision %d", problem, wanted.label, wanted.revision)
		}
	}
}

// newestLabelled returns the newest accepted edit that set the label.
func newestLabelled(accepted []*edit) *edit {
	for _, e := range slices.Backward(accepted) {
		if e.label != "" {
			return e
		}
	}
	return accepted[0]
}

// labelMismatch describes how the label that an entry shows differs from the wanted edit's, or returns "".
func labelMismatch(entry *entryHost, wanted *edit) string {
	client := operator.NewClient([]string{entry.operatorsURL()}, controlClient)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	objects, err := client.Objects(ctx, operator.ObjectQuery{Kind: editedKind, Name: editedName})
	if err != nil || len(objects.Objects) != 1 {
		return fmt.Sprintf("%s: read the label: %v, %d objects", entry.name, err, len(objects.Objects))
	}
	if got := objects.Objects[0].Labels[editedLabel]; got != wanted.label {
		return fmt.Sprintf("%s shows label %q at revision %d", entry.name, got, objects.Revision)
	}
	return ""
}

// checkNoRequestLost checks a run whose only events are planned stops: no request is unanswered, truncated or of
// unknown outcome, and none is sent to an entry that refuses connections, because the entry fails its readiness check
// before it stops accepting requests.
func checkNoRequestLost(e *evidence) *violations {
	v := &violations{property: "a planned stop cuts no request"}
	for _, x := range e.exchanges {
		if x.notSent || x.unanswered() || x.truncated() || x.outcome == "outcome_unknown" {
			v.addExchange("not answered completely", x)
		}
	}
	return v
}
