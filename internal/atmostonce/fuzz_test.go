package atmostonce

import (
	"encoding/json"
	"testing"

	"balsamsail/internal/backing"
)

// FuzzClaimRow feeds rows of any content to a claim: only a row that names this owner as its holder may grant the key, and
// only one that says it is free may be written over.
func FuzzClaimRow(f *testing.F) {
	f.Add([]byte(`{"state":"held","owner":"me"}`))
	f.Add([]byte(`{"state":"free","owner":"other"}`))
	f.Add([]byte(`{"state":"done","owner":"other","fingerprint":7,"status":200}`))
	f.Add([]byte(`{"state":"held"`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		var claim Claim
		readable := json.Unmarshal(value, &claim) == nil
		machine := newClaiming("me", 7)
		call := machine.step(tableInput{event: rowRead, row: backing.Row{Revision: 5, Value: value}})
		mine := readable && claim.Owner == "me" && claim.State == ClaimHeld
		if granted := machine.outcome == ClaimGranted; granted != mine {
			t.Errorf("granted %v by %q", granted, value)
		}
		if call == callWrite && (!readable || claim.State != ClaimFree || machine.condition != 5) {
			t.Errorf("would write over %q on revision %d", value, machine.condition)
		}
	})
}
