package gateway

import (
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// ordinaryLinesPerSecond bounds the log lines on requests that succeeded at the first attempt, and
	// problemLinesPerSecond those on all others. A line has 394 bytes and costs 4 us (BenchmarkLine). At the usual 20
	// requests a second per gateway nothing is dropped; under any load the log stays below 240 kB and 3 ms of processor
	// time a second.
	ordinaryLinesPerSecond = 200
	problemLinesPerSecond  = 400
	// lineBurstSeconds is the number of seconds for which unused lines are saved up.
	lineBurstSeconds = 2
)

// requestLog writes rate-limited log lines on requests, so that a flood of requests drops log lines instead of taking
// the processor time that requests need. Dropped lines are counted and reported at most once a second.
type requestLog struct {
	logger  *slog.Logger
	metrics *Metrics

	mu         sync.Mutex
	ordinary   *rate.Limiter
	problems   *rate.Limiter
	dropped    int
	reportedAt time.Time
}

func newRequestLog(logger *slog.Logger, metrics *Metrics) *requestLog {
	return &requestLog{
		logger: logger, metrics: metrics,
		ordinary: rate.NewLimiter(ordinaryLinesPerSecond, lineBurstSeconds*ordinaryLinesPerSecond), problems: rate.NewLimiter(problemLinesPerSecond, lineBurstSeconds*problemLinesPerSecond),
	}
}

// write logs one line. Lines on requests with problems have a rate limit of their own, because they are the ones needed
// for a diagnosis.
func (l *requestLog) write(now time.Time, problem bool, message string, fields ...any) {
	l.mu.Lock()
	limiter := l.ordinary
	if problem {
		limiter = l.problems
	}
	allowed := limiter.AllowN(now, 1)
	unreported := 0
	if !allowed {
		l.dropped++
		l.metrics.droppedLines.Inc()
	}
	if l.dropped > 0 && now.Sub(l.reportedAt) >= time.Second {
		unreported, l.dropped, l.reportedAt = l.dropped, 0, now
	}
	l.mu.Unlock()
	if allowed {
		l.logger.Info(message, fields...)
	}
	if unreported > 0 {
		l.logger.Warn("request log lines dropped by the rate limit", "event", "log_reduced", "lines", unreported)
	}
}
