package gateway

import (
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// ordinaryLines and troubledLines are how many lines a second are written on requests that were answered in good order, and
	// on all others. A line has 394 bytes and costs 4 us (BenchmarkLine). Today's gateways get some 20 requests a second, so that
	// nothing is left out; whatever comes, the log stays under 240 kB and 3 ms of processor time a second.
	ordinaryLines = 200
	troubledLines = 400
	// lineBurst is for how many seconds unused lines are saved up.
	lineBurst = 2
)

// requestLog writes lines on requests within a budget, so that a flood of requests costs lines and not processor time that
// requests need. What is left out is counted, and said at most once a second.
type requestLog struct {
	logger  *slog.Logger
	metrics *Metrics

	mu       sync.Mutex
	ordinary *rate.Limiter
	troubled *rate.Limiter
	leftOut  int
	saidAt   time.Time
}

func newRequestLog(logger *slog.Logger, metrics *Metrics) *requestLog {
	return &requestLog{
		logger: logger, metrics: metrics,
		ordinary: rate.NewLimiter(ordinaryLines, lineBurst*ordinaryLines), troubled: rate.NewLimiter(troubledLines, lineBurst*troubledLines),
	}
}

// line writes one line. Those on requests in trouble have a budget of their own: they are what is looked for later.
func (l *requestLog) line(now time.Time, trouble bool, message string, fields ...any) {
	l.mu.Lock()
	budget := l.ordinary
	if trouble {
		budget = l.troubled
	}
	allowed := budget.AllowN(now, 1)
	said := 0
	if !allowed {
		l.leftOut++
		l.metrics.unlogged.Inc()
	}
	if l.leftOut > 0 && now.Sub(l.saidAt) >= time.Second {
		said, l.leftOut, l.saidAt = l.leftOut, 0, now
	}
	l.mu.Unlock()
	if allowed {
		l.logger.Info(message, fields...)
	}
	if said > 0 {
		l.logger.Warn("lines on requests left out", "event", "log_reduced", "lines", said)
	}
}
