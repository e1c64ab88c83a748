package engineagent

import (
	"math/rand/v2"
	"testing"
	"time"
)

// repeatingReports gives a core the reports of an engine that sends the last report of a connection once more in place of the next one.
type repeatingReports struct {
	random *rand.Rand
	last   *Report
}

func (s *repeatingReports) read(e *fakeEngine, newConnection bool) *Report {
	r := e.report()
	if newConnection {
		return r
	}
	if s.last != nil && s.random.IntN(2) == 0 {
		return s.last
	}
	s.last = r
	return r
}

// Guards against a command that is dropped as failed while the engine carries it out, because a report from before the order comes late.
func TestReportFromBeforeAnOrderIsNotUsed(t *testing.T) {
	for seed := range uint64(300) {
		reports := &repeatingReports{random: rand.New(rand.NewPCG(seed, 2))}
		c, e := NewCore(100*time.Millisecond), newEngine(t, "a", "b", "c")
		e.started = int64(seed % 2)
		sendGatewayMessage(c, start, GatewayMessage{Command: &Command{ID: 1, EndpointID: "i1", Unload: []string{"b"}, Load: "d"}})
		for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(10 * time.Millisecond) {
			e.advance(now)
			if e.busy != nil && c.command == nil {
				t.Fatalf("seed %d: the command is dropped while the engine carries out %+v", seed, *e.busy)
			}
			action := c.Next(now)
			switch {
			case action.Read:
				c.HandleReport(now, reports.read(e, action.NewConnection))
			case action.Order != nil:
				c.HandleOrderResult(now, *action.Order, e.handleOrder(now, *action.Order))
			}
		}
		if _, ok := e.models["d"]; !ok || e.sequence != 2 {
			t.Fatalf("seed %d: loaded models %v after %d orders, want a, c and d after 2", seed, e.models, e.sequence)
		}
	}
}

// Guards against an earlier report that comes late and counts as a restart of the engine: the command and unanswered orders are dropped.
func TestEarlierReportIsNoRestart(t *testing.T) {
	for _, started := range []int64{0, 1000} {
		c, e := NewCore(100*time.Millisecond), newEngine(t, "a")
		e.started, e.sequence = started, 3
		earlier := e.report()
		sendGatewayMessage(c, start, GatewayMessage{})
		c.HandleReport(start, earlier)
		e.sequence = 5
		c.HandleReport(start, e.report())
		sendGatewayMessage(c, start, GatewayMessage{Command: &Command{ID: 1, EndpointID: "i1", Load: "d"}})
		c.Next(start.Add(time.Second))
		c.HandleReport(start.Add(time.Second), earlier)
		if c.command == nil || c.report.Sequence != 5 {
			t.Errorf("started %d: command %v, count of orders %d, want the command and 5", started, c.command, c.report.Sequence)
		}
		if action := c.Next(start.Add(time.Second)); !action.Read || !action.NewConnection {
			t.Errorf("started %d: next action %+v, want a report over a new connection", started, action)
		}
		c.HandleReport(start.Add(time.Second), earlier)
		if c.command != nil || c.report.Sequence != 3 {
			t.Errorf("started %d: command %v, count of orders %d, want a restart", started, c.command, c.report.Sequence)
		}
	}
}

// Guards against loads beyond an engine's memory when reports come late, orders are lost or carried out late, and the engine restarts.
func TestLateReportsDoNotOvercommit(t *testing.T) {
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 3))
		reports := &repeatingReports{random: random}
		c, e := NewCore(100*time.Millisecond), newEngine(t, "a", "b", "c")
		e.started = 1000
		for i := range 2000 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			e.advance(now)
			if i%100 == 0 {
				names := []string{"a", "b", "c", "d", "e"}
				random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
				command := &Command{ID: uint64(i + 1), EndpointID: "i1", EngineStarted: e.started, Unload: names[:1], Load: names[1]}
				sendGatewayMessage(c, now, GatewayMessage{Command: command, Wanted: []Adapter{{names[2], "x"}, {names[3], "y"}}})
			}
			if random.IntN(400) == 0 {
				e.restart()
				reports.last = nil
			}
			action := c.Next(now)
			switch {
			case action.Read:
				c.HandleReport(now, reports.read(e, action.NewConnection))
			case action.Order != nil:
				c.HandleOrderResult(now, *action.Order, e.handleOrderUnreliably(random, now, *action.Order))
			}
		}
	}
}

// Guards against an earlier stream of a gateway whose late messages, or whose late end, replace what the gateway says on a later one.
func TestEarlierStreamDoesNotReplaceTheLaterOne(t *testing.T) {
	c := NewCore(100 * time.Millisecond)
	say := func(stream uint64, adapter string, command *Command) {
		sendGatewayMessage(c, start, GatewayMessage{Stream: stream, Used: []Adapter{{"a", adapter}}, Command: command})
	}
	uses := func() string {
		if g := c.gateways["gateway"]; g != nil {
			return g.used[0].Name
		}
		return ""
	}
	say(1, "1", nil)
	say(2, "2", nil)
	say(1, "1", &Command{ID: 1, EndpointID: "i1", Unload: []string{"a"}})
	if uses() != "2" || c.command != nil {
		t.Errorf("adapter %q in use and command %v after a late message, want 2 and none", uses(), c.command)
	}
	c.RemoveGateway("gateway", 1)
	if uses() != "2" || len(c.Gateways(start)) != 1 {
		t.Errorf("adapter %q in use, gateways %v after the late end of the earlier stream, want 2 and one", uses(), c.Gateways(start))
	}
	c.RemoveGateway("gateway", 2)
	if len(c.Gateways(start)) != 0 {
		t.Error("the gateway stays after the end of its last stream")
	}
}
