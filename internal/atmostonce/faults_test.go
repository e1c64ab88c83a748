package atmostonce

import (
	"encoding/json"
	"math/rand/v2"

	"balsamsail/internal/backing"
)

// faultyTable is a table that loses responses, delays writes and fails calls.
type faultyTable struct {
	random   *rand.Rand
	faults   bool
	rows     map[string]backing.Row
	revision uint64
	delayed  []func()
	// lost counts the responses that were lost, before or after the write; failed counts the calls that had no effect.
	lost, failed int
}

func (t *faultyTable) write(key string, condition uint64, claim Claim) tableResult {
	value, _ := json.Marshal(claim)
	apply := func() tableResult {
		if t.rows[key].Revision != condition {
			return tableResult{event: writeConflict}
		}
		t.revision++
		t.rows[key] = backing.Row{Key: key, Revision: t.revision, Value: value}
		return tableResult{event: writeDone, revision: t.revision}
	}
	if !t.faults {
		return apply()
	}
	switch t.random.IntN(8) {
	case 0:
		t.failed++
		return tableResult{event: writeNoEffect}
	case 1:
	case 2:
		apply()
	case 3:
		t.delayed = append(t.delayed, func() { apply() })
	default:
		return apply()
	}
	t.lost++
	return tableResult{event: writeUnknown}
}

func (t *faultyTable) read(key string) tableResult {
	if t.faults && t.random.IntN(6) == 0 {
		t.failed++
		return tableResult{event: readFailed}
	}
	row, ok := t.rows[key]
	if !ok {
		return tableResult{event: rowAbsent}
	}
	return tableResult{event: rowRead, row: row}
}

// stream is one request stream with the state machines at both ends and the endpoint calls behind it.
type stream struct {
	agent     int
	exchange  *Exchange
	execution *Execution
	down      []ExecutionEvent
	up        []ExchangeEvent
	// broken and agentCrashed are set when the stream broke, agentCrashed only when the agent crashed.
	broken, agentCrashed bool
	// calls counts the endpoint calls that may still run the request, and runs how often it was run.
	calls, runs int
}

func (s *stream) sendToAgent(actions []ExchangeAction) {
	for _, a := range actions {
		switch {
		case s.broken:
		case a == SendCommit:
			s.down = append(s.down, GotCommit)
		case a == SendCancel:
			s.down = append(s.down, GotCancel)
		}
	}
}

var frameOf = map[ExecutionAction]ExchangeEvent{
	SendReady: GotReady, SendRefused: GotRefused, SendTrailer: GotTrailer,
	SendFailedNotRun: GotFailedNotRun, SendFailedUnknown: GotFailedUnknown,
}

func (s *stream) deliverToAgent(e ExecutionEvent) {
	if s.agentCrashed && e != EntryLost {
		return
	}
	for _, a := range s.execution.Step(e) {
		if a == StartCall {
			s.calls++
		}
		if frame, ok := frameOf[a]; ok && !s.broken {
			s.up = append(s.up, frame)
		}
	}
}
