package test

import (
	"time"

	"balsamsail/internal/faultlink"
	standin "balsamsail/internal/standin/platform"
)

// newFailure returns a failure with the given inject and heal functions.
func newFailure(name, description string, duration time.Duration, inject, heal func(c *cluster)) failure {
	return failure{name: name, description: description, duration: duration, inject: inject, heal: heal}
}

// processFailures returns the failures in which processes are killed, frozen or restarted.
func processFailures() []failure {
	return []failure{
		newFailure("entry killed", `An entry is killed with callers' requests, offers to agents and claims in flight, and is
started again later. Its callers' connections end; no other caller may be affected, and no call may run twice.`,
			longFault, killEntry("entry-1"), startEntry("entry-1")),
		newFailure("entry frozen", `An entry is suspended for longer than the timeouts for silent peers, and resumes with stale
grants, stale declarations and offers past their deadlines.`,
			longFault, freezeEntry("entry-2"), thawEntry("entry-2")),
		newFailure("agent killed, its engine fences", `An agent is killed during loads and answers, while its engine keeps
running and finishes the orders. The restarted agent must read the engine's state before it sends any order.`,
			longFault, whileLoading("engine-1", killAgent("engine-1")), startAgent("engine-1")),
		newFailure("agent killed, its engine does not fence", `As before, but the engine accepts orders with any fencing token, so
an order of the killed agent may still take effect after the restarted one has read the engine's state.`,
			shortFault, whileLoading("engine-3", killAgent("engine-3")), startAgent("engine-3")),
		newFailure("agent frozen, its engine fences", `An agent is suspended during a load, its grants go to other engines
meanwhile, and it resumes with stale decisions that it was about to carry out.`,
			longFault, whileLoading("engine-2", freezeAgent("engine-2")), thawAgent("engine-2")),
		newFailure("agent frozen, its engine does not fence", `As before, at an engine that accepts orders with any fencing token.`,
			longFault, whileLoading("engine-4", freezeAgent("engine-4")), thawAgent("engine-4")),
		newFailure("engine frozen", `An engine is suspended: orders and requests get no answer, the connection stays open, and
all of them are carried out after the engine resumes.`,
			longFault, whileLoading("engine-2", freezeServer("engine-2")), thawServer("engine-2")).freezesEndpoint("engine-2"),
		newFailure("engine restarted", `An engine restarts during loads and answers, and is back with nothing loaded before its
agent polls it again.`,
			shortFault, whileLoading("engine-1", restartEngine("engine-1")), noop),
		newFailure("engine restarted twice, it does not fence", `An engine restarts during a load, and again while its agent
repeats the loads.`,
			shortFault, whileLoading("engine-3", restartEngine("engine-3")), whileLoading("engine-3", restartEngine("engine-3"))),
		newFailure("service frozen", `A plain service is suspended with non-idempotent calls in flight; it runs them after it
resumes.`,
			longFault, freezeServer("ledger-1"), thawServer("ledger-1")).freezesEndpoint("ledger-1"),
		newFailure("agent of a service killed", `The agent of a plain service is killed with committed calls in flight.`,
			shortFault, killAgent("ledger-1"), startAgent("ledger-1")),
		newFailure("agent of a service frozen", `The agent of a plain service is suspended between an offer and its commit.`,
			longFault, freezeAgent("ledger-2"), thawAgent("ledger-2")),
		restartsWithLateOrders(),
	}
}

// restartsWithLateOrders repeatedly restarts the agent of an engine that accepts any fencing token, while its orders
// are delayed.
func restartsWithLateOrders() failure {
	delayOrders, restoreOrders := withEngine("engine-3", engineFaults{DelayOrders: chance(1), DelayOrdersSeconds: 1.2})
	inject := func(c *cluster) {
		delayOrders(c)
		agent := c.endpoint("engine-3").agent
		c.background.start(agentRestartInterval, func(int) {
			agent.kill()
			agent.start()
		})
	}
	heal := func(c *cluster) {
		c.t.Helper()
		c.background.stop()
		restoreOrders(c)
	}
	return newFailure("agent restarted again and again while orders are late", `Each agent is killed with orders in flight, and the
next one finds nothing loaded in the engine. The delayed loads must not add up with the new agent's loads: the engine can't
tell old orders from new ones and would run out of memory.`, 2*longFault, inject, heal)
}

// agentRestartInterval is longer than the delay of an order (1.2 s), so that each agent runs long enough to send
// orders.
const agentRestartInterval = 1900 * time.Millisecond

// linkFailures returns the faults of the links between processes. In the names, "deaf" loses the data towards the
// server, "mute" the data towards the client.
func linkFailures() []failure {
	blockOneWay := func(d faultlink.Direction) func(*faultlink.Link) {
		return func(l *faultlink.Link) { l.Block(d, faultlink.Drop) }
	}
	silent := func(l *faultlink.Link) { l.Freeze(faultlink.Hold) }
	slow := func(l *faultlink.Link) {
		l.SetThrottle(faultlink.Throttle{Delay: 150 * time.Millisecond, BytesPerSecond: 64 << 10})
	}
	list := []failure{
		linkFailure("cut", "All connections are reset and new ones refused.", "entry-1", "engine-1", (*faultlink.Link).Cut),
		linkFailure("deaf", "Data from the entry is lost; the agent's reports still arrive.", "entry-1", "engine-2", blockOneWay(faultlink.ToServer)),
		linkFailure("mute", "Data from the entry arrives; the agent's answers are lost.", "entry-2", "engine-1", blockOneWay(faultlink.ToClient)),
		linkFailure("silent", "Data is held up in both directions without closing connections, and all of it is delivered on heal.", "entry-3", "engine-3", silent),
		linkFailure("slow", "Data is delayed by at least 150 ms and limited to 64 KiB/s.", "entry-1", "engine-4", slow),
		linkFailure("cut", "The connections of committed calls are reset.", "entry-1", "ledger-1", (*faultlink.Link).Cut),
		linkFailure("mute", "The commit reaches the agent; its answer is lost.", "entry-2", "ledger-1", blockOneWay(faultlink.ToClient)),
		linkFailure("cut", "The connections of orders and answers are reset.", agentName("engine-1"), "engine-1", (*faultlink.Link).Cut),
		linkFailure("deaf", "The agent's orders and requests are lost before they reach the engine.", agentName("engine-3"), "engine-3", blockOneWay(faultlink.ToServer)),
		linkFailure("mute", "The engine carries orders out; its answers are lost.", agentName("engine-3"), "engine-3", blockOneWay(faultlink.ToClient)),
		linkFailure("silent", "Orders are held up and arrive late.", agentName("engine-4"), "engine-4", silent),
		linkFailure("mute", "The service runs calls; its answers are lost.", agentName("ledger-1"), "ledger-1", blockOneWay(faultlink.ToClient)),
		linkFailure("cut", "One agent can't reach the table.", agentName("engine-1"), platformEnd, (*faultlink.Link).Cut),
		linkFailure("mute", "The entry's writes take effect; their answers are lost.", "entry-1", platformEnd, blockOneWay(faultlink.ToClient)),
	}
	return append(list, cutWithinAnswer())
}

func linkFailure(name, description, from, to string, setFault func(*faultlink.Link)) failure {
	inject, heal := withLinks(oneLink(from, to), setFault)
	return newFailure(from+">"+to+" "+name, description, longFault, inject, heal)
}

// cutWithinAnswer resets a connection to an engine once, after 1,500 more bytes of answers.
func cutWithinAnswer() failure {
	inject, heal := withLinks(oneLink(agentName("engine-2"), "engine-2"), func(l *faultlink.Link) { l.CutAfter(faultlink.ToClient, 1500) })
	return newFailure("connection cut within an answer", `A connection to an engine is reset after some bytes of an answer.
The caller must not get the partial answer as a complete one.`, shortFault, inject, heal)
}

// platformFailures returns the faults of the platform's services.
func platformFailures() []failure {
	table := func(name, description string, duration time.Duration, change func(*standin.StoreFaults)) failure {
		inject, heal := withPlatform(func(f *standin.Faults) { change(&f.Table) })
		return newFailure("table "+name, description, duration, inject, heal)
	}
	other := func(name, description string, duration time.Duration, change func(*standin.Faults)) failure {
		inject, heal := withPlatform(change)
		return newFailure(name, description, duration, inject, heal)
	}
	return []failure{
		table("down", "Every call to the table is refused; loaded and granted models keep serving.", longFault,
			func(f *standin.StoreFaults) { f.Outage = true }),
		table("hangs", "The table accepts calls and never answers.", longFault,
			func(f *standin.StoreFaults) { f.Hang = true }),
		table("slow", "Each call to the table takes 300 ms longer on average.", longFault,
			func(f *standin.StoreFaults) { f.LatencySeconds = 0.3 }),
		table("loses answers", "Half of the writes take effect but their answers are lost.", longFault,
			func(f *standin.StoreFaults) { f.LoseAfter = *chance(0.5) }),
		table("loses calls", "Half of the calls are lost before they reach the table.", longFault,
			func(f *standin.StoreFaults) { f.LoseBefore = *chance(0.5) }),
		table("delays writes", "Half of the writes get no answer and take effect 700 ms later.", longFault,
			func(f *standin.StoreFaults) { f.Delay, f.DelaySeconds = *chance(0.5), 0.7 }),
		other("weight store down", "New loads from the store fail and those in progress break off.", longFault,
			func(f *standin.Faults) { f.Weights.Outage = true }),
		other("weight store slow", "Loads from the store take ten times as long.", longFault,
			func(f *standin.Faults) { f.Weights.SlowFactor = 10 }),
		other("object store down", "Every call to the object store is refused.", shortFault,
			func(f *standin.Faults) { f.Objects.Outage = true }),
		other("host list down", "Every read of the host list is refused.", longFault,
			func(f *standin.Faults) { f.Hosts.Outage = true }),
	}
}

// endpointFailures returns the faults of engines and plain services.
func endpointFailures() []failure {
	engine := func(on, name, description string, faults engineFaults) failure {
		inject, heal := withEngine(on, faults)
		return newFailure(on+" "+name, description, longFault, inject, heal).setsFaultsOn(on)
	}
	services := func(name, description string, faults serviceFaults) failure {
		inject, heal := withServices(faults)
		return newFailure("services "+name, description, longFault, inject, heal).setsFaultsOn("ledger-1", "ledger-2")
	}
	return []failure{
		engine("engine-1", "delays orders", "Orders arrive late at an engine that checks fencing tokens.",
			engineFaults{DelayOrders: chance(0.5), DelayOrdersSeconds: 1.2}),
		engine("engine-3", "delays orders", `Orders arrive late at an engine that accepts any fencing token: by the time the
model is loaded, the agent has timed out and may have decided otherwise.`,
			engineFaults{DelayOrders: chance(0.5), DelayOrdersSeconds: 1.2}),
		engine("engine-2", "loses answers to orders", "Orders are carried out but their answers are lost.",
			engineFaults{LoseOrders: chance(0.5)}),
		engine("engine-4", "fails loads", "Half of the loads take their usual time and then fail.",
			engineFaults{LoadFails: chance(0.5)}),
		engine("engine-3", "hangs in loads", "Half of the loads never end.",
			engineFaults{LoadHangs: chance(0.5)}),
		engine("engine-1", "crosses answers", "A request gets the answer and the request ID of the previous one.",
			engineFaults{SwapAnswer: chance(0.3)}),
		engine("engine-2", "answers late", "30% of the answers begin after the caller's deadline.",
			engineFaults{Late: chance(0.3), LateSeconds: 3}),
		engine("engine-4", "cuts answers", "30% of the answers break off after three tokens.",
			engineFaults{Cut: chance(0.3), CutAfterTokens: 3}),
		engine("engine-1", "is slow", "Generation takes ten times as long, which the engine's report doesn't show.",
			engineFaults{SlowFactor: 10}),
		services("cut before running", "Connections break before the call runs.", serviceFaults{CutBefore: chance(0.3)}),
		services("cut after running", "Connections break after the call has run.", serviceFaults{CutAfter: chance(0.3)}),
		services("hang before running", "Calls get no answer and do not run.", serviceFaults{HangBefore: chance(0.3)}),
		services("hang after running", "Calls run and get no answer.", serviceFaults{HangAfter: chance(0.3)}),
	}
}
