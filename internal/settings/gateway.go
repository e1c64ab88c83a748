package settings

import (
	"time"

	"balsamsail/internal/settings/inifile"
)

// Gateway holds the settings of a gateway.
type Gateway struct {
	Gateway   GatewayProcess `section:"gateway" doc:"The process itself."`
	Store     Store          `section:"store" doc:"The platform's store."`
	Control   ControlLinks   `section:"control" doc:"Links between gateways and the agents beside engines."`
	Retries   SharedRetries  `section:"retries" doc:"Budget of repeated attempts."`
	Drain     GatewayDrain   `section:"drain" doc:"The planned stop."`
	Resources Resources      `section:"resources" doc:"The host's limits of the process."`
	Log       Log            `section:"log" doc:"Logs."`

	reload func() (*Gateway, error)
}

// Reload reloads the settings from their source.
func (g *Gateway) Reload() (*Gateway, error) { return g.reload() }

// GatewayProcess holds a gateway's host name and addresses.
type GatewayProcess struct {
	Host            string          `ini:"host" doc:"Name of the host."`
	FailureDomain   string          `ini:"failure_domain" doc:"Failure domain of the host."`
	Listen          inifile.Address `ini:"listen" doc:"Address for clients' HTTP."`
	ReadinessListen inifile.Address `ini:"readiness_listen" doc:"Address at which the balancer asks whether to send connections."`
	MetricsListen   inifile.Address `ini:"metrics_listen" optional:"true" doc:"Address for health and metrics; not served where left out."`
	ProcessorShare  float64         `ini:"processor_share" default:"1" min:"0" max:"1024" doc:"Share of a processor core that the host gives the process. Gateways with more of it are preferred for duties of the site: hub, coordinator."`
	ProcessorSpeed  float64         `ini:"processor_speed" default:"1" min:"0" max:"1024" doc:"Speed of that core, as a multiple of the usual one."`
}

// Check implements inifile.Checker.
func (g *GatewayProcess) Check(r *inifile.Reporter) {
	reportDuplicateAddresses(r, []string{"listen", "readiness_listen", "metrics_listen"},
		[]inifile.Address{g.Listen, g.ReadinessListen, g.MetricsListen})
}

// Store configures the watches on the platform's store.
type Store struct {
	Address    inifile.Address `ini:"address" doc:"Address of the store."`
	Wait       time.Duration   `ini:"wait" default:"1500ms" min:"100ms" max:"30s" doc:"How long one call waits for changes. Each call has a price. The answer of a call that the store has lost is awaited for a second more, and configurations have to be in force 3 s after an outage of the store."`
	Gather     time.Duration   `ini:"gather" default:"400ms" min:"0s" max:"1s" doc:"Pause before the next call after changes came: registrations change several times a second, and each call has a price. A draining endpoint gets work for that much longer; 2 s are allowed."`
	HubWait    time.Duration   `ini:"hub_wait" default:"700ms" min:"50ms" max:"30s" doc:"The same on a hub, for the tables that it passes on: with the gather time it bounds how late the other gateways notice that their hub is cut off from the store."`
	MinBackoff time.Duration   `ini:"min_backoff" default:"150ms" min:"10ms" max:"10s" doc:"First pause after a call that failed; doubled each time."`
	MaxBackoff time.Duration   `ini:"max_backoff" default:"500ms" min:"10ms" max:"1m" doc:"Longest such pause."`
}

// Check implements inifile.Checker.
func (s *Store) Check(r *inifile.Reporter) {
	orderedPair[time.Duration]{"min_backoff", "max_backoff", s.MinBackoff, s.MaxBackoff}.report(r)
}

// ControlLinks configures the links between gateways and the agents beside engines.
type ControlLinks struct {
	Listen       inifile.Address `ini:"listen" doc:"Address for the control links of others."`
	AgentPort    int             `ini:"agent_port" min:"1" max:"65535" doc:"Port at which agents listen, the same on all hosts."`
	Interval     time.Duration   `ini:"interval" default:"100ms" min:"10ms" max:"10s" doc:"Least time between two messages of the same kind on a link."`
	Heartbeat    time.Duration   `ini:"heartbeat" default:"250ms" min:"10ms" max:"10s" doc:"Longest time between two messages on a link."`
	SilenceLimit time.Duration   `ini:"silence_limit" default:"1500ms" min:"20ms" max:"1m" doc:"Silence after which a link is made anew."`
}

// Check implements inifile.Checker.
func (c *ControlLinks) Check(r *inifile.Reporter) {
	if r.Valid("heartbeat", "silence_limit") && c.SilenceLimit < 2*c.Heartbeat {
		r.Report("silence_limit", "one late heartbeat would count as a loss", "at least twice heartbeat")
	}
	orderedPair[time.Duration]{"interval", "heartbeat", c.Interval, c.Heartbeat}.report(r)
}

// SharedRetries configures the retry budget, which all gateways share.
type SharedRetries struct {
	Share  float64       `ini:"share" min:"0" max:"1" doc:"Repeated sendings to a service that each request for it allows."`
	Extra  float64       `ini:"extra" min:"0" max:"100000" doc:"Further ones in each window, over all gateways."`
	Window time.Duration `ini:"window" min:"1s" max:"10m" doc:"Length of that window."`
}

// GatewayDrain configures the graceful shutdown of a gateway.
type GatewayDrain struct {
	Grace    time.Duration `ini:"grace" min:"1s" max:"1h" doc:"Time after which the platform kills a process that was told to stop."`
	LameDuck time.Duration `ini:"lame_duck" default:"2500ms" min:"0s" max:"10m" doc:"Time for which the gateway goes on accepting after its readiness has failed: the balancer asks once a second and believes the second answer."`
	Reserve  time.Duration `ini:"reserve" default:"700ms" min:"0s" max:"10s" doc:"Time before the end of grace at which requests that still run are cut."`
}

// Check implements inifile.Checker.
func (d *GatewayDrain) Check(r *inifile.Reporter) {
	if r.Valid("grace", "lame_duck", "reserve") && d.LameDuck+d.Reserve >= d.Grace {
		r.Report("lame_duck", "no time is left for requests that run", "together with reserve less than grace")
	}
}

// EngineAgent holds the settings of an agent beside an engine.
type EngineAgent struct {
	Agent     EngineAgentProcess `section:"engine_agent" doc:"The process itself."`
	Control   ControlLinks       `section:"control" doc:"Links between gateways and the agents beside engines."`
	Orders    EngineOrders       `section:"orders" doc:"Reports and orders of the engine."`
	Resources Resources          `section:"resources" doc:"The host's limits of the process."`
	Log       Log                `section:"log" doc:"Logs."`

	reload func() (*EngineAgent, error)
}

// Reload reloads the settings from their source.
func (a *EngineAgent) Reload() (*EngineAgent, error) { return a.reload() }

// EngineAgentProcess identifies an agent and its engine.
type EngineAgentProcess struct {
	Host          string          `ini:"host" doc:"Name of the host; the engine knows the agent by it."`
	FailureDomain string          `ini:"failure_domain" doc:"Failure domain of the host."`
	Engine        inifile.Address `ini:"engine" doc:"Address of the engine on this host."`
	MetricsListen inifile.Address `ini:"metrics_listen" optional:"true" doc:"Address for health and metrics; not served where left out."`
}

// EngineOrders configures the reads of the engine's report and the orders sent to the engine.
type EngineOrders struct {
	ReportInterval time.Duration `ini:"report_interval" default:"100ms" min:"10ms" max:"10s" doc:"Time between two reads of the engine's report."`
	Timeout        time.Duration `ini:"timeout" default:"200ms" min:"10ms" max:"1m" doc:"Bound of one call of the engine, which answers within a few milliseconds on its own host."`
}

// LoadGateway reads a gateway's settings from a file.
func LoadGateway(path string, sets ...string) (*Gateway, error) {
	g, err := load[Gateway](path, sets)
	if err != nil {
		return nil, err
	}
	g.reload = func() (*Gateway, error) { return LoadGateway(path, sets...) }
	return g, nil
}

// LoadEngineAgent reads the settings of an agent beside an engine from a file.
func LoadEngineAgent(path string, sets ...string) (*EngineAgent, error) {
	a, err := load[EngineAgent](path, sets)
	if err != nil {
		return nil, err
	}
	a.reload = func() (*EngineAgent, error) { return LoadEngineAgent(path, sets...) }
	return a, nil
}
