package atmostonce

import (
	"encoding/json"
	"math/rand/v2"

	"balsamsail/internal/backing"
)

// lossyTable is a table that loses answers, delays writes and refuses calls.
type lossyTable struct {
	random   *rand.Rand
	faults   bool
	rows     map[string]backing.Row
	revision uint64
	delayed  []func()
	// lost counts the answers that were lost, before or after the write, and failed the calls that had no effect.
	lost, failed int
}

func (t *lossyTable) write(key string, condition uint64, claim Claim) tableInput {
	value, _ := json.Marshal(claim)
	apply := func() tableInput {
		if t.rows[key].Revision != condition {
			return tableInput{event: writeConflict}
		}
		t.revision++
		t.rows[key] = backing.Row{Key: key, Revision: t.revision, Value: value}
		return tableInput{event: writeDone, revision: t.revision}
	}
	if !t.faults {
		return apply()
	}
	switch t.random.IntN(8) {
	case 0:
		t.failed++
		return tableInput{event: writeNoEffect}
	case 1:
	case 2:
		apply()
	case 3:
		t.delayed = append(t.delayed, func() { apply() })
	default:
		return apply()
	}
	t.lost++
	return tableInput{event: writeLost}
}

func (t *lossyTable) read(key string) tableInput {
	if t.faults && t.random.IntN(6) == 0 {
		t.failed++
		return tableInput{event: readFailed}
	}
	row, ok := t.rows[key]
	if !ok {
		return tableInput{event: rowAbsent}
	}
	return tableInput{event: rowRead, row: row}
}

// link is one request stream with the two machines at its ends and the endpoint call behind them.
type link struct {
	agent     int
	exchange  *Exchange
	execution *Execution
	down      []ExecutionEvent
	up        []ExchangeEvent
	// cut and agentGone are set when the stream broke, agentGone also when the agent died.
	cut, agentGone bool
	// calls counts the endpoint calls that may still run the request, and runs how often one did.
	calls, runs int
}

func (l *link) toAgent(actions []ExchangeAction) {
	for _, a := range actions {
		switch {
		case l.cut:
		case a == SendCommit:
			l.down = append(l.down, GotCommit)
		case a == SendCancel:
			l.down = append(l.down, GotCancel)
		}
	}
}

var frameOf = map[ExecutionAction]ExchangeEvent{
	SendReady: GotReady, SendRefused: GotRefused, SendTrailer: GotTrailer,
	SendFailedClean: GotFailedClean, SendFailedUnclear: GotFailedUnclear,
}

func (l *link) atAgent(e ExecutionEvent) {
	if l.agentGone && e != EntryLost {
		return
	}
	for _, a := range l.execution.Step(e) {
		if a == StartCall {
			l.calls++
		}
		if frame, ok := frameOf[a]; ok && !l.cut {
			l.up = append(l.up, frame)
		}
	}
}
