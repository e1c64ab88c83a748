package test

import (
	"testing"
	"time"

	"balsamsail/internal/faultlink"
	standin "balsamsail/internal/standin/platform"
)

// TestOutages does the same as TestFailures with outages of the platform that last longer than propagationLimit.
func TestOutages(t *testing.T) {
	for _, f := range outages() {
		t.Run(f.name, func(t *testing.T) { runScenario(t, f) })
	}
}

// outageDuration exceeds the time within which a change must be in force everywhere.
const outageDuration = propagationLimit + 2*time.Second

// outages returns outages that last longer than a change of the declarations may take to be in force. Edits accepted
// just before the outage, or by another entry during it, must still be in force in every live process in time.
func outages() []failure {
	tableDown, tableUp := withPlatform(func(f *standin.Faults) { f.Table.Outage = true })
	acceptedThenDown := func(c *cluster) {
		c.editAt("entry-1")
		tableDown(c)
	}
	cut, reconnect := withLinks(oneLink("entry-1", platformEnd), (*faultlink.Link).Cut)
	hold, release := withLinks(oneLink("entry-2", platformEnd), func(l *faultlink.Link) { l.Freeze(faultlink.Hold) })
	return []failure{
		newFailure("table down for long", `The table goes down right after one entry accepted an edit. The other entries
can't read the edit from the table, but it must be in force everywhere within seconds.`, outageDuration, acceptedThenDown, tableUp),
		newFailure("entry cut off from the platform", `One entry can't reach the platform and keeps serving, while operators
make edits at the other entries.`, outageDuration, cut, reconnect),
		newFailure("entry's platform silent", `As before, but calls to the platform get no answer instead of an error.`, outageDuration, hold, release),
	}
}
