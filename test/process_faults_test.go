package test

import (
	"slices"
	"time"

	"balsamsail/internal/endpoint"
)

// act returns an inject or heal function that applies an action to one process.
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

// loadTimeout bounds the wait for an engine to be loading a model. Under the workload of a scenario, loads are
// frequent.
const loadTimeout = 3 * time.Second

// whileLoading returns a function that runs action while an engine is loading a model.
func whileLoading(engine string, action func(c *cluster)) func(c *cluster) {
	return func(c *cluster) {
		c.t.Helper()
		c.awaitLoading(engine)
		action(c)
	}
}

// awaitLoading waits until an engine is loading a model. After loadTimeout it logs that and returns.
func (c *cluster) awaitLoading(engine string) {
	c.t.Helper()
	deadline := time.Now().Add(loadTimeout)
	for time.Now().Before(deadline) {
		if c.isLoading(engine) {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	c.t.Logf("%s did not load a model within %v", engine, loadTimeout)
}

// isLoading reports whether an engine answers and is loading a model.
func (c *cluster) isLoading(engine string) bool {
	var state endpoint.EngineState
	if err := getJSON(c.endpoint(engine).url()+endpoint.PathState, &state); err != nil {
		return false
	}
	return slices.ContainsFunc(state.Models, func(m endpoint.LoadedModel) bool { return m.State == endpoint.EngineLoading })
}
