package test

import (
	"context"
	"sync"
	"time"

	"balsamsail/internal/operator"
)

// background runs the repeated actions of a failure from inject to heal.
type background struct {
	mu      sync.Mutex
	stopped chan struct{}
	running sync.WaitGroup
}

// start runs step repeatedly, with a pause between two runs, until stop.
func (b *background) start(pause time.Duration, step func(n int)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped == nil {
		b.stopped = make(chan struct{})
	}
	stopped := b.stopped
	b.running.Go(func() {
		for n := 0; ; n++ {
			step(n)
			select {
			case <-stopped:
				return
			case <-time.After(pause):
			}
		}
	})
}

func (b *background) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped == nil {
		return
	}
	close(b.stopped)
	b.running.Wait()
	b.stopped = nil
}

// operatorFailures returns the failures in which operators make conflicting edits.
func operatorFailures() []failure {
	return []failure{
		newFailure("operators race over labels", `Two operators set and remove the label that excludes engines for the model
"mover", over different entries and faster than the model can be loaded elsewhere. It must never have more replicas than
declared, whichever edit comes last.`,
			longFault, raceOverLabels, endRace),
		newFailure("operators race over drains", `One operator drains engines in turn while another ends the drains.`,
			longFault, raceOverDrains, endRace),
	}
}

var contendedEngines = []string{"engine-1", "engine-2", "engine-3", "engine-4"}

const raceInterval = 120 * time.Millisecond

func raceOverLabels(c *cluster) {
	c.background.start(raceInterval, func(n int) { c.setAwayLabel("entry-1", contendedEngines[n%len(contendedEngines)], true) })
	c.background.start(raceInterval, func(n int) { c.setAwayLabel("entry-2", contendedEngines[(n+2)%len(contendedEngines)], false) })
}

func raceOverDrains(c *cluster) {
	c.background.start(raceInterval, func(n int) { c.tryDrain("entry-1", contendedEngines[n%len(contendedEngines)], true) })
	c.background.start(raceInterval, func(n int) { c.tryDrain("entry-2", contendedEngines[(n+2)%len(contendedEngines)], false) })
}

// endRace stops the operators and removes the labels and drains from all engines.
func endRace(c *cluster) {
	c.t.Helper()
	c.background.stop()
	for _, engine := range contendedEngines {
		eventually(c.t, recoveryTimeout, engine+" has its label removed and its drain ended", func() bool {
			return c.setAwayLabel("entry-3", engine, false) == nil && c.tryDrain("entry-3", engine, false) == nil
		})
	}
}

// setAwayLabel sets or removes the label "away" on an engine, which excludes the engine for the model "mover".
func (c *cluster) setAwayLabel(entry, engine string, away bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request := operator.LabelRequest{
		ObjectKey: operator.ObjectKey{Kind: "engine", Name: engine},
		Remove:    []string{"away"},
		Edit:      operator.Edit{Author: "race"},
	}
	if away {
		request.Remove, request.Set = nil, map[string]string{"away": "yes"}
	}
	client := operator.NewClient([]string{c.entry(entry).operatorsURL()}, controlClient)
	accepted, err := client.Label(ctx, request)
	c.recordRaceEdit(accepted, err)
	return err
}

func (c *cluster) tryDrain(entry, engine string, drain bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	client := operator.NewClient([]string{c.entry(entry).operatorsURL()}, controlClient)
	request := operator.DrainRequest{Endpoint: engine, Drain: drain, Edit: operator.Edit{Author: "race"}}
	accepted, err := client.Drain(ctx, request)
	c.recordRaceEdit(accepted, err)
	return err
}

// recordRaceEdit records an accepted edit, so that checkDeclarations checks that it is in force in every process.
func (c *cluster) recordRaceEdit(accepted operator.Accepted, err error) {
	if err != nil || len(accepted.Changed) == 0 {
		return
	}
	c.editsMu.Lock()
	defer c.editsMu.Unlock()
	c.edits = append(c.edits, &edit{
		operation: accepted.OperationID,
		author:    "race",
		ended:     time.Now(),
		revision:  accepted.Revision,
	})
}
