package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"balsamsail/internal/clock"
)

// life is what a run knows of a host's process beside its present state.
type life struct {
	// busy is set while a planned stop or a restart is under way, which alone starts the process again.
	busy   bool
	killed bool
	starts int
}

// take claims the restart of a host's process; it fails while another claim is held.
func (s *site) take(h *host) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lifeOf(h)
	if l.busy {
		return false
	}
	l.busy, l.killed = true, false
	return true
}

func (s *site) give(h *host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifeOf(h).busy = false
}

// lifeOf returns a host's life. The caller holds mu.
func (s *site) lifeOf(h *host) *life {
	if s.lives[h.name] == nil {
		s.lives[h.name] = &life{starts: 1}
	}
	return s.lives[h.name]
}

func (s *site) noteKill(h *host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifeOf(h).killed = true
}

func (s *site) noteStart(h *host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifeOf(h).starts++
}

// killedSince reports whether the process was killed since its restart was claimed.
func (s *site) killedSince(h *host) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifeOf(h).killed
}

func (s *site) startsOf(h *host) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifeOf(h).starts
}

// watchProcesses finds processes that end by themselves, and what they say when they panic.
func (s *site) watchProcesses(ctx context.Context) {
	const interval = 200 * time.Millisecond
	for ctx.Err() == nil {
		for _, h := range s.hosts() {
			if !s.endedByItself(h) {
				continue
			}
			s.judge.Violate("ended by itself", "%s: %v", h.name, h.process.ExitError())
			s.kill(h)
		}
		clock.Pause(ctx, interval)
	}
	for _, h := range s.hosts() {
		log, err := os.ReadFile(h.process.Log)
		if err != nil {
			s.judge.Violate("soak itself", "%s has no log: %v", h.name, err)
		}
		for _, word := range []string{"panic:", "DATA RACE", "fatal error:"} {
			if at := bytes.Index(log, []byte(word)); at >= 0 {
				s.judge.Violate("panic", "%s: %.300s", h.name, log[at:])
			}
		}
	}
}

func (s *site) endedByItself(h *host) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifeOf(h).busy {
		return false
	}
	select {
	case <-h.process.Exited():
		return true
	default:
		return false
	}
}
