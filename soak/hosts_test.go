package main

import (
	"path/filepath"
	"testing"
	"time"

	"balsamsail/internal/childprocess"
)

// Guards against a process that the soak has killed and then counts as one that ended by itself.
func TestKilledProcessHasNotEndedByItself(t *testing.T) {
	h := &host{name: "sleeper", process: &childprocess.Process{Name: "sleeper", Path: "/bin/sleep", Args: []string{"60"}, Log: filepath.Join(t.TempDir(), "log")}}
	s := &site{checker: newChecker(), states: map[string]*processState{}}
	if err := h.process.Start(); err != nil {
		t.Fatal(err)
	}
	defer h.process.Kill()
	const kills = 5
	for range kills {
		starts := s.startsOf(h)
		killed := make(chan struct{})
		go func() { defer close(killed); s.kill(h) }()
		for deadline := time.Now().Add(10 * time.Second); s.startsOf(h) == starts; {
			if s.exitedUnexpectedly(h) {
				t.Fatal("the killed process counts as one that ended by itself")
			}
			if time.Now().After(deadline) {
				t.Fatal("the process is not started again")
			}
		}
		<-killed
		for s.isRestarting(h) {
			time.Sleep(time.Millisecond)
		}
	}
}

func (s *site) isRestarting(h *host) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateOf(h).restarting
}
