package settings

import (
	"time"

	"balsamsail/internal/settings/inifile"
)

// Experiment describes a site and its demand for a comparison of placement policies.
type Experiment struct {
	Run      ExperimentRun        `section:"run" doc:"The comparison."`
	Engines  ExperimentEngines    `section:"engines" doc:"The engines and their models."`
	Weights  ExperimentWeights    `section:"weights" doc:"Where weights come from, and how long loads take."`
	Requests []ExperimentRequests `section:"requests" doc:"A kind of request."`
}

// ExperimentRun configures the comparison.
type ExperimentRun struct {
	Policies []string      `ini:"policies" doc:"Policies, separated by commas: current, none, demand, pipe, foresight."`
	Seeds    int           `ini:"seeds" default:"5" min:"1" max:"1000" doc:"Days that each policy plays."`
	First    int           `ini:"first_seed" default:"1" min:"0" max:"1000000000" doc:"Seed of the first day."`
	Lead     time.Duration `ini:"lead" default:"12s" min:"0s" max:"1h" doc:"Time before the first request."`
	LossAt   time.Duration `ini:"loss_at" default:"0s" min:"0s" max:"24h" doc:"When, from the first request on, all engines lose what they hold in memory and run; 0s: never."`
	Length   time.Duration `ini:"length" default:"40s" min:"1s" max:"24h" doc:"Time with requests."`
}

// ExperimentEngines describes the engines of a site, which are all identical.
type ExperimentEngines struct {
	Count        int           `ini:"count" min:"1" max:"10000" doc:"Engines."`
	Models       int           `ini:"models" min:"1" max:"100000" doc:"Models."`
	Places       int           `ini:"places" min:"1" max:"1000" doc:"Models that an engine holds at once."`
	Batch        int           `ini:"batch" min:"1" max:"10000" doc:"Requests that an engine runs at once."`
	Step         time.Duration `ini:"step" min:"10us" max:"1s" doc:"Time for one token of each request that runs, with one request."`
	StepPerRun   time.Duration `ini:"step_per_run" default:"0s" min:"0s" max:"1s" doc:"Further time of a step for each request that runs."`
	ReadPerMS    float64       `ini:"read_per_ms" min:"0.001" max:"1000000" doc:"Prompt tokens that an engine reads in a millisecond."`
	EventTokens  int           `ini:"event_tokens" default:"8" min:"1" max:"1000" doc:"Tokens in one event of a stream."`
	WithAdapters int           `ini:"with_adapters" default:"0" min:"0" max:"100000" doc:"Of so many first models every other one has adapters, by which a policy may guess that many callers use it."`
	Spread       int           `ini:"spread" default:"3" min:"1" max:"10000" doc:"Engines that hold the busiest model at the start; all others have one."`
}

// ExperimentWeights describes weight loads.
type ExperimentWeights struct {
	StoreTime    time.Duration `ini:"store_time" min:"1ms" max:"1h" doc:"Load from the weight store at full speed."`
	DiskTime     time.Duration `ini:"disk_time" min:"1ms" max:"1h" doc:"Load from the host's disk."`
	MemoryTime   time.Duration `ini:"memory_time" min:"1ms" max:"1h" doc:"Load from the host's memory."`
	FullSpeed    int           `ini:"full_speed" min:"1" max:"10000" doc:"Loads from the store that run at full speed at once; beyond it each takes longer in proportion."`
	PerSecond    float64       `ini:"per_second" min:"0.001" max:"10000" doc:"Loads that the store begins in a second."`
	FirstCopies  int           `ini:"first_copies" default:"0" min:"0" max:"100000" doc:"Models whose weights each engine's disk keeps at the start beside those that it holds, drawn by the seed."`
	DiskCopies   int           `ini:"disk_copies" min:"0" max:"100000" doc:"Models whose weights an engine's disk keeps."`
	MemoryCopies int           `ini:"memory_copies" min:"0" max:"100000" doc:"Models whose weights the host's memory keeps."`
}

// ExperimentRequests describes one kind of request.
type ExperimentRequests struct {
	Name      string        `name:"Name in reports."`
	PerSecond float64       `ini:"per_second" min:"0" max:"1000000" doc:"Requests in a second, over all models."`
	First     int           `ini:"first_model" default:"0" min:"0" max:"100000" doc:"First of the models that are asked for."`
	Models    int           `ini:"models" min:"1" max:"100000" doc:"How many models from there on."`
	Active    int           `ini:"active" default:"0" min:"0" max:"100000" doc:"How many of them are asked for at one time; 0: all. The others rest, and demand moves on by one model at a time."`
	Move      time.Duration `ini:"move" default:"10s" min:"1s" max:"24h" doc:"Mean time between two such moves; each takes five seconds."`
	Prompt    int           `ini:"prompt_tokens" default:"628" min:"0" max:"1000000" doc:"Mean length of a prompt."`
	Events    int           `ini:"events" default:"40" min:"1" max:"100000" doc:"Mean length of an answer."`
	Aim       time.Duration `ini:"aim" min:"1ms" max:"1h" doc:"Time to the first event up to which an answer is on time."`
	PauseAim  time.Duration `ini:"pause_aim" default:"250ms" min:"1ms" max:"1h" doc:"Pause between events up to which it still is."`
	Deadline  time.Duration `ini:"deadline" min:"1ms" max:"24h" doc:"Time after which the client has left."`
	Worth     float64       `ini:"worth" min:"0" max:"1000000" doc:"What an answer on time is worth."`
	LateWorth float64       `ini:"late_worth" min:"0" max:"1000000" doc:"What a late one is worth."`
}

// Check implements inifile.Checker.
func (r *ExperimentRequests) Check(p *inifile.Reporter) {
	if p.Valid("active", "models") && r.Active > r.Models {
		p.Report("active", "more models are asked for than there are", "at most models")
	}
	if p.Valid("late_worth", "worth") && r.LateWorth > r.Worth {
		p.Report("late_worth", "a late answer is worth more than one on time", "at most worth")
	}
}

// LoadExperiment reads an experiment from a file.
func LoadExperiment(path string, sets ...string) (*Experiment, error) {
	return load[Experiment](path, sets)
}
