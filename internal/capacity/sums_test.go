package capacity

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
)

// The slopes that were measured; docs/CAPACITY.md names the run of each. Bytes, seconds of processor time, and a second.
const (
	// A connection between an entry and an agent, idle: bytes on the wire with headers, processor time at the entry and at
	// the agent, resident memory at either.
	peerWire        = 500.0
	entryPeerCPU    = 140e-6
	agentPeerCPU    = 155e-6
	entryPeerMemory = 93e3
	agentPeerMemory = 87e3
	// snapshotPeerMemory is what an entry keeps for each agent that it has once sent a snapshot.
	snapshotPeerMemory = 0.75e6
	// The processes without peers.
	entryBaseMemory = 25e6
	agentBaseMemory = 23e6
	// A report taken in at an entry beyond the heartbeat's.
	reportCPU = 45e-6
	// A connection made anew to an agent that holds the declarations.
	connectCPU = 0.37e-3
	// Declarations: bytes of a snapshot and memory by object, and the processor time of taking one in.
	modelWire, adapterWire, engineWire = 142.0, 85.0, 55.0
	modelHeld, adapterHeld, engineHeld = 827.0, 537.0, 473.0
	objectCPU                          = 4e-6
	// One edit: its delta, and what it costs an entry for each agent.
	deltaWire   = 390.0
	editCPU     = 2.2e-3
	editPeerCPU = 39e-6
	// Grants: bytes and memory of a slot in a row, and the processor time of a decision by engine.
	slotWire, slotHeld = 53.0, 180.0
	decisionEngineCPU  = 1.7e-6
	domainDecisionCPU  = 0.158
	// An endpoint in an entry's view, and its line in the host list as JSON.
	viewHeld     = 3738.0
	hostListLine = 146.0
	// Routing: finding the slots of a row takes slotPairCPU times the square of the slots; a choice by scan and by index.
	slotPairCPU = 2.9e-9
	// candidateCPU is by how much a request grows at an entry with each slot of its model, the looks at the row included.
	candidateCPU = 6.7e-6
	scanCPU      = 16.5e-9
	indexCPU     = 0.4e-6
	// Events of the time line.
	eventCPU, eventHeld = 0.75e-6, 190.0
	// Reads of the table by an entry, and the calls of one claim.
	entryReads  = 4.0
	claimWrites = 2.0
	// trialMessageWire is a small message with its acknowledgement where header and body leave in one segment and yamux
	// sends no probes; a trial.
	trialMessageWire = 113.0
)

// What follows from the sizes.
const (
	requestsPerNode = targetRequests / targetNodes
	slotsPerModel   = targetEngines * slotsPerEngine / targetModels
	changesPerSec   = targetChanges / 86400
	snapshotWire    = targetModels*modelWire + targetAdapters*adapterWire + targetEngines*engineWire
	snapshotHeld    = targetModels*modelHeld + targetAdapters*adapterHeld + targetEngines*engineHeld
	rowsHeld        = targetEngines * slotsPerEngine * slotHeld
	// eventsPerRequest are the events that an entry records of a request.
	eventsPerRequest = 5.0
)

// sum is one line of a table of the page.
type sum struct {
	what, formula string
	value, limit  float64
	unit          string
	// upTo is the size up to which the limit holds; empty where it holds at the target.
	upTo string
}

func (s sum) String() string {
	if s.limit == 0 {
		return fmt.Sprintf("| %s | %s | %s %s |", s.what, s.formula, number(s.value), s.unit)
	}
	holds := "holds"
	if s.value > s.limit {
		holds = s.upTo
	}
	return fmt.Sprintf("| %s | %s | %s %s | %s %s | %s |", s.what, s.formula, number(s.value), s.unit, number(s.limit), s.unit, holds)
}

// number writes a value with three significant digits.
func number(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	scale := math.Pow(10, float64(digits))
	v = math.Round(v*scale) / scale
	text := fmt.Sprintf("%.*f", max(digits, 0), v)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return grouped(text)
}

// grouped puts commas between the thousands.
func grouped(text string) string {
	whole, rest, _ := strings.Cut(text, ".")
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if rest != "" {
		return whole + "." + rest
	}
	return whole
}

const (
	bytesPerSecond = "B/s"
	percent        = "% of a core"
	megabytes      = "MB"
	readsPerSecond = "reads/s"
	writesPerSec   = "writes/s"
	seconds        = "s"
)

func bytesSum(what, formula string, value float64, upTo string) sum {
	return sum{what: what, formula: formula, value: value, limit: limitBytes, unit: bytesPerSecond, upTo: upTo}
}

func cpuSum(what, formula string, value float64, upTo string) sum {
	return sum{what: what, formula: formula, value: 100 * value, limit: 100 * limitCPU, unit: percent, upTo: upTo}
}

func memorySum(what, formula string, value float64, upTo string) sum {
	return sum{what: what, formula: formula, value: value / 1e6, limit: limitMemory / 1e6, unit: megabytes, upTo: upTo}
}

// agentsUpTo is the number of agents of an entry at which something per agent reaches a limit.
func agentsUpTo(limit, each float64) string {
	return "up to " + number(math.Floor(limit/each)) + " agents"
}

func entriesUpTo(limit, each float64) string {
	return "up to " + number(math.Floor(limit/each)) + " entries"
}

// todayAtEntry is what today's form costs each entry if it is connected to every agent.
func todayAtEntry() []sum {
	return []sum{
		bytesSum("control streams, idle", "500 B/s × 10,000 agents", peerWire*targetEngines, agentsUpTo(limitBytes, peerWire)),
		bytesSum("edits pushed", "390 B × 0.139/s × 10,000 agents", deltaWire*changesPerSec*targetEngines,
			agentsUpTo(limitBytes, deltaWire*changesPerSec)),
		bytesSum("host list, once a second", "146 B × 11,200 hosts", hostListLine*(targetEngines+targetNodes),
			"up to "+number(math.Floor(limitBytes/hostListLine))+" hosts"),
		cpuSum("control streams, idle", "140 µs/s × 10,000 agents", entryPeerCPU*targetEngines, agentsUpTo(limitCPU, entryPeerCPU)),
		cpuSum("edits pushed", "(2.2 ms + 39 µs × 10,000) × 0.139/s", (editCPU+editPeerCPU*targetEngines)*changesPerSec,
			agentsUpTo(limitCPU/changesPerSec-editCPU, editPeerCPU)),
		cpuSum("slots of a row, three looks a request", "3 × 2.9 ns × 392² × 91.7/s", 3*slotPairCPU*slotsPerModel*slotsPerModel*requestsPerNode,
			"up to "+number(math.Floor(math.Sqrt(limitCPU/(3*slotPairCPU*requestsPerNode))))+" slots a model"),
		cpuSum("candidates listed anew for each request, all of it", "6.7 µs × 392 × 91.7/s", candidateCPU*slotsPerModel*requestsPerNode,
			"up to "+number(math.Floor(limitCPU/(candidateCPU*requestsPerNode)))+" slots a model"),
		cpuSum("the choice alone, by scan", "3 × 16.5 ns × 392 × 91.7/s", 3*scanCPU*slotsPerModel*requestsPerNode, ""),
		cpuSum("decisions, 0.027 changes of engines a second", "1.7 µs × 10,000 × 0.027/s",
			decisionEngineCPU*targetEngines*engineChanges, ""),
		cpuSum("time line", "0.75 µs × 5 events × 91.7/s", eventCPU*eventsPerRequest*requestsPerNode, ""),
		memorySum("connections and view", "25 MB + 93 kB × 10,000 agents", entryBaseMemory+entryPeerMemory*targetEngines,
			agentsUpTo(limitMemory-entryBaseMemory, entryPeerMemory)),
		memorySum("the same after a snapshot to each", "25 MB + 0.75 MB × 10,000 agents", entryBaseMemory+snapshotPeerMemory*targetEngines,
			agentsUpTo(limitMemory-entryBaseMemory, snapshotPeerMemory)),
		memorySum("declarations", "51 × 827 B + 2,700 × 537 B + 10,000 × 473 B", snapshotHeld, ""),
		memorySum("rows of grants", "20,000 slots × 180 B", rowsHeld, ""),
		memorySum("time line", "8,192 events × 190 B", 8192*eventHeld, ""),
	}
}

// engineChanges are changes of what is known of an engine a second: each host that fails, restarts or is replaced goes and
// comes.
const engineChanges = (hostFailures + hostRestarts) * 3 / 86400

// todayAtAgent is what today's form costs each agent if every entry is connected to it.
func todayAtAgent() []sum {
	return []sum{
		bytesSum("control streams, idle", "500 B/s × 1,200 entries", peerWire*targetNodes, entriesUpTo(limitBytes, peerWire)),
		bytesSum("edits received", "390 B × 0.139/s × 1,200 entries", deltaWire*changesPerSec*targetNodes,
			entriesUpTo(limitBytes, deltaWire*changesPerSec)),
		bytesSum("rows received, whole, 20 changes of each row a day", "2 × 20.8 kB × 20/day × 1,200 entries",
			slotsPerEngine*slotWire*slotsPerModel*rowChanges*targetNodes, entriesUpTo(limitBytes, slotsPerEngine*slotWire*slotsPerModel*rowChanges)),
		cpuSum("control streams, idle", "155 µs/s × 1,200 entries", agentPeerCPU*targetNodes, entriesUpTo(limitCPU, agentPeerCPU)),
		memorySum("connections", "23 MB + 87 kB × 1,200 entries", agentBaseMemory+agentPeerMemory*targetNodes, entriesUpTo(limitMemory-agentBaseMemory, agentPeerMemory)),
		memorySum("declarations", "as at an entry", snapshotHeld, ""),
	}
}

// rowChanges are changes of one row a second: 170 failed engines a day with two slots each, three writes a slot.
const rowChanges = hostFailures * slotsPerEngine * 3 / targetModels / 86400

// todayAtTable is what today's form asks of the table.
func todayAtTable() []sum {
	const claimShare = 0.01
	return []sum{
		{what: "polls of declarations and rows", formula: "4 reads/s × 1,200 entries", value: entryReads * targetNodes,
			limit: limitReads, unit: readsPerSecond, upTo: entriesUpTo(limitReads, entryReads)},
		{what: "edits", formula: "12,000 a day × 1 write", value: changesPerSec, limit: limitWrites, unit: writesPerSec},
		{what: "an edit taken in by all", formula: "12,000 a day × 1,200 lists", value: changesPerSec * targetNodes,
			limit: limitReads, unit: readsPerSecond},
		{what: "grants after 170 failures a day", formula: "170 × 2 slots × 3 writes", value: rowChanges * targetModels,
			limit: limitWrites, unit: writesPerSec},
		{what: "agents that start", formula: "770 a day × 1 write", value: (hostFailures + hostRestarts) / 86400,
			limit: limitWrites, unit: writesPerSec},
		{what: "claims, if 1 request in 100 needs one", formula: "1,100/s × 2 writes", value: claimShare * targetRequests * claimWrites,
			limit: limitWrites, unit: writesPerSec, upTo: "up to " + number(limitWrites/claimWrites) + " claims/s"},
	}
}

// The scaled form: each agent has homes of its own failure domain, each domain two readers, and entries hold connections
// to a few engines of each model only.
const (
	homes            = 2.0
	readersPerDomain = 2.0
	heartbeatEvery   = 4.0
	subset           = 8.0
	// fanOut is how many entries of its domain an entry passes changes on to, down from the domain's readers.
	fanOut     = 6.0
	homeAgents = targetEngines * homes / targetNodes
	readers    = readersPerDomain * targetDomains
	// stateChanges are changes of replicas and adapters a second over the fleet: 195 wakes and sleeps an hour with two steps
	// at two engines each, and two slots with two steps each for every host that goes or comes.
	stateChanges = (targetModels+targetAdapters)*targetTurnover*4/3600 + engineChanges*4
	changeWire   = 60.0
	// engineDigest is what a decider keeps of an engine: its labels, memory and reachability.
	engineDigest = 400.0
)

// scaledAtEntry is what the scaled form would cost an entry that is also a reader of its domain.
func scaledAtEntry() []sum {
	const (
		message   = trialMessageWire
		edit      = message + 172
		change    = message + changeWire
		toHomes   = homeAgents * 2 * message / heartbeatEvery
		edits     = homeAgents * changesPerSec * edit
		passed    = fanOut * (changesPerSec*edit + stateChanges*change)
		taken     = changesPerSec*edit + stateChanges*change
		others    = stateChanges / targetDomains * (targetDomains - 1) * change
		perSecond = homeAgents*2/heartbeatEvery + (homeAgents+fanOut+1)*changesPerSec + (fanOut+2)*stateChanges
	)
	return []sum{
		bytesSum("heartbeats of 16.7 home agents, each way every 4 s", "16.7 × 2 × 113 B ÷ 4 s", toHomes, ""),
		bytesSum("edits to home agents", "16.7 × 0.139/s × 285 B", edits, ""),
		bytesSum("edits and changes of replicas taken in", "0.139/s × 285 B + 0.32/s × 173 B", taken, ""),
		bytesSum("the same passed on to 6 entries of its domain", "6 × (0.139/s × 285 B + 0.32/s × 173 B)", passed, ""),
		bytesSum("its domain's changes to the readers of the others", "0.32/s ÷ 35 × 34 × 173 B", others, ""),
		bytesSum("**all of these**", "sum", toHomes+edits+taken+passed+others, ""),
		cpuSum("messages of all of these", "14.9/s × 185 µs", perSecond*(entryPeerCPU+reportCPU), ""),
		cpuSum("choices by index", "91.7/s × 3 × 0.4 µs", requestsPerNode*3*indexCPU, ""),
		cpuSum("decisions", "1.7 µs × 10,000 × 0.027/s", decisionEngineCPU*targetEngines*engineChanges, ""),
		memorySum("declarations, rows, digests of engines", "6.22 + 3.6 MB + 10,000 × 400 B", snapshotHeld+rowsHeld+engineDigest*targetEngines, ""),
		memorySum("connections to engines in use and to home agents", "25 MB + (8 × 51 + 16.7) × 93 kB",
			entryBaseMemory+(subset*targetModels+homeAgents)*entryPeerMemory, ""),
	}
}

// scaledAtAgent is what the scaled form would cost an agent.
func scaledAtAgent() []sum {
	connections := targetNodes * subset * targetModels / targetEngines
	return []sum{
		bytesSum("two homes", "2 × (2 × 113 B ÷ 4 s + 0.139/s × 285 B)", homes*(2*trialMessageWire/heartbeatEvery+changesPerSec*(trialMessageWire+172)), ""),
		memorySum("49 connections with requests, two homes", "23 MB + 51 × 87 kB", agentBaseMemory+(connections+homes)*agentPeerMemory, ""),
	}
}

// scaledAtTable is what the scaled form would ask of the table.
func scaledAtTable() []sum {
	return []sum{
		{what: "polls", formula: "4 reads/s × 70 readers", value: entryReads * readers, limit: limitReads, unit: readsPerSecond},
		{what: "an edit taken in", formula: "0.139/s × 70 lists", value: changesPerSec * readers, limit: limitReads, unit: readsPerSecond},
		{what: "claims in batches of 32", formula: "1,100/s × 2 ÷ 32", value: 0.01 * targetRequests * claimWrites / 32,
			limit: limitWrites, unit: writesPerSec, upTo: ""},
	}
}

// lookup is the related paper's two-tier form with our bytes: S = c_s M + c_p N / M.
func lookup() []sum {
	held := func(m float64) float64 { return entryPeerMemory*m + viewHeld*targetEngines/m }
	best := math.Sqrt(viewHeld * targetEngines / entryPeerMemory)
	rate := func(m float64) float64 { return 2 * targetRequests / m }
	return []sum{
		memorySum("full knowledge, c_p N", "3,738 B × 10,000", viewHeld*targetEngines, ""),
		memorySum("two tiers, M = 70", "93 kB × 70 + 3,738 B × 10,000 ÷ 70", held(70), ""),
		memorySum("two tiers, best M = "+number(math.Round(best)), "2 √(93 kB × 3,738 B × 10,000)", held(best), ""),
		cpuSum("a lookup for each request, M = 70", "2 × 110,000/s ÷ 70 × 45 µs", rate(70)*reportCPU,
			"needs M of at least "+number(math.Ceil(2*targetRequests*reportCPU/limitCPU))),
	}
}

// failures is the arithmetic of failures.
func failures() []sum {
	const domainEngines = 1.0 * targetEngines / targetDomains
	const regionEngines = 1.0 * targetEngines / targetRegions
	const storeLoads = 5.0
	return []sum{
		{what: "one host of 170 a day fails: writes", formula: "2 slots × 3", value: slotsPerEngine * 3, unit: "writes"},
		{what: "a rack of 16: writes", formula: "32 slots × 3", value: 16 * slotsPerEngine * 3, unit: "writes"},
		{what: "a failure domain: engines", formula: "10,000 ÷ 35", value: domainEngines, unit: "engines"},
		{what: "a failure domain: the decision", formula: "measured at 10,000 engines", value: domainDecisionCPU, unit: seconds},
		{what: "a failure domain: writes", formula: "51 rows × 3", value: targetModels * 3, unit: "writes"},
		{what: "a failure domain: writes take at 50 a second", formula: "153 ÷ 50", value: targetModels * 3 / 50.0, unit: seconds},
		{what: "a failure domain: loads lost", formula: "286 × 2", value: domainEngines * slotsPerEngine, unit: "loads"},
		{what: "a failure domain: loads anew at the store's 5 a second", formula: "571 ÷ 5", value: domainEngines * slotsPerEngine / storeLoads, unit: seconds},
		{what: "a region cut for an hour: revisions missed", formula: "12,000 ÷ 24", value: targetChanges / 24, unit: "revisions"},
		{what: "a region cut for an hour: bytes to each agent afterwards", formula: "500 × 142 B", value: targetChanges / 24 * 142, unit: "B"},
		{what: "a region cut for an hour: engines silent to the others", formula: "10,000 ÷ 10", value: regionEngines, unit: "engines"},
		{what: "all entries restart, today's form: connections", formula: "1,200 × 10,000", value: targetNodes * targetEngines, unit: "connections"},
		{what: "all entries restart, today's form: processor time an entry", formula: "10,000 × 0.37 ms", value: targetEngines * connectCPU, unit: seconds},
		{what: "all entries restart: reads of the table", formula: "1,200 × 4", value: targetNodes * 4, unit: "reads"},
		{what: "all entries restart: reads take at 2,000 a second", formula: "4,800 ÷ 2,000", value: targetNodes * 4 / limitReads, unit: seconds},
		{what: "all entries restart, scaled form: connections to homes", formula: "10,000 × 2", value: targetEngines * homes, unit: "connections"},
		{what: "an agent that holds nothing: a snapshot", formula: "51 × 142 B + 2,700 × 85 B + 10,000 × 55 B", value: snapshotWire / 1e6, unit: megabytes},
		{what: "an agent that holds nothing: time to take it in", formula: "12,751 × 4 µs", value: (targetModels + targetAdapters + targetEngines) * objectCPU, unit: seconds},
	}
}

// tables are the tables of the page.
var tables = []struct {
	title string
	rows  func() []sum
}{
	{"Today's form, an entry", todayAtEntry},
	{"Today's form, an agent", todayAtAgent},
	{"Today's form, the table", todayAtTable},
	{"Scaled form, an entry", scaledAtEntry},
	{"Scaled form, an agent", scaledAtAgent},
	{"Scaled form, the table", scaledAtTable},
	{"Two-tier lookup", lookup},
	{"Failures", failures},
}

// page is the page that holds the tables.
const page = "../../docs/CAPACITY.md"

// The page's figures follow from the slopes above. A slope that is measured anew and not worked into the page would leave
// its sums, and what it says of the limits, wrong. Run with -v for the tables.
func TestSums(t *testing.T) {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	for _, table := range tables {
		var lines strings.Builder
		for _, s := range table.rows() {
			fmt.Fprintln(&lines, s)
			if !strings.Contains(string(text), s.String()) {
				t.Errorf("%s: the page lacks %q", table.title, s)
			}
		}
		t.Logf("%s\n%s", table.title, lines.String())
	}
}
