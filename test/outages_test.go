package test

import (
	"testing"
	"time"

	"balsamsail/internal/faultlink"
	standin "balsamsail/internal/standin/platform"
)

// TestOutages is TestFailures with outages of the platform that last longer than a change may take to be in force.
func TestOutages(t *testing.T) {
	for _, f := range outages() {
		t.Run(f.name, func(t *testing.T) { runScenario(t, f) })
	}
}

// outageLasts is longer than the time in which a change must be in force everywhere.
const outageDuration = propagationLimit + 2*time.Second

// outages last longer than a change of the declarations may take to be in force. Edits that were accepted just before, or
// by another entry meanwhile, must reach every live process all the same.
func outages() []failure {
	tableDown, tableUp := withPlatform(func(f *standin.Faults) { f.Table.Outage = true })
	acceptedThenDown := func(c *cluster) {
		c.editAt("entry-1")
		tableDown(c)
	}
	cut, reconnect := withLinks(oneLink("entry-1", platformEnd), (*faultlink.Link).Cut)
	hold, release := withLinks(oneLink("entry-2", platformEnd), func(l *faultlink.Link) { l.Freeze(faultlink.Hold) })
	return []failure{
		newFailure("table down for long", `The table goes down right after an edit was accepted by one entry. The others cannot
read it, and the operator was told that it is in force everywhere within seconds.`, outageDuration, acceptedThenDown, tableUp),
		newFailure("entry cut off from the platform", `One entry does not reach the platform and goes on serving, while operators
make edits at the others.`, outageDuration, cut, reconnect),
		newFailure("entry's platform silent", `As before, with calls that get no answer.`, outageDuration, hold, release),
	}
}
