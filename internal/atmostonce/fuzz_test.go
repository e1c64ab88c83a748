package atmostonce

import (
	"encoding/json"
	"testing"

	"balsamsail/internal/backing"
)

// FuzzClaimRow passes rows with arbitrary content to a claim. Only a row held by this owner may grant the key, and only
// a free row may be overwritten.
func FuzzClaimRow(f *testing.F) {
	f.Add([]byte(`{"state":"held","owner":"me"}`))
	f.Add([]byte(`{"state":"free","owner":"other"}`))
	f.Add([]byte(`{"state":"done","owner":"other","fingerprint":7,"status":200}`))
	f.Add([]byte(`{"state":"held"`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		var claim Claim
		readable := json.Unmarshal(value, &claim) == nil
		machine := newClaimAttempt("me", 7)
		call := machine.step(tableResult{event: rowRead, row: backing.Row{Revision: 5, Value: value}})
		mine := readable && claim.Owner == "me" && claim.State == ClaimHeld
		if granted := machine.outcome == ClaimGranted; granted != mine {
			t.Errorf("granted = %v for row %q", granted, value)
		}
		if call == callWrite && (!readable || claim.State != ClaimFree || machine.condition != 5) {
			t.Errorf("would overwrite %q at revision %d", value, machine.condition)
		}
	})
}
