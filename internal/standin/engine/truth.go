package engine

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/standin/control"
)

// HistoryKind is the kind of a change to an engine's memory.
type HistoryKind string

// The kinds of a HistoryEntry.
const (
	HistoryLoadStarted     HistoryKind = "load_started"
	HistoryLoaded          HistoryKind = "loaded"
	HistoryLoadFailed      HistoryKind = "load_failed"
	HistoryUnloadStarted   HistoryKind = "unload_started"
	HistoryUnloaded        HistoryKind = "unloaded"
	HistoryAdapterStarted  HistoryKind = "adapter_started"
	HistoryAdapterLoaded   HistoryKind = "adapter_loaded"
	HistoryAdapterFailed   HistoryKind = "adapter_failed"
	HistoryAdapterUnloaded HistoryKind = "adapter_unloaded"
	HistoryOvercommitted   HistoryKind = "overcommitted"
	HistoryRestarted       HistoryKind = "restarted"
)

// HistoryEntry is one change to the models and adapters in an engine's memory.
type HistoryEntry struct {
	At           time.Time   `json:"at"`
	Kind         HistoryKind `json:"kind"`
	Model        string      `json:"model,omitempty"`
	Adapter      string      `json:"adapter,omitempty"`
	Order        string      `json:"order,omitempty"`
	FencingToken uint64      `json:"fence,omitempty"`
	// UsedBytes is the memory in use after the change.
	UsedBytes int64 `json:"used_bytes"`
}

// Outcome is how a request ended at the engine.
type Outcome string

// The outcomes of a request.
const (
	OutcomeDone      Outcome = "done"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeCut       Outcome = "cut"
)

// RequestEntry is one request that the engine admitted to the batch.
type RequestEntry struct {
	ID      string    `json:"id"`
	Model   string    `json:"model"`
	Begun   time.Time `json:"begun"`
	Tokens  int       `json:"tokens"`
	Outcome Outcome   `json:"outcome"`
}

// Truth is what really happened at the engine, over all its incarnations, independent of what it reported.
type Truth struct {
	History []HistoryEntry `json:"history"`
	// Requests are the latest that ended, oldest first.
	Requests   []RequestEntry `json:"requests"`
	MemoryPeak int64          `json:"memory_peak_bytes"`
	// Overcommits counts the loads that were attempted beyond the memory, NoMemory those that were rejected for lack of it.
	Overcommits int `json:"overcommits"`
	NoMemory    int `json:"no_memory"`
	// OldFences counts the orders that carried an old fencing token.
	OldFences    int `json:"old_fences"`
	Unauthorized int `json:"unauthorized"`
	// CutByUnload counts the requests that were cut off by an unload.
	CutByUnload int `json:"cut_by_unload"`
	PeakRunning int `json:"peak_running"`
	PeakWaiting int `json:"peak_waiting"`
	Done        int `json:"done"`
	Cancelled   int `json:"cancelled"`
	Cut         int `json:"cut"`
	Refused     int `json:"refused"`
}

// maxTruthEntries bounds each list in Truth: at twice this length the older half is dropped.
const maxTruthEntries = 1 << 16

// Truth returns a copy of what really happened so far.
func (s *Server) Truth() Truth {
	s.mu.Lock()
	defer s.mu.Unlock()
	truth := s.truth
	truth.History = slices.Clone(truth.History)
	truth.Requests = slices.Clone(truth.Requests)
	return truth
}

// recordHistory adds an entry to the history. The caller holds mu.
func (s *Server) recordHistory(kind HistoryKind, order endpoint.Order) {
	s.truth.History = appendBounded(s.truth.History, HistoryEntry{
		At:           s.clock.Now(),
		Kind:         kind,
		Model:        order.Model,
		Adapter:      order.Adapter,
		Order:        order.ID,
		FencingToken: order.FencingToken,
		UsedBytes:    s.process.usedBytes(),
	})
}

// appendBounded appends an entry. If the list has twice maxTruthEntries it first drops the older half.
func appendBounded[T any](list []T, entry T) []T {
	if len(list) >= 2*maxTruthEntries {
		list = slices.Clone(list[maxTruthEntries:])
	}
	return append(list, entry)
}

// reportHistory keeps the load reports of the last lag, so that reports can be served with a delay.
type reportHistory struct {
	lag     time.Duration
	reports []endpoint.LoadReport
}

func (h *reportHistory) add(report endpoint.LoadReport) {
	h.reports = append(h.reports, report)
	h.trim(report.ReportedAt)
}

// trim drops all reports before the newest one that is at least lag old.
func (h *reportHistory) trim(now time.Time) {
	for len(h.reports) > 1 && !h.reports[1].ReportedAt.After(now.Add(-h.lag)) {
		h.reports = h.reports[1:]
	}
}

// report returns the load as it was lag ago. The caller holds the server's mu.
func (p *process) report(now time.Time) endpoint.LoadReport {
	at := now.Add(-p.reports.lag)
	p.reports.trim(now)
	report := endpoint.LoadReport{}
	if len(p.reports.reports) > 0 && !p.reports.reports[0].ReportedAt.After(at) {
		report = p.reports.reports[0]
	}
	report.ReportedAt = at
	return report
}

// recordLoad records the present load. The caller holds mu.
func (s *Server) recordLoad(p *process) {
	running, waiting := p.queue.running, p.queue.waiting()
	s.truth.PeakRunning = max(s.truth.PeakRunning, running)
	s.truth.PeakWaiting = max(s.truth.PeakWaiting, waiting)
	p.reports.add(endpoint.LoadReport{
		Running:    running,
		Waiting:    waiting,
		KVUsed:     float64(running) / float64(s.options.MaxRunning),
		ReportedAt: s.clock.Now(),
	})
}

// prefixSeparator separates model and prefix in the keys of the prefix cache; model names do not contain it.
const prefixSeparator = "\x00"

// touchPrefix reports whether a prompt's prefix is in the cache, and adds it if not. The caller holds mu.
func (s *Server) touchPrefix(p *process, modelName, prefix string) (hit bool) {
	key := modelName + prefixSeparator + prefix
	hit = p.prefixes.has(key)
	evicted := p.prefixes.touch(key, 1)
	if !hit {
		s.publish(p, endpoint.PrefixStored, modelName, prefix)
	}
	for _, old := range evicted {
		oldModel, oldPrefix, _ := strings.Cut(old, prefixSeparator)
		s.publish(p, endpoint.PrefixRemoved, oldModel, oldPrefix)
	}
	return hit
}

// maxEvents bounds the number of cache events that are kept for readers.
const maxEvents = 4096

func (s *Server) publish(p *process, kind endpoint.CacheEventKind, modelName, prefix string) {
	p.lastEvent++
	if s.faults.Hit(func(f *Faults) *control.Chance { return &f.DropEvents }) {
		return
	}
	event := endpoint.CacheEvent{
		Sequence: p.lastEvent, Kind: kind, Model: modelName, Prefix: prefix, At: s.clock.Now(),
	}
	p.cacheEvents = append(p.cacheEvents, event)
	if len(p.cacheEvents) > maxEvents {
		p.cacheEvents = p.cacheEvents[1:]
	}
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		control.WriteError(w, http.StatusBadRequest, endpoint.CodeInvalid, "after is not a sequence number")
		return
	}
	s.serveDocument(func(p *process) any {
		until := s.clock.Now().Add(-s.options.EventLag)
		answer := endpoint.CacheEvents{Incarnation: p.incarnation, Events: []endpoint.CacheEvent{}}
		for _, event := range p.cacheEvents {
			if event.Sequence > after && !event.At.After(until) {
				answer.Events = append(answer.Events, event)
			}
		}
		return answer
	})(w, r)
}
