package watch

import (
	"log/slog"
	"time"
)

const (
	// oddRowInterval is the time between two log lines on one key, whose row another writer may overwrite again and again.
	oddRowInterval = time.Minute
	// maxOddRows bounds the keys that are remembered. While there are as many, further odd rows are counted only.
	maxOddRows = 1000
)

// OddRows counts the rows of a table that cannot be used, and logs each of them once. It is not safe for concurrent use.
type OddRows struct {
	table, event string
	metrics      *Metrics
	logger       *slog.Logger
	logged       map[string]loggedRow
}

// loggedRow is the last row under a key that was logged.
type loggedRow struct {
	revision int64
	at       time.Time
}

// NewOddRows returns the record of a table's odd rows, which are logged with the given event. Metrics may be nil.
func NewOddRows(table, event string, metrics *Metrics, logger *slog.Logger) *OddRows {
	return &OddRows{table: table, event: event, metrics: metrics, logger: logger, logged: make(map[string]loggedRow)}
}

// Record records that a row cannot be used, and why.
func (o *OddRows) Record(now time.Time, row Row, err error) {
	o.metrics.recordOddRow(o.table)
	last, known := o.logged[row.Key]
	if known && (last.revision == row.Revision || now.Sub(last.at) < oddRowInterval) || !known && !o.hasRoom(now) {
		return
	}
	o.logged[row.Key] = loggedRow{row.Revision, now}
	o.logger.Error("row cannot be used; it is ignored", "event", o.event, "table", o.table, "key", row.Key, "revision", row.Revision, "bytes", len(row.Value), "error", err)
}

// hasRoom reports whether another key can be remembered, after it has forgotten those logged before oddRowInterval if there are too many.
func (o *OddRows) hasRoom(now time.Time) bool {
	if len(o.logged) < maxOddRows {
		return true
	}
	for key, l := range o.logged {
		if now.Sub(l.at) >= oddRowInterval {
			delete(o.logged, key)
		}
	}
	return len(o.logged) < maxOddRows
}
