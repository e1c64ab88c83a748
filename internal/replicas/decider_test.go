package replicas

import "testing"

func TestHomesAreInDifferentFailureDomainsAndSettle(t *testing.T) {
	s := newSite(models(30), engines(6, "north", "east"))
	s.run(t)
	for _, spec := range s.Declared.Models {
		row := s.Rows[spec.Model].Row
		if len(row.GetSlots()) != 2 || row.Slots[0].FailureDomain == row.Slots[1].FailureDomain {
			t.Errorf("%s: slots %v", spec.Model, row.GetSlots())
		}
	}
	s.EnginesVersion++
	if changes := s.decide(); len(changes) > 0 {
		t.Errorf("nothing changed, yet: %v", changes)
	}
}
