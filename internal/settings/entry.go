package settings

import (
	"time"

	"balsamsail/internal/settings/inifile"
)

// Entry holds the settings of an entry.
type Entry struct {
	Entry        EntryProcess `section:"entry" doc:"The process itself."`
	Platform     Platform     `section:"platform" doc:"The platform's services."`
	Limits       EntryLimits  `section:"limits" doc:"Limits of callers' requests."`
	Retries      Retries      `section:"retries" doc:"Budget of repeated attempts."`
	Declarations Declarations `section:"declarations" doc:"Reading and editing of the operators' declarations."`
	Membership   Membership   `section:"membership" doc:"Hosts and the connections to their agents."`
	Replicas     Replicas     `section:"replicas" doc:"Decisions on the number and place of replicas."`
	Loading      Permits      `section:"loading" doc:"Permits of loads from the weight store."`
	Claims       Claims       `section:"claims" doc:"Claims of idempotency keys."`
	Wire         Wire         `section:"wire" doc:"Connections between entries and agents."`
	Drain        EntryDrain   `section:"drain" doc:"The planned stop."`
	Resources    Resources    `section:"resources" doc:"The host's limits of the process."`
	Timeline     Timeline     `section:"timeline" doc:"The time line of events."`
	Log          Log          `section:"log" doc:"Logs."`
}

// EntryProcess holds an entry's identifier and addresses.
type EntryProcess struct {
	ID             string          `ini:"id" doc:"Identifier of the entry's host, as the platform's host list names it."`
	FailureDomain  string          `ini:"failure_domain" doc:"Failure domain of the entry."`
	Listen         inifile.Address `ini:"listen" doc:"Address for callers' HTTP."`
	OperatorListen inifile.Address `ini:"operator_listen" doc:"Address for the operators' HTTP."`
	MetricsListen  inifile.Address `ini:"metrics_listen" optional:"true" doc:"Address for health and metrics; with the operators' HTTP where left out."`
}

// Check implements inifile.Checker.
func (e *EntryProcess) Check(r *inifile.Reporter) {
	reportDuplicateAddresses(r, []string{"listen", "operator_listen", "metrics_listen"},
		[]inifile.Address{e.Listen, e.OperatorListen, e.MetricsListen})
}

// EntryLimits limits callers' requests.
type EntryLimits struct {
	MaxInFlight       int           `ini:"max_in_flight" default:"10000" min:"1" max:"1000000" doc:"Requests in flight in this entry; others are refused at once."`
	MaxBatch          int           `ini:"max_batch" default:"5000" min:"0" max:"1000000" doc:"Requests of class batch among them; 0 sets no bound of its own."`
	MaxBody           inifile.Bytes `ini:"max_body" default:"16MiB" min:"1B" max:"1TiB" doc:"Longest body of a chat completion, and of a service call where the service declares none."`
	MaxAnswer         time.Duration `ini:"max_answer" default:"1h" min:"1s" max:"24h" doc:"Longest time of one answer once begun."`
	MaxDeadline       time.Duration `ini:"max_deadline" default:"24h" min:"1ms" max:"168h" doc:"Longest deadline that a request may ask for. Those of requests that ask for none are declared by operators."`
	MaxAttempts       int           `ini:"max_attempts" default:"4" min:"1" max:"100" doc:"Attempts at one request."`
	CandidatePatience time.Duration `ini:"candidate_patience" default:"2s" min:"0s" max:"1m" doc:"Wait of a request for an endpoint that may take it."`
	MaxRetryAfter     time.Duration `ini:"max_retry_after" default:"30s" min:"1s" max:"1h" doc:"Longest time to come back that a refusal names."`
}

// Check implements inifile.Checker.
func (l *EntryLimits) Check(r *inifile.Reporter) {
	orderedPair[int]{"max_batch", "max_in_flight", l.MaxBatch, l.MaxInFlight}.report(r)
}

// Retries configures the retry budget.
type Retries struct {
	Share          float64 `ini:"share" default:"0.2" min:"0" max:"1" doc:"Repeated attempts that each success allows."`
	FloorPerSecond float64 `ini:"floor_per_second" default:"1" min:"0" max:"1000" doc:"Repeated attempts a second that are allowed without any success."`
	Burst          float64 `ini:"burst" default:"20" min:"0" max:"10000" doc:"Repeated attempts that may be saved up."`
}

// Declarations configures the reading and editing of declarations.
type Declarations struct {
	PollInterval time.Duration `ini:"poll_interval" default:"500ms" min:"10ms" max:"1m" doc:"Time between reads of the newest revision."`
	MaxBackoff   time.Duration `ini:"max_backoff" default:"2s" min:"10ms" max:"5m" doc:"Longest time between such reads while the table does not answer."`
	EditTimeout  time.Duration `ini:"edit_timeout" default:"10s" min:"100ms" max:"5m" doc:"Bound of one edit."`
	LogKeep      int           `ini:"log_keep" default:"1024" min:"16" max:"100000" doc:"Revisions that the table's log keeps."`
}

// Check implements inifile.Checker.
func (d *Declarations) Check(r *inifile.Reporter) {
	orderedPair[time.Duration]{"poll_interval", "max_backoff", d.PollInterval, d.MaxBackoff}.report(r)
}

// Membership configures the tracking of hosts and agents.
type Membership struct {
	ListInterval      time.Duration `ini:"list_interval" default:"1s" min:"10ms" max:"1m" doc:"Time between reads of the host list."`
	RedialDelay       time.Duration `ini:"redial_delay" default:"500ms" min:"10ms" max:"1m" doc:"Time between tries to reach an agent; jittered."`
	HeartbeatInterval time.Duration `ini:"heartbeat_interval" default:"1s" min:"10ms" max:"1m" doc:"Longest time between batches on a control stream."`
	SilenceLimit      time.Duration `ini:"silence_limit" default:"4s" min:"20ms" max:"5m" doc:"Silence after which an agent counts as lost."`
	BatchDelay        time.Duration `ini:"batch_delay" default:"20ms" min:"0s" max:"5s" doc:"Time for which changes are gathered before a batch is sent."`
}

// Check implements inifile.Checker.
func (m *Membership) Check(r *inifile.Reporter) {
	if r.Valid("heartbeat_interval", "silence_limit") && m.SilenceLimit < 2*m.HeartbeatInterval {
		r.Report("silence_limit", "one late heartbeat would count as a loss", "at least twice heartbeat_interval")
	}
	orderedPair[time.Duration]{"batch_delay", "heartbeat_interval", m.BatchDelay, m.HeartbeatInterval}.report(r)
}

// Replicas configures the decisions on the number and placement of replicas.
type Replicas struct {
	Interval        time.Duration `ini:"interval" default:"500ms" min:"10ms" max:"1m" doc:"Time between reads of the changed grants."`
	FullInterval    time.Duration `ini:"full_interval" default:"5m" min:"100ms" max:"1h" doc:"Time between reads of all grants."`
	Settle          time.Duration `ini:"settle" default:"50ms" min:"0s" max:"10s" doc:"Time for which inputs are gathered before a decision."`
	DecideShare     float64       `ini:"decide_share" default:"0.02" min:"0.001" max:"1" doc:"Share of a processor that decisions may take."`
	TurnStep        time.Duration `ini:"turn_step" default:"300ms" min:"0s" max:"1m" doc:"Further wait of each entry in the order of proposing."`
	WritesPerSecond float64       `ini:"writes_per_second" default:"50" min:"0.1" max:"10000" doc:"Writes of grants a second by this entry."`
	WriteBurst      int           `ini:"write_burst" default:"50" min:"1" max:"10000" doc:"Writes of grants at once after a pause."`
	ParallelWrites  int           `ini:"parallel_writes" default:"8" min:"1" max:"1000" doc:"Writes of grants in flight."`
	MinBackoff      time.Duration `ini:"min_backoff" default:"50ms" min:"1ms" max:"1m" doc:"Least wait after a call that the table did not answer."`
	MaxBackoff      time.Duration `ini:"max_backoff" default:"2s" min:"1ms" max:"5m" doc:"Longest wait after such a call."`
	SilentAfter     time.Duration `ini:"silent_after" default:"10s" min:"100ms" max:"1h" doc:"Time for which an engine must be unreachable before another one gets a slot for it."`
	ExtraHold       time.Duration `ini:"extra_hold" default:"10m" min:"0s" max:"24h" doc:"Time for which slots above the least number are kept after their demand has gone."`
}

// Check implements inifile.Checker.
func (p *Replicas) Check(r *inifile.Reporter) {
	orderedPair[time.Duration]{"interval", "full_interval", p.Interval, p.FullInterval}.report(r)
	orderedPair[time.Duration]{"min_backoff", "max_backoff", p.MinBackoff, p.MaxBackoff}.report(r)
}

// Permits configures the permits of loads. Operators declare the limits that the permits enforce.
type Permits struct {
	Lease       time.Duration `ini:"lease" default:"15s" min:"100ms" max:"10m" doc:"Time for which a permit counts without a sign of life from its agent."`
	StartWithin time.Duration `ini:"start_within" default:"2s" min:"10ms" max:"10m" doc:"Time in which a permit must be used."`
	MinRetry    time.Duration `ini:"min_retry" default:"250ms" min:"1ms" max:"1m" doc:"Least time after which a denied agent asks again."`
	MaxRetry    time.Duration `ini:"max_retry" default:"3s" min:"1ms" max:"1m" doc:"Longest time after which a denied agent asks again; below the agents' permit_patience."`
	MaxPending  int           `ini:"max_pending" default:"16384" min:"1" max:"1000000" doc:"Wishes for permits that wait."`
}

// Check implements inifile.Checker.
func (p *Permits) Check(r *inifile.Reporter) {
	orderedPair[time.Duration]{"start_within", "lease", p.StartWithin, p.Lease}.report(r)
	orderedPair[time.Duration]{"min_retry", "max_retry", p.MinRetry, p.MaxRetry}.report(r)
}

// Claims configures the claims of idempotency keys.
type Claims struct {
	Patience  time.Duration `ini:"patience" default:"1s" min:"10ms" max:"1m" doc:"Bound of one step of a claim."`
	Retention time.Duration `ini:"retention" default:"24h" min:"1m" max:"720h" doc:"Time for which a key stays claimed."`
	MaxBody   inifile.Bytes `ini:"max_body" default:"16KiB" min:"0B" max:"1MiB" doc:"Longest body of an answer that is recorded with its key."`
}

// EntryDrain configures the graceful shutdown of an entry.
type EntryDrain struct {
	ReadinessDelay time.Duration `ini:"readiness_delay" default:"5s" min:"0s" max:"10m" doc:"Time for which the entry goes on accepting after its readiness has failed, for the balancer to notice."`
	Timeout        time.Duration `ini:"timeout" default:"2m" min:"1s" max:"24h" doc:"Longest wait for requests in flight."`
}

// Check implements inifile.Checker.
func (e *Entry) Check(r *inifile.Reporter) {
	if e.Declarations.EditTimeout < e.Platform.Timeout {
		r.Section("declarations", "").Report("edit_timeout", "an edit would end before one call of the table may",
			"at least timeout of [platform]")
	}
}
