package atmostonce

import (
	"slices"
	"testing"
)

// A two-step request is offered, and then the stream fails, the entry gives up or the agent fails. Whether the attempt
// ends as not run depends on whether the commit was sent: before it, always; after it, only if the agent says so.
func TestExchangeTellsNotRunOnlyWhenCertain(t *testing.T) {
	cases := []struct {
		name    string
		oneStep bool
		events  []ExchangeEvent
		want    []ExchangeAction
	}{
		{"served", false, []ExchangeEvent{GotAccepted, GotReady, GotHead, GotTrailer}, []ExchangeAction{SendCommit, EndServed}},
		{"refused before the commit", false, []ExchangeEvent{GotRefused}, []ExchangeAction{EndNotRun}},
		{"refused as the commit came too late", false, []ExchangeEvent{GotReady, GotRefused}, []ExchangeAction{SendCommit, EndNotRun}},
		{"refused after the response began", false, []ExchangeEvent{GotReady, GotHead, GotRefused}, []ExchangeAction{SendCommit, EndTruncated}},
		{"broken before the commit", false, []ExchangeEvent{GotAccepted, StreamFailed}, []ExchangeAction{EndNotRun}},
		{"broken after the commit", false, []ExchangeEvent{GotReady, StreamFailed}, []ExchangeAction{SendCommit, EndUnknown}},
		{"broken within the response", false, []ExchangeEvent{GotReady, GotHead, StreamFailed}, []ExchangeAction{SendCommit, EndTruncated}},
		{"given up while waiting", false, []ExchangeEvent{GotAccepted, Abandoned, GotReady}, []ExchangeAction{SendCancel, EndNotRun}},
		{"given up after the commit, then served", false, []ExchangeEvent{GotReady, Abandoned, GotHead, GotTrailer},
			[]ExchangeAction{SendCommit, EndUnknown, SettleServed}},
		{"given up after the commit, then not run", false, []ExchangeEvent{GotReady, Abandoned, GotFailedNotRun},
			[]ExchangeAction{SendCommit, EndUnknown, SettleNotRun}},
		{"given up twice after the commit", false, []ExchangeEvent{GotReady, Abandoned, Abandoned}, []ExchangeAction{SendCommit, EndUnknown, SettleUnknown}},
		{"ready twice", false, []ExchangeEvent{GotReady, GotReady}, []ExchangeAction{SendCommit}},
		{"an agent that starts an uncommitted request", false, []ExchangeEvent{GotHead, StreamFailed}, []ExchangeAction{EndTruncated}},
		{"an agent that fails an uncommitted request", false, []ExchangeEvent{GotFailedUnknown}, []ExchangeAction{EndUnknown}},
		{"one step, served", true, []ExchangeEvent{GotAccepted, GotHead, GotTrailer}, []ExchangeAction{EndServed}},
		{"one step, broken while waiting", true, []ExchangeEvent{GotAccepted, StreamFailed}, []ExchangeAction{EndUnknown}},
		{"one step, given up", true, []ExchangeEvent{GotAccepted, Abandoned}, []ExchangeAction{SendCancel, EndUnknown}},
		{"one step, refused", true, []ExchangeEvent{GotRefused}, []ExchangeAction{EndNotRun}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := NewExchange(!c.oneStep)
			var got []ExchangeAction
			for _, e := range c.events {
				got = append(got, x.Step(e)...)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("actions %v, want %v", got, c.want)
			}
		})
	}
}

// Frames are duplicated, late, or race with the agent's own decision to withdraw. The endpoint must be called at most
// once, and never after the agent reported that the request did not run.
func TestExecutionCallsTheEndpointOnce(t *testing.T) {
	cases := []struct {
		name    string
		oneStep bool
		events  []ExecutionEvent
		want    []ExecutionAction
	}{
		{"two steps", false, []ExecutionEvent{Admitted, GotCommit, CallAnswered}, []ExecutionAction{SendReady, StartCall, ReleaseAdmission, SendTrailer}},
		{"one step", true, []ExecutionEvent{Admitted, CallAnswered}, []ExecutionAction{StartCall, ReleaseAdmission, SendTrailer}},
		{"commit twice", false, []ExecutionEvent{Admitted, GotCommit, GotCommit}, []ExecutionAction{SendReady, StartCall}},
		{"commit before the request is admitted", false, []ExecutionEvent{GotCommit, Admitted}, []ExecutionAction{SendReady}},
		{"commit after the request was cancelled", false, []ExecutionEvent{Admitted, GotCancel, GotCommit}, []ExecutionAction{SendReady, ReleaseAdmission, SendRefused}},
		{"commit after the timeout", false, []ExecutionEvent{Admitted, CommitLate, GotCommit}, []ExecutionAction{SendReady, ReleaseAdmission, SendRefused}},
		{"commit after the stream broke", false, []ExecutionEvent{Admitted, EntryLost, GotCommit}, []ExecutionAction{SendReady, ReleaseAdmission}},
		{"refused by the queue", false, []ExecutionEvent{QueueRefused, GotCommit, Admitted}, []ExecutionAction{SendRefused, ReleaseAdmission}},
		{"cancelled while waiting", false, []ExecutionEvent{GotCancel}, []ExecutionAction{LeaveQueue, SendRefused}},
		{"withdrawn while waiting", true, []ExecutionEvent{GotWithdrawal, Admitted}, []ExecutionAction{LeaveQueue, SendRefused, ReleaseAdmission}},
		{"withdrawn before the commit", false, []ExecutionEvent{Admitted, GotWithdrawal, GotCommit}, []ExecutionAction{SendReady, ReleaseAdmission, SendRefused}},
		{"withdrawn once it has started", true, []ExecutionEvent{Admitted, GotWithdrawal, CallAnswered},
			[]ExecutionAction{StartCall, ReleaseAdmission, SendTrailer}},
		{"withdrawn once it has started, then cancelled", true, []ExecutionEvent{Admitted, GotWithdrawal, GotCancel, CallFailedUnknown},
			[]ExecutionAction{StartCall, StopCall, ReleaseAdmission, SendFailedUnknown}},
		{"stream broken while waiting", false, []ExecutionEvent{EntryLost}, []ExecutionAction{LeaveQueue}},
		{"a committed call continues without its entry", false, []ExecutionEvent{Admitted, GotCommit, EntryLost, CallAnswered},
			[]ExecutionAction{SendReady, StartCall, ReleaseAdmission, SendTrailer}},
		{"a one-step call is cancelled when its entry is lost", true, []ExecutionEvent{Admitted, EntryLost, CallFailedUnknown},
			[]ExecutionAction{StartCall, StopCall, ReleaseAdmission, SendFailedUnknown}},
		{"the endpoint did not run it", false, []ExecutionEvent{Admitted, GotCommit, CallFailedNotRun},
			[]ExecutionAction{SendReady, StartCall, ReleaseAdmission, SendFailedNotRun}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := NewExecution(!c.oneStep)
			var got []ExecutionAction
			for _, e := range c.events {
				got = append(got, x.Step(e)...)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("actions %v, want %v", got, c.want)
			}
		})
	}
}
