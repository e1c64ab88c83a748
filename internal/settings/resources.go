package settings

import "balsamsail/internal/settings/inifile"

// Resources are the limits of the host for one process. What clients and peers can make the process hold is bounded by shares of them.
type Resources struct {
	Memory          inifile.Bytes `ini:"memory" default:"1GiB" min:"64MB" max:"1TiB" doc:"Memory that the host gives the process. An eighth of it bounds the connections of clients, a quarter what else they can make the process hold: request heads and bodies, requests in flight, responses that are not read."`
	Descriptors     int           `ini:"descriptors" default:"4096" min:"256" max:"10000000" doc:"Descriptors that the process may have open. A third of those for sockets bounds the connections of clients; see the page on operations."`
	FileDescriptors int           `ini:"file_descriptors" default:"200" min:"0" max:"1000000" doc:"Descriptors among them that only files may use."`
}

// minSockets is the least number of descriptors for sockets: with fewer, the shares of clients and endpoints have no room for a
// dozen connections each. The check names it.
const minSockets = 48

// Check implements inifile.Checker.
func (r *Resources) Check(p *inifile.Reporter) {
	if p.Valid("descriptors", "file_descriptors") && r.Descriptors-r.FileDescriptors < minSockets {
		p.Report("descriptors", "too few are left for sockets", "at least 48 more than file_descriptors")
	}
}
