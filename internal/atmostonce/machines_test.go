package atmostonce

import (
	"slices"
	"testing"
)

// A slot confirmation is offered, and then the stream, the patience or the agent fails at some point. What the caller is
// told must follow from whether the commit had left: before it "not run", after it only what the agent says.
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
		{"refused after the answer began", false, []ExchangeEvent{GotReady, GotHead, GotRefused}, []ExchangeAction{SendCommit, EndCut}},
		{"broken before the commit", false, []ExchangeEvent{GotAccepted, StreamBroke}, []ExchangeAction{EndNotRun}},
		{"broken after the commit", false, []ExchangeEvent{GotReady, StreamBroke}, []ExchangeAction{SendCommit, EndUnknown}},
		{"broken within the answer", false, []ExchangeEvent{GotReady, GotHead, StreamBroke}, []ExchangeAction{SendCommit, EndCut}},
		{"given up while waiting", false, []ExchangeEvent{GotAccepted, GaveUp, GotReady}, []ExchangeAction{SendCancel, EndNotRun}},
		{"given up after the commit, then served", false, []ExchangeEvent{GotReady, GaveUp, GotHead, GotTrailer},
			[]ExchangeAction{SendCommit, EndUnknown, SettleServed}},
		{"given up after the commit, then not run", false, []ExchangeEvent{GotReady, GaveUp, GotFailedClean},
			[]ExchangeAction{SendCommit, EndUnknown, SettleNotRun}},
		{"given up twice", false, []ExchangeEvent{GotReady, GaveUp, GaveUp}, []ExchangeAction{SendCommit, EndUnknown, SettleUnknown}},
		{"ready twice", false, []ExchangeEvent{GotReady, GotReady}, []ExchangeAction{SendCommit}},
		{"an agent that starts uncommitted", false, []ExchangeEvent{GotHead, StreamBroke}, []ExchangeAction{EndCut}},
		{"an agent that fails uncommitted", false, []ExchangeEvent{GotFailedUnclear}, []ExchangeAction{EndUnknown}},
		{"one step served", true, []ExchangeEvent{GotAccepted, GotHead, GotTrailer}, []ExchangeAction{EndServed}},
		{"one step broken while it waits", true, []ExchangeEvent{GotAccepted, StreamBroke}, []ExchangeAction{EndUnknown}},
		{"one step given up", true, []ExchangeEvent{GotAccepted, GaveUp}, []ExchangeAction{SendCancel, EndUnknown}},
		{"one step refused", true, []ExchangeEvent{GotRefused}, []ExchangeAction{EndNotRun}},
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

// Frames come twice, late or crossed with the agent's own decision to withdraw. The endpoint must be called at most once,
// and never after the agent said that the request did not run.
func TestExecutionCallsTheEndpointOnce(t *testing.T) {
	cases := []struct {
		name    string
		oneStep bool
		events  []ExecutionEvent
		want    []ExecutionAction
	}{
		{"two steps", false, []ExecutionEvent{TurnCame, GotCommit, CallAnswered}, []ExecutionAction{SendReady, StartCall, GiveBackTurn, SendTrailer}},
		{"one step", true, []ExecutionEvent{TurnCame, CallAnswered}, []ExecutionAction{StartCall, GiveBackTurn, SendTrailer}},
		{"commit twice", false, []ExecutionEvent{TurnCame, GotCommit, GotCommit}, []ExecutionAction{SendReady, StartCall}},
		{"commit before the turn", false, []ExecutionEvent{GotCommit, TurnCame}, []ExecutionAction{SendReady}},
		{"commit after it was withdrawn", false, []ExecutionEvent{TurnCame, GotCancel, GotCommit}, []ExecutionAction{SendReady, GiveBackTurn, SendRefused}},
		{"commit after the patience", false, []ExecutionEvent{TurnCame, CommitLate, GotCommit}, []ExecutionAction{SendReady, GiveBackTurn, SendRefused}},
		{"commit after the stream broke", false, []ExecutionEvent{TurnCame, EntryLost, GotCommit}, []ExecutionAction{SendReady, GiveBackTurn}},
		{"refused by the queue", false, []ExecutionEvent{QueueRefused, GotCommit, TurnCame}, []ExecutionAction{SendRefused, GiveBackTurn}},
		{"withdrawn while it waits", false, []ExecutionEvent{GotCancel}, []ExecutionAction{LeaveQueue, SendRefused}},
		{"stream broken while it waits", false, []ExecutionEvent{EntryLost}, []ExecutionAction{LeaveQueue}},
		{"a committed call goes on without its entry", false, []ExecutionEvent{TurnCame, GotCommit, EntryLost, CallAnswered},
			[]ExecutionAction{SendReady, StartCall, GiveBackTurn, SendTrailer}},
		{"a call that may be repeated stops with its entry", true, []ExecutionEvent{TurnCame, EntryLost, CallFailedUnclear},
			[]ExecutionAction{StartCall, StopCall, GiveBackTurn, SendFailedUnclear}},
		{"the endpoint did not run it", false, []ExecutionEvent{TurnCame, GotCommit, CallFailedClean},
			[]ExecutionAction{SendReady, StartCall, GiveBackTurn, SendFailedClean}},
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
