package capacity

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
)

// The measured slopes, in bytes, seconds of CPU time, and per second. docs/CAPACITY.md names the run of each.
const (
	// An idle connection between an entry and an agent: bytes per second on the wire with headers, CPU time per second and
	// resident memory at the entry and at the agent.
	peerWireRate    = 500.0
	entryPeerCPU    = 140e-6
	agentPeerCPU    = 155e-6
	entryPeerMemory = 93e3
	agentPeerMemory = 87e3
	// snapshotPeerMemory is an entry's memory for each agent to which it has sent a snapshot.
	snapshotPeerMemory = 0.75e6
	// Processes without peers.
	entryBaseMemory = 25e6
	agentBaseMemory = 23e6
	// Applying a report at an entry, in addition to the heartbeat.
	reportCPU = 45e-6
	// Connecting to an agent that already has the declarations.
	connectCPU = 0.37e-3
	// Declarations, per object: bytes in a snapshot, memory, and CPU time to apply it.
	modelWireBytes, adapterWireBytes, engineWireBytes = 142.0, 85.0, 55.0
	modelMemory, adapterMemory, engineMemory          = 827.0, 537.0, 473.0
	objectCPU                                         = 4e-6
	// An edit: bytes of its delta, CPU time at an entry, and the additional CPU time for each agent.
	deltaWireBytes = 390.0
	editCPU        = 2.2e-3
	editPeerCPU    = 39e-6
	// Grants: bytes and memory of a slot in a row, CPU time of a decision per engine, and CPU time of the decision after
	// the loss of a failure domain.
	slotWireBytes, slotMemory = 53.0, 180.0
	decisionEngineCPU         = 1.7e-6
	domainDecisionCPU         = 0.158
	// An endpoint: memory in an entry's view, and JSON bytes in the host list.
	viewMemory    = 3738.0
	hostListBytes = 146.0
	// Routing: looking up all slots of a row takes slotPairCPU times the square of the number of slots. scanCPU is the cost
	// of a pick by scan per candidate, indexCPU that of a pick by index.
	slotPairCPU = 2.9e-9
	// candidateCPU is the additional CPU time of a request at an entry for each slot of its model, including the lookups in
	// the row.
	candidateCPU = 6.7e-6
	scanCPU      = 16.5e-9
	indexCPU     = 0.4e-6
	// A timeline event: CPU time to record it, and memory.
	eventCPU, eventMemory = 0.75e-6, 190.0
	// Table reads per second of an entry, and table writes of one idempotency claim.
	entryReadRate = 4.0
	claimWrites   = 2.0
	// messageWireBytes is the size of a small message and its acknowledgement if header and body are sent in one segment
	// and yamux sends no keep-alives. It comes from a trial, not from the current code.
	messageWireBytes = 113.0
)

// Values derived from the target size.
const (
	requestsPerNode   = targetRequests / targetNodes
	slotsPerModel     = targetEngines * slotsPerEngine / targetModels
	editsPerSecond    = targetEdits / 86400
	snapshotWireBytes = targetModels*modelWireBytes + targetAdapters*adapterWireBytes + targetEngines*engineWireBytes
	snapshotMemory    = targetModels*modelMemory + targetAdapters*adapterMemory + targetEngines*engineMemory
	rowsMemory        = targetEngines * slotsPerEngine * slotMemory
	// eventsPerRequest is the number of timeline events that an entry records for a request.
	eventsPerRequest = 5.0
)

// estimate is one row of a table in docs/CAPACITY.md.
type estimate struct {
	name, formula string
	value, limit  float64
	unit          string
	// scalesTo is the size up to which the limit holds; empty if it holds at the target size.
	scalesTo string
}

func (s estimate) String() string {
	if s.limit == 0 {
		return fmt.Sprintf("| %s | %s | %s %s |", s.name, s.formula, formatNumber(s.value), s.unit)
	}
	verdict := "holds"
	if s.value > s.limit {
		verdict = s.scalesTo
	}
	return fmt.Sprintf("| %s | %s | %s %s | %s %s | %s |", s.name, s.formula, formatNumber(s.value), s.unit, formatNumber(s.limit), s.unit, verdict)
}

// formatNumber formats a value with three significant digits.
func formatNumber(v float64) string {
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
	return groupThousands(text)
}

// groupThousands inserts commas between groups of three digits.
func groupThousands(text string) string {
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
	bytesPerSecond  = "B/s"
	percent         = "% of a core"
	megabytes       = "MB"
	readsPerSecond  = "reads/s"
	writesPerSecond = "writes/s"
	seconds         = "s"
)

func bytesEstimate(name, formula string, value float64, scalesTo string) estimate {
	return estimate{name: name, formula: formula, value: value, limit: limitBytes, unit: bytesPerSecond, scalesTo: scalesTo}
}

func cpuEstimate(name, formula string, value float64, scalesTo string) estimate {
	return estimate{name: name, formula: formula, value: 100 * value, limit: 100 * limitCPU, unit: percent, scalesTo: scalesTo}
}

func memoryEstimate(name, formula string, value float64, scalesTo string) estimate {
	return estimate{name: name, formula: formula, value: value / 1e6, limit: limitMemory / 1e6, unit: megabytes, scalesTo: scalesTo}
}

// agentsUpTo returns the number of agents per entry at which a cost per agent reaches a limit, as text for scalesTo.
func agentsUpTo(limit, each float64) string {
	return "up to " + formatNumber(math.Floor(limit/each)) + " agents"
}

func entriesUpTo(limit, each float64) string {
	return "up to " + formatNumber(math.Floor(limit/each)) + " entries"
}

// currentEntry estimates the cost of the current design to each entry if it is connected to every agent.
func currentEntry() []estimate {
	return []estimate{
		bytesEstimate("control streams, idle", "500 B/s × 10,000 agents", peerWireRate*targetEngines, agentsUpTo(limitBytes, peerWireRate)),
		bytesEstimate("edits pushed", "390 B × 0.139/s × 10,000 agents", deltaWireBytes*editsPerSecond*targetEngines,
			agentsUpTo(limitBytes, deltaWireBytes*editsPerSecond)),
		bytesEstimate("host list, once a second", "146 B × 11,200 hosts", hostListBytes*(targetEngines+targetNodes),
			"up to "+formatNumber(math.Floor(limitBytes/hostListBytes))+" hosts"),
		cpuEstimate("control streams, idle", "140 µs/s × 10,000 agents", entryPeerCPU*targetEngines, agentsUpTo(limitCPU, entryPeerCPU)),
		cpuEstimate("edits pushed", "(2.2 ms + 39 µs × 10,000) × 0.139/s", (editCPU+editPeerCPU*targetEngines)*editsPerSecond,
			agentsUpTo(limitCPU/editsPerSecond-editCPU, editPeerCPU)),
		cpuEstimate("slots of a row, three looks a request", "3 × 2.9 ns × 392² × 91.7/s", 3*slotPairCPU*slotsPerModel*slotsPerModel*requestsPerNode,
			"up to "+formatNumber(math.Floor(math.Sqrt(limitCPU/(3*slotPairCPU*requestsPerNode))))+" slots a model"),
		cpuEstimate("candidates listed anew for each request, all of it", "6.7 µs × 392 × 91.7/s", candidateCPU*slotsPerModel*requestsPerNode,
			"up to "+formatNumber(math.Floor(limitCPU/(candidateCPU*requestsPerNode)))+" slots a model"),
		cpuEstimate("the choice alone, by scan", "3 × 16.5 ns × 392 × 91.7/s", 3*scanCPU*slotsPerModel*requestsPerNode, ""),
		cpuEstimate("decisions, 0.027 changes of engines a second", "1.7 µs × 10,000 × 0.027/s",
			decisionEngineCPU*targetEngines*engineChangesPerSecond, ""),
		cpuEstimate("time line", "0.75 µs × 5 events × 91.7/s", eventCPU*eventsPerRequest*requestsPerNode, ""),
		memoryEstimate("connections and view", "25 MB + 93 kB × 10,000 agents", entryBaseMemory+entryPeerMemory*targetEngines,
			agentsUpTo(limitMemory-entryBaseMemory, entryPeerMemory)),
		memoryEstimate("the same after a snapshot to each", "25 MB + 0.75 MB × 10,000 agents", entryBaseMemory+snapshotPeerMemory*targetEngines,
			agentsUpTo(limitMemory-entryBaseMemory, snapshotPeerMemory)),
		memoryEstimate("declarations", "51 × 827 B + 2,700 × 537 B + 10,000 × 473 B", snapshotMemory, ""),
		memoryEstimate("rows of grants", "20,000 slots × 180 B", rowsMemory, ""),
		memoryEstimate("time line", "8,192 events × 190 B", 8192*eventMemory, ""),
	}
}

// engineChangesPerSecond is the rate of changes in the state of engines. A host that fails, restarts or is replaced leaves
// and joins again, which is counted as three changes per failure or restart.
const engineChangesPerSecond = (dailyHostFailures + dailyHostRestarts) * 3 / 86400

// currentAgent estimates the cost of the current design to each agent if every entry is connected to it.
func currentAgent() []estimate {
	return []estimate{
		bytesEstimate("control streams, idle", "500 B/s × 1,200 entries", peerWireRate*targetNodes, entriesUpTo(limitBytes, peerWireRate)),
		bytesEstimate("edits received", "390 B × 0.139/s × 1,200 entries", deltaWireBytes*editsPerSecond*targetNodes,
			entriesUpTo(limitBytes, deltaWireBytes*editsPerSecond)),
		bytesEstimate("rows received, whole, 20 changes of each row a day", "2 × 20.8 kB × 20/day × 1,200 entries",
			slotsPerEngine*slotWireBytes*slotsPerModel*rowChangesPerSecond*targetNodes, entriesUpTo(limitBytes, slotsPerEngine*slotWireBytes*slotsPerModel*rowChangesPerSecond)),
		cpuEstimate("control streams, idle", "155 µs/s × 1,200 entries", agentPeerCPU*targetNodes, entriesUpTo(limitCPU, agentPeerCPU)),
		memoryEstimate("connections", "23 MB + 87 kB × 1,200 entries", agentBaseMemory+agentPeerMemory*targetNodes, entriesUpTo(limitMemory-agentBaseMemory, agentPeerMemory)),
		memoryEstimate("declarations", "as at an entry", snapshotMemory, ""),
	}
}

// rowChangesPerSecond is the rate of changes of one row: 170 failed engines per day with two slots each and three writes
// per slot.
const rowChangesPerSecond = dailyHostFailures * slotsPerEngine * 3 / targetModels / 86400

// currentTable estimates the load of the current design on the table.
func currentTable() []estimate {
	const claimShare = 0.01
	return []estimate{
		{name: "polls of declarations and rows", formula: "4 reads/s × 1,200 entries", value: entryReadRate * targetNodes,
			limit: limitReads, unit: readsPerSecond, scalesTo: entriesUpTo(limitReads, entryReadRate)},
		{name: "edits", formula: "12,000 a day × 1 write", value: editsPerSecond, limit: limitWrites, unit: writesPerSecond},
		{name: "an edit taken in by all", formula: "12,000 a day × 1,200 lists", value: editsPerSecond * targetNodes,
			limit: limitReads, unit: readsPerSecond},
		{name: "grants after 170 failures a day", formula: "170 × 2 slots × 3 writes", value: rowChangesPerSecond * targetModels,
			limit: limitWrites, unit: writesPerSecond},
		{name: "agents that start", formula: "770 a day × 1 write", value: (dailyHostFailures + dailyHostRestarts) / 86400,
			limit: limitWrites, unit: writesPerSecond},
		{name: "claims, if 1 request in 100 needs one", formula: "1,100/s × 2 writes", value: claimShare * targetRequests * claimWrites,
			limit: limitWrites, unit: writesPerSecond, scalesTo: "up to " + formatNumber(limitWrites/claimWrites) + " claims/s"},
	}
}

// The scaled design: each agent connects to a few home entries in its failure domain, two entries per domain read the
// table, and entries keep connections to only a few engines of each model.
const (
	homesPerAgent          = 2.0
	readersPerDomain       = 2.0
	scaledHeartbeatSeconds = 4.0
	enginesPerModel        = 8.0
	// fanOut is the number of entries in its domain to which an entry forwards changes, starting at the domain's readers.
	fanOut        = 6.0
	agentsPerHome = targetEngines * homesPerAgent / targetNodes
	totalReaders  = readersPerDomain * targetDomains
	// stateChangesPerSecond is the rate of changes of replicas and adapters in the whole fleet: 195 loads and unloads per
	// hour with two steps at two engines each, and two slots with two steps each for every host that leaves or joins.
	stateChangesPerSecond = (targetModels+targetAdapters)*targetTurnover*4/3600 + engineChangesPerSecond*4
	changeWireBytes       = 60.0
	// engineDigestMemory is the memory of a decider's summary of an engine: its labels, memory and reachability.
	engineDigestMemory = 400.0
)

// scaledEntry estimates the cost of the scaled design to an entry that is also a reader of its domain.
func scaledEntry() []estimate {
	const (
		message        = messageWireBytes
		edit           = message + 172
		change         = message + changeWireBytes
		toHomes        = agentsPerHome * 2 * message / scaledHeartbeatSeconds
		edits          = agentsPerHome * editsPerSecond * edit
		forwarded      = fanOut * (editsPerSecond*edit + stateChangesPerSecond*change)
		received       = editsPerSecond*edit + stateChangesPerSecond*change
		toOtherDomains = stateChangesPerSecond / targetDomains * (targetDomains - 1) * change
		perSecond      = agentsPerHome*2/scaledHeartbeatSeconds + (agentsPerHome+fanOut+1)*editsPerSecond + (fanOut+2)*stateChangesPerSecond
	)
	return []estimate{
		bytesEstimate("heartbeats of 16.7 home agents, each way every 4 s", "16.7 × 2 × 113 B ÷ 4 s", toHomes, ""),
		bytesEstimate("edits to home agents", "16.7 × 0.139/s × 285 B", edits, ""),
		bytesEstimate("edits and changes of replicas taken in", "0.139/s × 285 B + 0.32/s × 173 B", received, ""),
		bytesEstimate("the same passed on to 6 entries of its domain", "6 × (0.139/s × 285 B + 0.32/s × 173 B)", forwarded, ""),
		bytesEstimate("its domain's changes to the readers of the others", "0.32/s ÷ 35 × 34 × 173 B", toOtherDomains, ""),
		bytesEstimate("**all of these**", "sum", toHomes+edits+received+forwarded+toOtherDomains, ""),
		cpuEstimate("messages of all of these", "14.9/s × 185 µs", perSecond*(entryPeerCPU+reportCPU), ""),
		cpuEstimate("choices by index", "91.7/s × 3 × 0.4 µs", requestsPerNode*3*indexCPU, ""),
		cpuEstimate("decisions", "1.7 µs × 10,000 × 0.027/s", decisionEngineCPU*targetEngines*engineChangesPerSecond, ""),
		memoryEstimate("declarations, rows, digests of engines", "6.22 + 3.6 MB + 10,000 × 400 B", snapshotMemory+rowsMemory+engineDigestMemory*targetEngines, ""),
		memoryEstimate("connections to engines in use and to home agents", "25 MB + (8 × 51 + 16.7) × 93 kB",
			entryBaseMemory+(enginesPerModel*targetModels+agentsPerHome)*entryPeerMemory, ""),
	}
}

// scaledAgent estimates the cost of the scaled design to an agent.
func scaledAgent() []estimate {
	connections := targetNodes * enginesPerModel * targetModels / targetEngines
	return []estimate{
		bytesEstimate("two homes", "2 × (2 × 113 B ÷ 4 s + 0.139/s × 285 B)", homesPerAgent*(2*messageWireBytes/scaledHeartbeatSeconds+editsPerSecond*(messageWireBytes+172)), ""),
		memoryEstimate("49 connections with requests, two homes", "23 MB + 51 × 87 kB", agentBaseMemory+(connections+homesPerAgent)*agentPeerMemory, ""),
	}
}

// scaledTable estimates the load of the scaled design on the table.
func scaledTable() []estimate {
	return []estimate{
		{name: "polls", formula: "4 reads/s × 70 readers", value: entryReadRate * totalReaders, limit: limitReads, unit: readsPerSecond},
		{name: "an edit taken in", formula: "0.139/s × 70 lists", value: editsPerSecond * totalReaders, limit: limitReads, unit: readsPerSecond},
		{name: "claims in batches of 32", formula: "1,100/s × 2 ÷ 32", value: 0.01 * targetRequests * claimWrites / 32,
			limit: limitWrites, unit: writesPerSecond, scalesTo: ""},
	}
}

// twoTierLookup applies the two-tier design of the related paper, S = c_s M + c_p N / M, to the measured sizes.
func twoTierLookup() []estimate {
	memory := func(m float64) float64 { return entryPeerMemory*m + viewMemory*targetEngines/m }
	best := math.Sqrt(viewMemory * targetEngines / entryPeerMemory)
	rate := func(m float64) float64 { return 2 * targetRequests / m }
	return []estimate{
		memoryEstimate("full knowledge, c_p N", "3,738 B × 10,000", viewMemory*targetEngines, ""),
		memoryEstimate("two tiers, M = 70", "93 kB × 70 + 3,738 B × 10,000 ÷ 70", memory(70), ""),
		memoryEstimate("two tiers, best M = "+formatNumber(math.Round(best)), "2 √(93 kB × 3,738 B × 10,000)", memory(best), ""),
		cpuEstimate("a lookup for each request, M = 70", "2 × 110,000/s ÷ 70 × 45 µs", rate(70)*reportCPU,
			"needs M of at least "+formatNumber(math.Ceil(2*targetRequests*reportCPU/limitCPU))),
	}
}

// failures estimates the cost of failures and restarts.
func failures() []estimate {
	const domainEngines = 1.0 * targetEngines / targetDomains
	const regionEngines = 1.0 * targetEngines / targetRegions
	const storeLoads = 5.0
	return []estimate{
		{name: "one host of 170 a day fails: writes", formula: "2 slots × 3", value: slotsPerEngine * 3, unit: "writes"},
		{name: "a rack of 16: writes", formula: "32 slots × 3", value: 16 * slotsPerEngine * 3, unit: "writes"},
		{name: "a failure domain: engines", formula: "10,000 ÷ 35", value: domainEngines, unit: "engines"},
		{name: "a failure domain: the decision", formula: "measured at 10,000 engines", value: domainDecisionCPU, unit: seconds},
		{name: "a failure domain: writes", formula: "51 rows × 3", value: targetModels * 3, unit: "writes"},
		{name: "a failure domain: writes take at 50 a second", formula: "153 ÷ 50", value: targetModels * 3 / 50.0, unit: seconds},
		{name: "a failure domain: loads lost", formula: "286 × 2", value: domainEngines * slotsPerEngine, unit: "loads"},
		{name: "a failure domain: loads anew at the store's 5 a second", formula: "571 ÷ 5", value: domainEngines * slotsPerEngine / storeLoads, unit: seconds},
		{name: "a region cut for an hour: revisions missed", formula: "12,000 ÷ 24", value: targetEdits / 24, unit: "revisions"},
		{name: "a region cut for an hour: bytes to each agent afterwards", formula: "500 × 142 B", value: targetEdits / 24 * 142, unit: "B"},
		{name: "a region cut for an hour: engines silent to the others", formula: "10,000 ÷ 10", value: regionEngines, unit: "engines"},
		{name: "all entries restart, today's form: connections", formula: "1,200 × 10,000", value: targetNodes * targetEngines, unit: "connections"},
		{name: "all entries restart, today's form: processor time an entry", formula: "10,000 × 0.37 ms", value: targetEngines * connectCPU, unit: seconds},
		{name: "all entries restart: reads of the table", formula: "1,200 × 4", value: targetNodes * 4, unit: "reads"},
		{name: "all entries restart: reads take at 2,000 a second", formula: "4,800 ÷ 2,000", value: targetNodes * 4 / limitReads, unit: seconds},
		{name: "all entries restart, scaled form: connections to homes", formula: "10,000 × 2", value: targetEngines * homesPerAgent, unit: "connections"},
		{name: "an agent that holds nothing: a snapshot", formula: "51 × 142 B + 2,700 × 85 B + 10,000 × 55 B", value: snapshotWireBytes / 1e6, unit: megabytes},
		{name: "an agent that holds nothing: time to take it in", formula: "12,751 × 4 µs", value: (targetModels + targetAdapters + targetEngines) * objectCPU, unit: seconds},
	}
}

// tables lists the tables of docs/CAPACITY.md.
var tables = []struct {
	title string
	rows  func() []estimate
}{
	{"Today's form, an entry", currentEntry},
	{"Today's form, an agent", currentAgent},
	{"Today's form, the table", currentTable},
	{"Scaled form, an entry", scaledEntry},
	{"Scaled form, an agent", scaledAgent},
	{"Scaled form, the table", scaledTable},
	{"Two-tier lookup", twoTierLookup},
	{"Failures", failures},
}

// capacityPage is the path of the page that contains the tables.
const capacityPage = "../../docs/CAPACITY.md"

// TestSums checks that docs/CAPACITY.md contains the tables computed from the slopes above. It guards against a slope that
// changes without an update of the page, whose estimates and limits would then be wrong. Run it with -v to log the tables.
func TestSums(t *testing.T) {
	text, err := os.ReadFile(capacityPage)
	if err != nil {
		t.Fatal(err)
	}
	for _, table := range tables {
		var lines strings.Builder
		for _, s := range table.rows() {
			fmt.Fprintln(&lines, s)
			if !strings.Contains(string(text), s.String()) {
				t.Errorf("%s: docs/CAPACITY.md does not contain %q", table.title, s)
			}
		}
		t.Logf("%s\n%s", table.title, lines.String())
	}
}
