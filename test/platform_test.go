package test

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas"
	"balsamsail/internal/replicas/replicaspb"
	standin "balsamsail/internal/standin/platform"
)

// platform runs the platform's stand-in in the test process, so that the test can read the table whatever faults are
// set. Each process of the system reaches it through a listener of its own, which rewrites the addresses in the host
// list to those of the process's links.
type platform struct {
	t      *testing.T
	server *standin.Server

	mu sync.Mutex
	// addressOverrides replace host addresses in the host list, by process and host ID.
	addressOverrides map[string]map[string]string

	rowsMu   sync.Mutex
	rows     map[string][]rowVersion
	lastPoll time.Time
}

// rowVersion is one version of a row of grants, written between notBefore and notAfter.
type rowVersion struct {
	notBefore, notAfter time.Time
	row                 *replicaspb.Row
}

const (
	hostsLag        = 100 * time.Millisecond
	goneListed      = time.Hour
	rowPollInterval = 2 * time.Millisecond
)

func startPlatform(t *testing.T) *platform {
	p := &platform{
		t: t,
		server: standin.New(standin.Options{
			HostsLag:      hostsLag,
			GoneRetention: goneListed,
			Weights:       standin.WeightLimits{Loads: 8, LoadsPerSecond: 50, Adapters: 30},
		}),
		addressOverrides: map[string]map[string]string{},
		rows:             map[string][]rowVersion{},
		lastPoll:         time.Now(),
	}
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { p.watchRows(done) })
	t.Cleanup(func() {
		close(done)
		watching.Wait()
	})
	return p
}

// listenFor starts the listener for one process and returns its address.
func (p *platform) listenFor(process string) string {
	p.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	inner := p.server.Handler()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.URL.Path == "/hosts" {
			p.serveHosts(process, inner, w, r)
			return
		}
		inner.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	p.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// serveHosts answers with the host list, with the address overrides of one process.
func (p *platform) serveHosts(process string, inner http.Handler, w http.ResponseWriter, r *http.Request) {
	recorded := httptest.NewRecorder()
	inner.ServeHTTP(recorded, r)
	var answer standin.HostsAnswer
	if recorded.Code != http.StatusOK || json.Unmarshal(recorded.Body.Bytes(), &answer) != nil {
		w.WriteHeader(recorded.Code)
		_, _ = w.Write(recorded.Body.Bytes())
		return
	}
	p.mu.Lock()
	for i, host := range answer.Hosts {
		if address, ok := p.addressOverrides[process][host.ID]; ok {
			answer.Hosts[i].Address = address
		}
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// overrideAddress sets the address that the host list shows to one process for a host.
func (p *platform) overrideAddress(process, host, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addressOverrides[process] == nil {
		p.addressOverrides[process] = map[string]string{}
	}
	p.addressOverrides[process][host] = address
}

// setFaults changes the platform's faults.
func (p *platform) setFaults(change func(*standin.Faults)) { p.server.Faults().Update(change) }

// clearFaults clears the platform's faults.
func (p *platform) clearFaults() { p.setFaults(func(f *standin.Faults) { *f = standin.Faults{} }) }

// setHostsLag sets the additional delay of the host list.
func (p *platform) setHostsLag(lag time.Duration) {
	p.setFaults(func(f *standin.Faults) { f.Hosts.LagSeconds = lag.Seconds() })
}

// setState sets a host's state in the host list.
func (p *platform) setState(host backing.Host, state backing.HostState) {
	host.State = state
	p.server.PutHost(host)
}

// watchRows records the versions of the rows of grants until done is closed.
func (p *platform) watchRows(done <-chan struct{}) {
	ticker := time.NewTicker(rowPollInterval)
	defer ticker.Stop()
	for {
		p.pollRows()
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

func (p *platform) pollRows() {
	p.rowsMu.Lock()
	defer p.rowsMu.Unlock()
	began := time.Now()
	listing := p.server.Rows(replicas.KeyPrefix)
	now := time.Now()
	seen := map[string]bool{}
	for _, stored := range listing.Rows {
		row, err := replicas.DecodeRow(stored)
		if err != nil {
			p.t.Errorf("decode row %s: %v", stored.Key, err)
			continue
		}
		seen[row.Model] = true
		p.recordRow(row, now)
	}
	for model := range p.rows {
		if !seen[model] {
			p.recordRow(&replicaspb.Row{Model: model}, now)
		}
	}
	p.lastPoll = began
}

// recordRow records a row's version if it differs from the last one. The caller holds rowsMu.
func (p *platform) recordRow(row *replicaspb.Row, now time.Time) {
	versions := p.rows[row.Model]
	if n := len(versions); n > 0 && versions[n-1].row.Revision == row.Revision {
		return
	}
	p.rows[row.Model] = append(versions, rowVersion{notBefore: p.lastPoll, notAfter: now, row: proto.CloneOf(row)})
}

// rowHistory returns the recorded versions of all rows, by model.
func (p *platform) rowHistory() map[string][]rowVersion {
	p.pollRows()
	p.rowsMu.Lock()
	defer p.rowsMu.Unlock()
	history := map[string][]rowVersion{}
	for model, versions := range p.rows {
		history[model] = append([]rowVersion(nil), versions...)
	}
	return history
}
