package test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"balsamsail/internal/operator"
)

// forceLimit is the time in which an accepted revision must be in force in every live process, and forceSlack what a
// busy machine may add to it.
const (
	propagationLimit = 4 * time.Second
	propagationTolerance = 500 * time.Millisecond
)

// checkDeclarations checks that accepted edits are in force everywhere in time, that no process falls back behind one,
// and that of edits that race for one revision one wins.
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

// acceptedEdits returns the edits that were accepted, in the order of their revisions.
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

// checkOneWinner checks that each revision belongs to one edit, and that an edit on a base was made on that base.
func checkUniqueRevisions(v *violations, accepted []*edit) {
	for i, e := range accepted {
		if i > 0 && accepted[i-1].revision == e.revision {
			v.add("revision %d was given to %s and to %s", e.revision, accepted[i-1].operation, e.operation)
		}
		if e.base > 0 && e.revision != e.base+1 {
			v.add("%s was made on revision %d and became %d", e.operation, e.base, e.revision)
		}
	}
}

// checkInForce checks each look at a ready process against the newest revision that had been accepted long enough
// before.
func checkInForce(v *violations, e *evidence, accepted []*edit) {
	for _, seen := range e.observations {
		if !seen.ready || e.cluster.wasDown(seen.process, seen.at.Add(-propagationLimit-propagationTolerance), seen.at) {
			continue
		}
		wanted := newestBefore(accepted, seen.at.Add(-propagationLimit-propagationTolerance))
		if wanted != nil && seen.revision < wanted.revision {
			v.add("%s had revision %d at %s, when %d had been accepted at %s", seen.process, seen.revision,
				seen.at.Format(clockFormat), wanted.revision, wanted.ended.Format(clockFormat))
		}
	}
}

// newestBefore returns the edit of the highest revision of those that had been accepted by a time. Of an edit whose
// outcome was looked up later nobody was told in time, so that it does not count.
func newestBefore(accepted []*edit, t time.Time) *edit {
	var newest *edit
	for _, e := range accepted {
		if e.err == nil && e.ended.Before(t) {
			newest = e
		}
	}
	return newest
}

// checkMonotonic checks that no process falls back while it lives.
func checkMonotonic(v *violations, e *evidence) {
	last := map[string]observation{}
	for _, seen := range e.observations {
		before, ok := last[seen.process]
		last[seen.process] = seen
		if seen.regression != "" && seen.regression != before.regression {
			v.add("%s fell %s", seen.process, seen.regression)
		}
		if !ok || e.cluster.wasDown(seen.process, before.at, seen.at) {
			continue
		}
		if seen.revision < before.revision {
			v.add("%s fell from revision %d at %s to %d at %s", seen.process, before.revision,
				before.at.Format(clockFormat), seen.revision, seen.at.Format(clockFormat))
		}
	}
}

// checkLastLabel checks that all entries come to show the label of the newest accepted edit, and no other one after it.
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
			v.add("%s; the newest accepted label is %q of revision %d", problem, wanted.label, wanted.revision)
		}
	}
}

// newestLabelled returns the newest edit of the label.
func newestLabelled(accepted []*edit) *edit {
	for _, e := range slices.Backward(accepted) {
		if e.label != "" {
			return e
		}
	}
	return accepted[0]
}

// wrongLabel says what an entry shows in place of the wanted edit, or nothing.
func labelMismatch(entry *entryHost, wanted *edit) string {
	client := operator.NewClient([]string{entry.operatorsURL()}, controlClient)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	objects, err := client.Objects(ctx, operator.ObjectQuery{Kind: editedKind, Name: editedName})
	if err != nil || len(objects.Objects) != 1 {
		return fmt.Sprintf("%s: %v, %d objects", entry.name, err, len(objects.Objects))
	}
	if got := objects.Objects[0].Labels[editedLabel]; got != wanted.label {
		return fmt.Sprintf("%s shows label %q at revision %d", entry.name, got, objects.Revision)
	}
	return ""
}

// checkUncut checks what holds when nothing but planned stops happens: no request is lost, cut, left in doubt or sent to
// an entry that takes none any more, because the balancer knows of the stop in time.
func checkNoneLost(e *evidence) *violations {
	v := &violations{property: "a planned stop cuts no request"}
	for _, x := range e.exchanges {
		if x.notSent || x.unanswered() || x.truncated() || x.outcome == "outcome_unknown" {
			v.addExchange("not answered", x)
		}
	}
	return v
}
