package test

import (
	"time"

	"balsamsail/internal/faultlink"
	standin "balsamsail/internal/standin/platform"
)

// made returns a failure of the two functions that the builders return.
func newFailure(name, description string, duration time.Duration, inject, heal func(c *cluster)) failure {
	return failure{name: name, description: description, duration: duration, inject: inject, heal: heal}
}

// processFailures are kills, freezes and restarts.
func processFailures() []failure {
	return []failure{
		newFailure("entry killed", `An entry dies with requests of callers, offers to agents and claims in flight, and comes
back later. Its callers see their connections end; nobody else may notice, and no call may run twice.`,
			longFault, killEntry("entry-1"), startEntry("entry-1")),
		newFailure("entry frozen", `An entry is suspended past every time-out and goes on as if no time had passed: with old
grants, old declarations and offers whose deadline is over.`,
			longFault, freezeEntry("entry-2"), thawEntry("entry-2")),
		newFailure("agent killed, its engine fences", `An agent dies in the middle of loads and answers while its engine lives
on and finishes the orders. The next agent must find out what the engine holds before it orders anything.`,
			longFault, whileLoading("engine-1", killAgent("engine-1")), startAgent("engine-1")),
		newFailure("agent killed, its engine does not fence", `As before, but the engine takes orders with any number, so that an
order of the dead agent may still take effect when the next one has read the engine's state.`,
			shortFault, whileLoading("engine-3", killAgent("engine-3")), startAgent("engine-3")),
		newFailure("agent frozen, its engine fences", `An agent is suspended in the middle of its work, its grants move on, and
it wakes up with decisions that it was about to carry out.`,
			longFault, whileLoading("engine-2", freezeAgent("engine-2")), thawAgent("engine-2")),
		newFailure("agent frozen, its engine does not fence", `As before, at an engine that would carry out whatever comes.`,
			longFault, whileLoading("engine-4", freezeAgent("engine-4")), thawAgent("engine-4")),
		newFailure("engine frozen", `An engine is suspended: orders and requests get no answer, the connection stays open, and all
of them are carried out late.`,
			longFault, whileLoading("engine-2", freezeServer("engine-2")), thawServer("engine-2")).freezesEndpoint("engine-2"),
		newFailure("engine restarted", `An engine dies and comes back at once, empty, between two looks of its agent, in the middle
of loads and answers.`,
			shortFault, whileLoading("engine-1", restartEngine("engine-1")), noop),
		newFailure("engine restarted twice, it does not fence", `An engine dies in the middle of its loads, and again while its
agent is loading anew.`,
			shortFault, whileLoading("engine-3", restartEngine("engine-3")), whileLoading("engine-3", restartEngine("engine-3"))),
		newFailure("service frozen", `A plain service is suspended with calls in it that may run only once; it runs them late.`,
			longFault, freezeServer("ledger-1"), thawServer("ledger-1")).freezesEndpoint("ledger-1"),
		newFailure("agent of a service killed", `The agent of a plain service dies with committed calls in flight.`,
			shortFault, killAgent("ledger-1"), startAgent("ledger-1")),
		newFailure("agent of a service frozen", `The agent of a plain service is suspended between an offer and its commit.`,
			longFault, freezeAgent("ledger-2"), thawAgent("ledger-2")),
		restartsWithLateOrders(),
	}
}

// restartsWithLateOrders kills the agent of an engine that takes any order again and again while orders arrive late.
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
	return newFailure("agent restarted again and again while orders are late", `Each agent dies with orders on their way, and the
next one finds the engine empty. The late loads must not meet those that it gives by itself: the engine does not tell old
orders from new ones and would run out of memory.`, 2*longFault, inject, heal)
}

// restartPause lets an agent live for long enough to give orders: longer than a late order takes.
const agentRestartInterval = 1900 * time.Millisecond

// linkFailures are faults of the paths between processes.
func linkFailures() []failure {
	blockOneWay := func(d faultlink.Direction) func(*faultlink.Link) {
		return func(l *faultlink.Link) { l.Block(d, faultlink.Vanish) }
	}
	silent := func(l *faultlink.Link) { l.Freeze(faultlink.Hold) }
	slow := func(l *faultlink.Link) {
		l.SetSlow(faultlink.Slowness{Delay: 150 * time.Millisecond, BytesPerSecond: 64 << 10})
	}
	list := []failure{
		linkFailure("cut", "All connections are reset and new ones refused.", "entry-1", "engine-1", (*faultlink.Link).Cut),
		linkFailure("deaf", "What the entry sends is lost, the agent's reports still come.", "entry-1", "engine-2", blockOneWay(faultlink.ToServer)),
		linkFailure("mute", "The agent hears the entry, its answers are lost.", "entry-2", "engine-1", blockOneWay(faultlink.ToClient)),
		linkFailure("silent", "Nothing comes through either way and nothing is closed; later all of it comes.", "entry-3", "engine-3", silent),
		linkFailure("slow", "Each piece of data takes 150 ms and more.", "entry-1", "engine-4", slow),
		linkFailure("cut", "Committed calls lose their connection.", "entry-1", "ledger-1", (*faultlink.Link).Cut),
		linkFailure("mute", "The agent gets the commit, its answer is lost.", "entry-2", "ledger-1", blockOneWay(faultlink.ToClient)),
		linkFailure("cut", "Orders and answers lose their connection.", agentName("engine-1"), "engine-1", (*faultlink.Link).Cut),
		linkFailure("deaf", "Orders and requests of the agent are lost on their way.", agentName("engine-3"), "engine-3", blockOneWay(faultlink.ToServer)),
		linkFailure("mute", "The engine carries orders out, its answers are lost.", agentName("engine-3"), "engine-3", blockOneWay(faultlink.ToClient)),
		linkFailure("silent", "Orders are held up and come late.", agentName("engine-4"), "engine-4", silent),
		linkFailure("mute", "The service runs calls, its answers are lost.", agentName("ledger-1"), "ledger-1", blockOneWay(faultlink.ToClient)),
		linkFailure("cut", "One agent does not reach the table.", agentName("engine-1"), platformEnd, (*faultlink.Link).Cut),
		linkFailure("mute", "The entry's writes take effect, their answers are lost.", "entry-1", platformEnd, blockOneWay(faultlink.ToClient)),
	}
	return append(list, cutWithinAnswer())
}

func linkFailure(name, description, from, to string, setFault func(*faultlink.Link)) failure {
	inject, heal := withLinks(oneLink(from, to), setFault)
	return newFailure(from+">"+to+" "+name, description, longFault, inject, heal)
}

// cutWithinAnswer cuts the connection of an engine within an answer, again and again.
func cutWithinAnswer() failure {
	inject, heal := withLinks(oneLink(agentName("engine-2"), "engine-2"), func(l *faultlink.Link) { l.CutAfter(faultlink.ToClient, 1500) })
	return newFailure("connection cut within an answer", `The connection to an engine is reset after some bytes of an answer. The
caller must not take what came for the whole.`, shortFault, inject, heal)
}

// platformFailures are faults of the platform's services.
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
		table("down", "Every call of the table is refused; warm and granted models go on.", longFault,
			func(f *standin.StoreFaults) { f.Outage = true }),
		table("hangs", "The table takes calls and never answers.", longFault,
			func(f *standin.StoreFaults) { f.Hang = true }),
		table("slow", "Each call of the table takes 300 ms more on average.", longFault,
			func(f *standin.StoreFaults) { f.LatencySeconds = 0.3 }),
		table("loses answers", "Half of the writes take effect and their answers are lost.", longFault,
			func(f *standin.StoreFaults) { f.LoseAfter = *chance(0.5) }),
		table("loses calls", "Half of the calls are lost on their way.", longFault,
			func(f *standin.StoreFaults) { f.LoseBefore = *chance(0.5) }),
		table("delays writes", "Half of the writes seem lost and take effect 700 ms later.", longFault,
			func(f *standin.StoreFaults) { f.Delay, f.DelaySeconds = *chance(0.5), 0.7 }),
		other("weight store down", "Loads from the store fail and those under way break.", longFault,
			func(f *standin.Faults) { f.Weights.Outage = true }),
		other("weight store slow", "Loads from the store take ten times as long.", longFault,
			func(f *standin.Faults) { f.Weights.SlowFactor = 10 }),
		other("object store down", "Every call of the object store is refused.", shortFault,
			func(f *standin.Faults) { f.Objects.Outage = true }),
		other("host list down", "The host list is refused.", longFault,
			func(f *standin.Faults) { f.Hosts.Outage = true }),
	}
}

// endpointFailures are faults of engines and plain services themselves.
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
		engine("engine-1", "delays orders", "Orders arrive late at an engine that checks fencing numbers.",
			engineFaults{DelayOrders: chance(0.5), DelayOrdersSeconds: 1.2}),
		engine("engine-3", "delays orders", `Orders arrive late at an engine that carries out any order: the agent gave up
waiting and has other plans when the model is loaded.`,
			engineFaults{DelayOrders: chance(0.5), DelayOrdersSeconds: 1.2}),
		engine("engine-2", "loses answers to orders", "Orders are carried out and nobody is told.",
			engineFaults{LoseOrders: chance(0.5)}),
		engine("engine-4", "fails loads", "Every second load takes its time and fails.",
			engineFaults{LoadFails: chance(0.5)}),
		engine("engine-3", "hangs in loads", "Every second load never ends.",
			engineFaults{LoadHangs: chance(0.5)}),
		engine("engine-1", "crosses answers", "A request gets the answer, and the identifier, of the one before it.",
			engineFaults{Cross: chance(0.3)}),
		engine("engine-2", "answers late", "A third of the answers begins after the caller's deadline.",
			engineFaults{Late: chance(0.3), LateSeconds: 3}),
		engine("engine-4", "cuts answers", "A third of the answers breaks off after three tokens.",
			engineFaults{Cut: chance(0.3), CutAfterTokens: 3}),
		engine("engine-1", "is slow", "All that the engine generates takes ten times as long, which its report hides.",
			engineFaults{SlowFactor: 10}),
		services("cut before running", "Connections break before the call ran.", serviceFaults{CutBefore: chance(0.3)}),
		services("cut after running", "Connections break once the call ran.", serviceFaults{CutAfter: chance(0.3)}),
		services("hang before running", "Calls get no answer and do not run.", serviceFaults{HangBefore: chance(0.3)}),
		services("hang after running", "Calls run and get no answer.", serviceFaults{HangAfter: chance(0.3)}),
	}
}
