package settings

import (
	"time"

	"balsamsail/internal/settings/inifile"
)

// StandinPlatform holds the settings of the platform's stand-in.
type StandinPlatform struct {
	Standin Standin       `section:"standin" doc:"The process itself."`
	Table   StoreLimits   `section:"table" doc:"Limits of the transactional table."`
	Objects StoreLimits   `section:"objects" doc:"Limits of the object store."`
	Weights WeightLimits  `section:"weights" doc:"Limits of the weight store."`
	List    HostList      `section:"list" doc:"The host list."`
	Hosts   []StandinHost `section:"host" doc:"A host that is listed from the start."`
	Log     Log           `section:"log" doc:"Logs."`
}

// Standin holds a stand-in's name and address.
type Standin struct {
	Name   string          `ini:"name" default:"standin" doc:"Name of the stand-in."`
	Listen inifile.Address `ini:"listen" doc:"Address for HTTP."`
	Seed   int64           `ini:"seed" default:"1" doc:"Seed of the chances of faults."`
}

// StoreLimits limits the rate of a store's calls.
type StoreLimits struct {
	ReadsPerSecond  float64 `ini:"reads_per_second" default:"2000" min:"0.1" max:"1000000" doc:"Reads a second."`
	WritesPerSecond float64 `ini:"writes_per_second" default:"400" min:"0.1" max:"1000000" doc:"Writes a second."`
}

// WeightLimits limits the transfers that run at full speed.
type WeightLimits struct {
	Loads          int     `ini:"loads" default:"4" min:"1" max:"100000" doc:"Checkpoints in transit."`
	LoadsPerSecond float64 `ini:"loads_per_second" default:"2.5" min:"0.001" max:"100000" doc:"Checkpoint transfers that start a second."`
	Adapters       int     `ini:"adapters" default:"30" min:"1" max:"100000" doc:"Adapters in transit."`
}

// HostList configures the host list.
type HostList struct {
	Lag        time.Duration `ini:"lag" default:"0s" min:"0s" max:"1h" doc:"Time by which the list runs behind."`
	GoneListed time.Duration `ini:"gone_listed" default:"1m" min:"0s" max:"24h" doc:"Time for which a host that is gone stays listed."`
}

// StandinHost is one host of the list.
type StandinHost struct {
	ID            string          `name:"host's identifier"`
	Role          string          `ini:"role" oneof:"entry endpoint" doc:"What the host runs."`
	State         string          `ini:"state" default:"live" oneof:"live leaving gone" doc:"State of the host."`
	FailureDomain string          `ini:"failure_domain" doc:"Failure domain of the host."`
	Address       inifile.Address `ini:"address" doc:"Address at which the system's process on the host listens."`
	Endpoint      string          `ini:"endpoint" optional:"true" doc:"Name of the endpoint on the host."`
}

// Check implements inifile.Checker.
func (h *StandinHost) Check(r *inifile.Reporter) {
	if !r.Valid("role", "endpoint") {
		return
	}
	if h.Role == "endpoint" && h.Endpoint == "" {
		r.Report("endpoint", "a host with role endpoint names none", "the endpoint's name")
	}
	if h.Role == "entry" && h.Endpoint != "" {
		r.Report("endpoint", "an entry host has no endpoint", "only with role = endpoint")
	}
}

// StandinEngine holds the settings of an engine's stand-in.
type StandinEngine struct {
	Standin Standin        `section:"standin" doc:"The process itself."`
	Engine  EngineBehavior `section:"engine" doc:"How the engine behaves."`
	Log     Log            `section:"log" doc:"Logs."`

	// Credentials are read from the credentials file; empty where none is named.
	Credentials Secret
}

// Check implements inifile.Checker. It also reads the credentials.
func (s *StandinEngine) Check(r *inifile.Reporter) {
	s.Credentials = readCredentials(r.Section("engine", ""), s.Engine.CredentialsFile)
}

// EngineBehavior configures the behavior of a stand-in engine.
type EngineBehavior struct {
	Memory          inifile.Bytes `ini:"memory" default:"80GiB" min:"1B" max:"1024TiB" doc:"Accelerator memory."`
	KV              inifile.Bytes `ini:"kv" default:"8GiB" min:"0B" max:"1024TiB" doc:"Part of the memory that is set aside for the KV cache."`
	MemoryCache     inifile.Bytes `ini:"memory_cache" default:"256GiB" min:"0B" max:"1024TiB" doc:"Cache of checkpoints in host memory."`
	DiskCache       inifile.Bytes `ini:"disk_cache" default:"1TiB" min:"0B" max:"1024TiB" doc:"Cache of checkpoints on local disk."`
	LoadFromMemory  time.Duration `ini:"load_from_memory" default:"500ms" min:"0s" max:"1h" doc:"Time of a load from host memory."`
	LoadFromDisk    time.Duration `ini:"load_from_disk" default:"2s" min:"0s" max:"1h" doc:"Time of a load from local disk."`
	LoadFromStore   time.Duration `ini:"load_from_store" default:"8s" min:"0s" max:"1h" doc:"Time of a load from the weight store at full speed."`
	LoadAdapter     time.Duration `ini:"load_adapter" default:"200ms" min:"0s" max:"1h" doc:"Time of an adapter's load at full speed."`
	Unload          time.Duration `ini:"unload" default:"50ms" min:"0s" max:"1h" doc:"Time of an unload."`
	WeightsURL      inifile.URL   `ini:"weights_url" optional:"true" doc:"Base URL of the weight store; without one loads just take their time."`
	MaxBatch        int           `ini:"max_batch" default:"16" min:"1" max:"100000" doc:"Requests that run at full speed."`
	MaxRunning      int           `ini:"max_running" default:"32" min:"1" max:"100000" doc:"Requests that run."`
	MaxWaiting      int           `ini:"max_waiting" default:"1024" min:"1" max:"1000000" doc:"Requests that wait; others are refused."`
	FirstToken      time.Duration `ini:"first_token" default:"50ms" min:"0s" max:"10m" doc:"Time to the first token."`
	BetweenTokens   time.Duration `ini:"between_tokens" default:"10ms" min:"0s" max:"1m" doc:"Time between tokens."`
	DefaultTokens   int           `ini:"default_tokens" default:"32" min:"1" max:"1000000" doc:"Length of an answer whose request sets no limit."`
	PrefixEntries   int           `ini:"prefix_entries" default:"64" min:"1" max:"1000000" doc:"Cached prompt prefixes."`
	Fencing         string        `ini:"fencing" default:"checks" oneof:"checks ignores" doc:"What happens to orders with old fencing numbers."`
	Overcommit      string        `ini:"overcommit" default:"refused" oneof:"refused fails" doc:"What happens to loads that exceed the memory."`
	CredentialsFile string        `ini:"credentials_file" optional:"true" doc:"File with the credentials that orders must carry; none where left out."`
	ReportLag       time.Duration `ini:"report_lag" default:"1s" min:"0s" max:"10m" doc:"Age of the load report."`
	EventLag        time.Duration `ini:"event_lag" default:"1s" min:"0s" max:"10m" doc:"Lag of cache events."`
}

// Check implements inifile.Checker.
func (e *EngineBehavior) Check(r *inifile.Reporter) {
	orderedPair[int64]{"kv", "memory", int64(e.KV), int64(e.Memory)}.report(r)
	orderedPair[int]{"max_batch", "max_running", e.MaxBatch, e.MaxRunning}.report(r)
}

// StandinService holds the settings of a plain service's stand-in.
type StandinService struct {
	Standin Standin         `section:"standin" doc:"The process itself."`
	Service ServiceBehavior `section:"service" doc:"How the service behaves."`
	Log     Log             `section:"log" doc:"Logs."`
}

// ServiceBehavior configures the behavior of a stand-in service.
type ServiceBehavior struct {
	ServiceTime    time.Duration `ini:"service_time" default:"0s" min:"0s" max:"10m" doc:"Time of a call."`
	Concurrency    int           `ini:"concurrency" default:"64" min:"1" max:"100000" doc:"Calls that run at once; others wait."`
	HidesRequestID bool          `ini:"hides_request_id" default:"false" doc:"Whether the service keeps a request's identifier to itself."`
}
