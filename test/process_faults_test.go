package test

import (
	"slices"
	"time"

	"balsamsail/internal/endpoint"
)

// act builds one side of a failure from what is done to one process.
func act(choose func(c *cluster) *process, action func(*process)) func(c *cluster) {
	return func(c *cluster) {
		c.t.Helper()
		action(choose(c))
	}
}

func entryOf(name string) func(c *cluster) *process {
	return func(c *cluster) *process { return c.entry(name).process }
}

func agentOf(endpoint string) func(c *cluster) *process {
	return func(c *cluster) *process { return c.endpoint(endpoint).agent }
}

func serverOf(endpoint string) func(c *cluster) *process {
	return func(c *cluster) *process { return c.endpoint(endpoint).server }
}

func killEntry(name string) func(c *cluster)   { return act(entryOf(name), (*process).kill) }
func startEntry(name string) func(c *cluster)  { return act(entryOf(name), (*process).start) }
func freezeEntry(name string) func(c *cluster) { return act(entryOf(name), (*process).freeze) }
func thawEntry(name string) func(c *cluster)   { return act(entryOf(name), (*process).thaw) }

func killAgent(endpoint string) func(c *cluster)   { return act(agentOf(endpoint), (*process).kill) }
func startAgent(endpoint string) func(c *cluster)  { return act(agentOf(endpoint), (*process).start) }
func freezeAgent(endpoint string) func(c *cluster) { return act(agentOf(endpoint), (*process).freeze) }
func thawAgent(endpoint string) func(c *cluster)   { return act(agentOf(endpoint), (*process).thaw) }

func freezeServer(endpoint string) func(c *cluster) {
	return act(serverOf(endpoint), (*process).freeze)
}
func thawServer(endpoint string) func(c *cluster) { return act(serverOf(endpoint), (*process).thaw) }

func restartEngine(endpoint string) func(c *cluster) {
	return func(c *cluster) {
		c.t.Helper()
		c.endpoint(endpoint).restartEngine(c)
	}
}

// loadPatience bounds the wait for an engine to be in the middle of a load, which under the load of a scenario it soon
// is.
const loadTimeout = 3 * time.Second

// whileLoading does something to an engine or its agent in the middle of a load.
func whileLoading(engine string, action func(c *cluster)) func(c *cluster) {
	return func(c *cluster) {
		c.t.Helper()
		c.awaitLoading(engine)
		action(c)
	}
}

// awaitLoading waits until an engine is in the middle of a load.
func (c *cluster) awaitLoading(engine string) {
	c.t.Helper()
	deadline := time.Now().Add(loadTimeout)
	for time.Now().Before(deadline) {
		if c.isLoading(engine) {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	c.t.Logf("%s has not loaded anything for %v", engine, loadTimeout)
}

// isLoading reports whether an engine answers and is in the middle of a load.
func (c *cluster) isLoading(engine string) bool {
	var state endpoint.EngineState
	if err := getJSON(c.endpoint(engine).url()+endpoint.PathState, &state); err != nil {
		return false
	}
	return slices.ContainsFunc(state.Models, func(m endpoint.LoadedModel) bool { return m.State == endpoint.EngineLoading })
}
