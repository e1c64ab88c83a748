package settings

import (
	"time"

	"balsamsail/internal/settings/inifile"
)

// Platform holds the addresses of the platform's services.
type Platform struct {
	TableURL   inifile.URL   `ini:"table_url" doc:"Base URL of the transactional table."`
	ObjectsURL inifile.URL   `ini:"objects_url" doc:"Base URL of the object store."`
	HostsURL   inifile.URL   `ini:"hosts_url" doc:"Base URL of the host list."`
	Timeout    time.Duration `ini:"timeout" default:"2s" min:"10ms" max:"1m" doc:"Bound of one call."`
}

// Wire configures the connections between entries and agents.
type Wire struct {
	DialTimeout   time.Duration `ini:"dial_timeout" default:"1s" min:"10ms" max:"1m" doc:"Bound of the making of a connection."`
	KeepAlive     time.Duration `ini:"keep_alive" default:"2s" min:"100ms" max:"5m" doc:"Time between probes of an idle connection."`
	WriteTimeout  time.Duration `ini:"write_timeout" default:"3s" min:"100ms" max:"5m" doc:"Time in which a probe must be answered and a write must be taken."`
	HeaderTimeout time.Duration `ini:"header_timeout" default:"5s" min:"100ms" max:"1m" doc:"Bound of the wait for the first message of a stream."`
}

// Timeline configures the recording of events.
type Timeline struct {
	Size int `ini:"size" default:"8192" min:"1" max:"1000000" doc:"Events that the process keeps; older ones are dropped."`
}

// Log configures logging.
type Log struct {
	Level  string `ini:"level" default:"info" oneof:"debug info warn error" doc:"Least level that is logged."`
	Format string `ini:"format" default:"text" oneof:"text json" doc:"Form of a log line."`
}

// reportDuplicateAddresses reports listen addresses of a section that are equal. Port 0 selects a free port each time,
// so it may be used more than once.
func reportDuplicateAddresses(r *inifile.Reporter, keys []string, addresses []inifile.Address) {
	for i, address := range addresses {
		for j := range i {
			if address != "" && address == addresses[j] && !isPortZero(address) {
				r.Report(keys[i], "the address is "+keys[j]+"'s too", "an address of its own")
			}
		}
	}
}

func isPortZero(address inifile.Address) bool {
	return len(address) > 2 && address[len(address)-2:] == ":0"
}

// orderedPair is a pair of keys of which the first must not exceed the second.
type orderedPair[T int | int64 | time.Duration] struct {
	lowKey, highKey string
	low, high       T
}

// report reports a problem with the first key if its value exceeds the second's.
func (o orderedPair[T]) report(r *inifile.Reporter) {
	if r.Valid(o.lowKey, o.highKey) && o.low > o.high {
		r.Report(o.lowKey, "the value is above "+o.highKey, "at most "+o.highKey)
	}
}
