package settings

import (
	"time"

	"balsamsail/internal/settings/inifile"
)

// The kinds of endpoints.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Agent holds the settings of an agent.
type Agent struct {
	Agent     AgentProcess `section:"agent" doc:"The process itself."`
	Endpoint  Endpoint     `section:"endpoint" doc:"The endpoint beside which the agent runs."`
	Platform  Platform     `section:"platform" doc:"The platform's services."`
	Order     Order        `section:"order" doc:"Orders to the engine."`
	Queue     Queue        `section:"queue" doc:"Requests that wait at the agent."`
	Requests  Requests     `section:"requests" doc:"Requests that run."`
	Idle      Idle         `section:"idle" doc:"How long idle models stay loaded."`
	Control   Control      `section:"control" doc:"Control streams and the table."`
	Wire      Wire         `section:"wire" doc:"Connections between entries and agents."`
	Drain     AgentDrain   `section:"drain" doc:"The planned stop."`
	Resources Resources    `section:"resources" doc:"The host's limits of the process."`
	Timeline  Timeline     `section:"timeline" doc:"The time line of events."`
	Log       Log          `section:"log" doc:"Logs."`

	// Credentials are read from the endpoint's credentials file; empty where none is named.
	Credentials Secret
}

// AgentProcess holds an agent's host and addresses.
type AgentProcess struct {
	Host          string          `ini:"host" doc:"Identifier of the agent's host, as the platform's host list names it."`
	FailureDomain string          `ini:"failure_domain" doc:"Failure domain of the host."`
	Listen        inifile.Address `ini:"listen" doc:"Address for the entries' connections."`
	MetricsListen inifile.Address `ini:"metrics_listen" optional:"true" doc:"Address for health, metrics and the time line; not served where left out."`
}

// Check implements inifile.Checker.
func (a *AgentProcess) Check(r *inifile.Reporter) {
	reportDuplicateAddresses(r, []string{"listen", "metrics_listen"}, []inifile.Address{a.Listen, a.MetricsListen})
}

// Endpoint describes the endpoint beside which an agent runs.
type Endpoint struct {
	Kind             string         `ini:"kind" oneof:"engine service" doc:"What the endpoint is."`
	Name             string         `ini:"name" doc:"Name of the endpoint, as declarations name it."`
	URL              inifile.URL    `ini:"url" doc:"Base URL of the endpoint on this host."`
	Labels           inifile.Labels `ini:"labels" optional:"true" doc:"Labels of the endpoint; declared ones go first."`
	CredentialsFile  string         `ini:"credentials_file" optional:"true" doc:"File with the credentials that orders carry; none where left out."`
	ChecksFencing    bool           `ini:"checks_fencing" default:"false" doc:"Whether the engine refuses an order with an old fencing number."`
	EchoesRequestID  bool           `ini:"echo_request_id" default:"true" doc:"Whether the endpoint sends each request's identifier back; an answer without it is then refused. Where it does not, each call makes a new connection."`
	Memory           inifile.Bytes  `ini:"memory" optional:"true" min:"1B" max:"1024TiB" doc:"Accelerator memory that may be handed out; what the engine itself reports where left out."`
	MaxConcurrency   int            `ini:"max_concurrency" default:"64" min:"1" max:"100000" doc:"Requests that run at once where nothing else is declared."`
	DialTimeout      time.Duration  `ini:"dial_timeout" default:"2s" min:"10ms" max:"1m" doc:"Bound of the making of a connection."`
	IdleTimeout      time.Duration  `ini:"idle_timeout" default:"30s" min:"0s" max:"1h" doc:"Time for which an unused connection is kept; below the endpoint's own."`
	FreshConnections bool           `ini:"fresh_connections" default:"false" doc:"Whether each call makes a new connection."`
	ProbeInterval    time.Duration  `ini:"probe_interval" default:"2s" min:"10ms" max:"5m" doc:"Time between checks that a plain service answers."`
}

// engineKeys lists the keys that apply only to engines.
var engineKeys = []string{"memory", "checks_fencing", "credentials_file"}

// Check implements inifile.Checker.
func (e *Endpoint) Check(r *inifile.Reporter) {
	if e.Kind != KindService {
		return
	}
	for _, key := range engineKeys {
		if _, given := r.Value(key); given {
			r.Report(key, "a plain service takes no orders", "only with kind = engine")
		}
	}
}

// Order configures the orders sent to an engine.
type Order struct {
	Timeout        time.Duration `ini:"timeout" default:"2m" min:"100ms" max:"1h" doc:"Bound of the wait for an order's answer."`
	MaxLife        time.Duration `ini:"max_life" default:"5m" min:"100ms" max:"24h" doc:"Longest time for which a sent order may still take effect; a restarted agent waits it out where the engine ignores fencing numbers."`
	StateInterval  time.Duration `ini:"state_interval" default:"5s" min:"100ms" max:"10m" doc:"Time between reads of the engine's state without a cause."`
	PermitPatience time.Duration `ini:"permit_patience" default:"5s" min:"10ms" max:"10m" doc:"Wait of a load for a permit before it starts without one."`
}

// Check implements inifile.Checker.
func (o *Order) Check(r *inifile.Reporter) {
	orderedPair[time.Duration]{"timeout", "max_life", o.Timeout, o.MaxLife}.report(r)
}

// Queue limits the requests that wait.
type Queue struct {
	MaxWaiting    int           `ini:"max_waiting" default:"1024" min:"1" max:"1000000" doc:"Requests that wait, over all models."`
	MaxPerTarget  int           `ini:"max_per_target" default:"512" min:"1" max:"1000000" doc:"Requests that wait for one model version and adapter."`
	MaxPerCaller  int           `ini:"max_per_caller" default:"0" min:"0" max:"1000000" doc:"Requests of one caller that wait; 0 sets no bound."`
	BatchEvery    int           `ini:"batch_every" default:"8" min:"1" max:"1000" doc:"Longest run of interactive starts while a batch request waits."`
	MaxRetryAfter time.Duration `ini:"max_retry_after" default:"30s" min:"1s" max:"1h" doc:"Longest time to come back that a refusal names."`
}

// Check implements inifile.Checker.
func (q *Queue) Check(r *inifile.Reporter) {
	orderedPair[int]{"max_per_target", "max_waiting", q.MaxPerTarget, q.MaxWaiting}.report(r)
	orderedPair[int]{"max_per_caller", "max_waiting", q.MaxPerCaller, q.MaxWaiting}.report(r)
}

// Requests limits the requests that run.
type Requests struct {
	CommitTimeout time.Duration `ini:"commit_timeout" default:"5s" min:"10ms" max:"5m" doc:"Bound of the wait for an entry's commit of a call that may run only once."`
	MaxAnswer     time.Duration `ini:"max_answer" default:"1h" min:"1s" max:"24h" doc:"Longest time of one answer once begun."`
}

// Idle bounds the time that idle models stay loaded. Operators declare the weights from which the time is computed.
type Idle struct {
	Min time.Duration `ini:"min" default:"10s" min:"0s" max:"24h" doc:"Least time that an idle model stays loaded."`
	Max time.Duration `ini:"max" default:"24h" min:"0s" max:"168h" doc:"Longest time that an idle model stays loaded."`

	LongestHold time.Duration `ini:"longest_hold" default:"15m" min:"0s" max:"24h" doc:"Longest time for which a batch request waits for others before it wakes a sleeping model; 0s wakes it at once."`
}

// Check implements inifile.Checker.
func (i *Idle) Check(r *inifile.Reporter) {
	orderedPair[time.Duration]{"min", "max", i.Min, i.Max}.report(r)
}

// Control configures the control streams and the reads of the table.
type Control struct {
	HeartbeatInterval time.Duration `ini:"heartbeat_interval" default:"1s" min:"10ms" max:"1m" doc:"Longest time between batches on a control stream; at most half the entries' silence_limit."`
	BatchDelay        time.Duration `ini:"batch_delay" default:"20ms" min:"0s" max:"5s" doc:"Time for which changes are gathered before a batch is sent."`
	TableRetry        time.Duration `ini:"table_retry" default:"1s" min:"10ms" max:"1m" doc:"Time between reads of the grants while the table does not answer."`
}

// Check implements inifile.Checker.
func (c *Control) Check(r *inifile.Reporter) {
	orderedPair[time.Duration]{"batch_delay", "heartbeat_interval", c.BatchDelay, c.HeartbeatInterval}.report(r)
}

// AgentDrain configures the graceful shutdown of an agent.
type AgentDrain struct {
	Timeout time.Duration `ini:"timeout" default:"2m" min:"1s" max:"24h" doc:"Longest wait for running requests."`
}

// Check implements inifile.Checker. It also reads the credentials.
func (a *Agent) Check(r *inifile.Reporter) {
	a.Credentials = readCredentials(r.Section("endpoint", ""), a.Endpoint.CredentialsFile)
}
