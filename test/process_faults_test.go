package test

// act builds one side of a failure from what is done to one process.
func act(choose func(c *cluster) *process, do func(*process)) func(c *cluster) {
	return func(c *cluster) {
		c.t.Helper()
		do(choose(c))
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

func killEntry(name string) func(c *cluster)    { return act(entryOf(name), (*process).kill) }
func restartEntry(name string) func(c *cluster) { return act(entryOf(name), (*process).restart) }
func freezeEntry(name string) func(c *cluster)  { return act(entryOf(name), (*process).freeze) }
func thawEntry(name string) func(c *cluster)    { return act(entryOf(name), (*process).thaw) }

func killAgent(endpoint string) func(c *cluster) { return act(agentOf(endpoint), (*process).kill) }
func restartAgent(endpoint string) func(c *cluster) {
	return act(agentOf(endpoint), (*process).restart)
}
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
