package watch

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// Guards against odd rows that fill the log: one that is read again and again, or overwritten each second, or very many of them.
func TestOddRowsAreLoggedOnceAndCounted(t *testing.T) {
	var log bytes.Buffer
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	o := NewOddRows("t", "odd", metrics, slog.New(slog.NewTextHandler(&log, nil)))
	now, reason := time.Unix(1000, 0), errors.New("slots: 7")
	lines := func() int { n := strings.Count(log.String(), "event=odd"); log.Reset(); return n }
	for range 50 {
		o.Record(now, Row{Key: "a", Revision: 1}, reason)
		now = now.Add(5 * time.Second)
	}
	if n := lines(); n != 1 {
		t.Errorf("%d lines on a row that is read again and again, want 1", n)
	}
	for i := range 120 {
		o.Record(now, Row{Key: "b", Revision: int64(2 + i)}, reason)
		now = now.Add(time.Second)
	}
	if n := lines(); n != 2 {
		t.Errorf("%d lines on a row that is overwritten each second for two minutes, want 2", n)
	}
	for i := range 10 * maxOddRows {
		o.Record(now, Row{Key: fmt.Sprint(i), Revision: 500}, reason)
	}
	if n := lines(); n > maxOddRows || len(o.logged) > maxOddRows {
		t.Errorf("%d lines and %d keys on %d rows, want at most %d", n, len(o.logged), 10*maxOddRows, maxOddRows)
	}
	if n := testutil.ToFloat64(metrics.oddRows.WithLabelValues("t")); n != 50+120+10*maxOddRows {
		t.Errorf("%v odd rows counted", n)
	}
}
