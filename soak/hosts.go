package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"balsamsail/internal/clock"
)

// processState tracks the kills and restarts of a host's process.
type processState struct {
	// restarting is set while a planned stop or a restart is in progress; only its holder may start the process.
	restarting bool
	killed     bool
	starts     int
}

// claimRestart claims the exclusive right to restart a host's process. It returns false while another claim is held.
func (s *site) claimRestart(h *host) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.stateOf(h)
	if state.restarting {
		return false
	}
	state.restarting, state.killed = true, false
	return true
}

func (s *site) releaseRestart(h *host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateOf(h).restarting = false
}

// stateOf returns the state of a host's process. The caller holds mu.
func (s *site) stateOf(h *host) *processState {
	if s.states[h.name] == nil {
		s.states[h.name] = &processState{starts: 1}
	}
	return s.states[h.name]
}

func (s *site) recordKill(h *host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateOf(h).killed = true
}

func (s *site) recordStart(h *host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateOf(h).starts++
}

// killedDuringRestart reports whether the process was killed after its restart was claimed.
func (s *site) killedDuringRestart(h *host) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateOf(h).killed
}

func (s *site) startsOf(h *host) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateOf(h).starts
}

// watchProcesses reports and restarts processes that exit unexpectedly until ctx ends, and then searches all logs for panics
// and data races.
func (s *site) watchProcesses(ctx context.Context) {
	const interval = 200 * time.Millisecond
	for ctx.Err() == nil {
		for _, h := range s.hosts() {
			if !s.exitedUnexpectedly(h) {
				continue
			}
			s.checker.addViolation("ended by itself", "%s: %v", h.name, h.process.ExitError())
			s.kill(h)
		}
		clock.Pause(ctx, interval)
	}
	for _, h := range s.hosts() {
		log, err := os.ReadFile(h.process.Log)
		if err != nil {
			s.checker.addViolation("soak itself", "%s has no log: %v", h.name, err)
		}
		for _, marker := range []string{"panic:", "DATA RACE", "fatal error:"} {
			if at := bytes.Index(log, []byte(marker)); at >= 0 {
				s.checker.addViolation("panic", "%s: %.300s", h.name, log[at:])
			}
		}
	}
}

func (s *site) exitedUnexpectedly(h *host) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stateOf(h).restarting {
		return false
	}
	select {
	case <-h.process.Exited():
		return true
	default:
		return false
	}
}
