package main

import (
	"bytes"
	"testing"
)

// Guards against two clients whose requests the checker can't tell apart, as they have the same ID.
func TestClientsOfAnEndingRequestHaveIDsOfTheirOwn(t *testing.T) {
	models := []string{"model-1", "model-2", "model-3"}
	for _, pick := range []uint64{4, 5} {
		one, other := endingCall(pick, 1, 0, models), endingCall(pick, 2, 0, models)
		if one.ID == other.ID {
			t.Errorf("both clients of pick %d send a request %s", pick, one.ID)
		}
		if one.Path != other.Path || one.Model != other.Model || !bytes.Equal(one.Body, other.Body) {
			t.Errorf("the clients of pick %d send %+v and %+v, which differ in more than their IDs", pick, one, other)
		}
	}
}
