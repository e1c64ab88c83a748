package test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/faultlink"
	"balsamsail/internal/operator"
	"balsamsail/internal/settings"
)

// The failure domains of a cluster.
const (
	east = "east"
	west = "west"
)

// entryHost is the host of an entry.
type entryHost struct {
	name, domain, ip string
	process          *process
}

func (e *entryHost) callersURL() string   { return "http://" + hostPort(e.ip, portCaller) }
func (e *entryHost) operatorsURL() string { return "http://" + hostPort(e.ip, portOperator) }

// host returns the entry's record in the host list.
func (e *entryHost) host() backing.Host {
	return backing.Host{
		ID:            e.name,
		Role:          backing.RoleEntry,
		State:         backing.HostLive,
		FailureDomain: e.domain,
		Address:       hostPort(e.ip, portOperator),
	}
}

// endpointHost is the host of an endpoint and its agent.
type endpointHost struct {
	name, kind, domain, ip string
	// checksFencing makes the engine refuse orders with old fencing tokens, requiresCredentials makes it check
	// credentials. keepsIdleModels makes the agent keep idle models loaded until their memory is needed.
	checksFencing, requiresCredentials, keepsIdleModels bool
	server, agent                                       *process
	// gone reports that the host was removed; finalTruth is the endpoint's truth just before.
	gone       bool
	finalTruth *truth
}

func (e *endpointHost) url() string      { return "http://" + hostPort(e.ip, portEndpoint) }
func (e *endpointHost) agentURL() string { return "http://" + hostPort(e.ip, portAgentHTTP) }

// host returns the endpoint's record in the host list.
func (e *endpointHost) host() backing.Host {
	return backing.Host{
		ID:            "host-" + e.name,
		Role:          backing.RoleEndpoint,
		State:         backing.HostLive,
		FailureDomain: e.domain,
		Address:       hostPort(e.ip, portAgent),
		Endpoint:      e.name,
	}
}

// cluster is a complete system: real processes, the links between them, and the platform's stand-in in the test
// process.
type cluster struct {
	t              *testing.T
	dir            string
	platform       *platform
	entries        []*entryHost
	endpoints      []*endpointHost
	links          map[linkID]*faultlink.Link
	linkIP         string
	operatorClient *operator.Client
	// initialRevision is the revision of the first declarations, startedAt the time at which the cluster began to
	// start.
	initialRevision uint64
	startedAt       time.Time
	// background runs the repeated actions of a failure between inject and heal.
	background background
	// edits are the edits made by failures; editsMu guards them.
	editsMu sync.Mutex
	edits   []*edit
}

// linkID identifies a link by the connecting process and its peer.
type linkID struct{ from, to string }

// The peers of links that are not processes of the binary.
const (
	platformEnd = "platform"
	weightsEnd  = "weights"
)

func agentName(endpoint string) string { return "agent-" + endpoint }

// newCluster starts three entries, four engines (two of them check fencing tokens) and two plain services in two
// failure domains. It waits until all of them are ready and the first declarations are in force.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		t:         t,
		dir:       t.TempDir(),
		links:     map[linkID]*faultlink.Link{},
		linkIP:    allocateAddress(t),
		platform:  startPlatform(t),
		startedAt: time.Now(),
	}
	t.Cleanup(c.closeLinks)
	t.Cleanup(c.report)
	t.Cleanup(c.background.stop)
	c.entries = []*entryHost{
		{name: "entry-1", domain: east},
		{name: "entry-2", domain: west},
		{name: "entry-3", domain: east},
	}
	c.endpoints = []*endpointHost{
		{name: "engine-1", kind: settings.KindEngine, domain: east, checksFencing: true, requiresCredentials: true},
		{name: "engine-2", kind: settings.KindEngine, domain: west, checksFencing: true, keepsIdleModels: true},
		{name: "engine-3", kind: settings.KindEngine, domain: east, keepsIdleModels: true},
		{name: "engine-4", kind: settings.KindEngine, domain: west},
		{name: "ledger-1", kind: settings.KindService, domain: east},
		{name: "ledger-2", kind: settings.KindService, domain: west},
	}
	c.start()
	return c
}

// start adds the hosts to the host list, starts all processes and applies the first declarations.
func (c *cluster) start() {
	c.t.Helper()
	for _, e := range c.entries {
		e.ip = allocateAddress(c.t)
		c.platform.server.PutHost(e.host())
	}
	for _, e := range c.endpoints {
		e.ip = allocateAddress(c.t)
		c.platform.server.PutHost(e.host())
	}
	for _, e := range c.endpoints {
		c.prepareEndpoint(e)
		e.server.start()
		e.agent.start()
	}
	for _, e := range c.entries {
		c.prepareEntry(e)
		e.process.start()
	}
	for _, p := range c.processes() {
		p.awaitReady()
	}
	c.applyDeclarations()
}

// prepareEndpoint creates the links, settings files and processes of an endpoint and its agent, without starting them.
func (c *cluster) prepareEndpoint(e *endpointHost) {
	agent := agentName(e.name)
	c.addLink(agent, e.name, hostPort(e.ip, portEndpoint))
	c.addLink(agent, platformEnd, c.platform.listenFor(agent))
	c.addLink(e.name, weightsEnd, c.platform.listenFor(e.name))
	values := endpointSettings{
		Name:        e.name,
		Host:        e.host().ID,
		Domain:      e.domain,
		Kind:        e.kind,
		Labels:      "pool=models",
		Endpoint:    hostPort(e.ip, portEndpoint),
		EndpointURL: "http://" + c.link(agent, e.name).Address(),
		Agent:       hostPort(e.ip, portAgent),
		AgentHTTP:   hostPort(e.ip, portAgentHTTP),
		PlatformURL: "http://" + c.link(agent, platformEnd).Address(),
		WeightsURL:  "http://" + c.link(e.name, weightsEnd).Address(),
		Fences:      e.checksFencing,
		IdleMin:     100 * time.Millisecond,
		IdleMax:     300 * time.Millisecond,
	}
	if e.keepsIdleModels {
		values.IdleMin, values.IdleMax = time.Minute, time.Hour
	}
	if e.kind == settings.KindService {
		values.Labels = "pool=ledger"
	}
	if e.requiresCredentials {
		values.Credentials = writeFile(c.t, c.dir, e.name+".token", "token-of-"+e.name+"\n")
	}
	endpointFile := writeSettings(c.t, c.dir, e.kind, e.name, values)
	e.server = newProcess(c.t, c.dir, e.name, e.url()+"/truth", "standin", e.kind, "-config", endpointFile)
	agentFile := writeSettings(c.t, c.dir, "agent", agent, values)
	e.agent = newProcess(c.t, c.dir, agent, e.agentURL()+"/readyz", "agent", "-config", agentFile)
}

// endpointSettings are the values for the settings templates of an endpoint and its agent.
type endpointSettings struct {
	Name, Host, Domain, Kind, Labels string
	Endpoint, EndpointURL            string
	Agent, AgentHTTP                 string
	PlatformURL, WeightsURL          string
	Credentials                      string
	Fences                           bool
	IdleMin, IdleMax                 time.Duration
}

// entrySettings are the values for the settings template of an entry.
type entrySettings struct {
	Name, Domain, Callers, Operators, PlatformURL string
}

// prepareEntry creates the links, settings file and process of an entry, without starting it.
func (c *cluster) prepareEntry(e *entryHost) {
	c.addLink(e.name, platformEnd, c.platform.listenFor(e.name))
	for _, endpoint := range c.endpoints {
		c.addLink(e.name, endpoint.name, hostPort(endpoint.ip, portAgent))
		c.platform.overrideAddress(e.name, endpoint.host().ID, c.link(e.name, endpoint.name).Address())
	}
	for _, other := range c.entries {
		if other == e {
			continue
		}
		c.addLink(e.name, other.name, hostPort(other.ip, portOperator))
		c.platform.overrideAddress(e.name, other.name, c.link(e.name, other.name).Address())
	}
	file := writeSettings(c.t, c.dir, "entry", e.name, entrySettings{
		Name:        e.name,
		Domain:      e.domain,
		Callers:     hostPort(e.ip, portCaller),
		Operators:   hostPort(e.ip, portOperator),
		PlatformURL: "http://" + c.link(e.name, platformEnd).Address(),
	})
	e.process = newProcess(c.t, c.dir, e.name, e.operatorsURL()+"/readyz", "entry", "-config", file)
}

func (c *cluster) addLink(from, to, target string) {
	c.t.Helper()
	l, err := faultlink.New(hostPort(c.linkIP, 0), target)
	if err != nil {
		c.t.Fatal(err)
	}
	c.links[linkID{from, to}] = l
}

// link returns the link from one process to another.
func (c *cluster) link(from, to string) *faultlink.Link {
	c.t.Helper()
	l, ok := c.links[linkID{from, to}]
	if !ok {
		c.t.Fatalf("no link from %s to %s", from, to)
	}
	return l
}

func (c *cluster) closeLinks() {
	for _, l := range c.links {
		l.Close()
	}
}

// processes returns all processes of the cluster.
func (c *cluster) processes() []*process {
	var list []*process
	for _, e := range c.endpoints {
		list = append(list, e.server, e.agent)
	}
	for _, e := range c.entries {
		list = append(list, e.process)
	}
	return list
}

// applyDeclarations applies the first declarations and waits until they are in force everywhere.
func (c *cluster) applyDeclarations() {
	c.t.Helper()
	var urls []string
	for _, e := range c.entries {
		urls = append(urls, e.operatorsURL())
	}
	c.operatorClient = operator.NewClient(urls, &http.Client{Timeout: 10 * time.Second})
	ctx, cancel := context.WithTimeout(c.t.Context(), readyTimeout)
	defer cancel()
	accepted, err := c.operatorClient.Apply(ctx, operator.ApplyRequest{
		INI:  declarationsText,
		File: "first.ini",
		Edit: operator.Edit{Author: "test"},
	})
	if err != nil {
		c.t.Fatalf("apply the first declarations: %v", err)
	}
	c.initialRevision = accepted.Revision
	// The host list lags, so an entry's list of live processes may still be incomplete.
	eventually(c.t, readyTimeout, "the first declarations are in force in all processes", func() bool {
		return c.inForceEverywhere(accepted.Revision)
	})
}

// inForceEverywhere reports whether each entry lists every process of the cluster as having a revision in force.
func (c *cluster) inForceEverywhere(revision uint64) bool {
	for _, e := range c.entries {
		client := operator.NewClient([]string{e.operatorsURL()}, controlClient)
		seen, err := client.InForce(c.t.Context(), revision)
		if err != nil || len(seen.Missing()) > 0 || len(seen.Processes) < len(c.entries)+len(c.endpoints) {
			return false
		}
	}
	return true
}

func (c *cluster) entry(name string) *entryHost {
	c.t.Helper()
	for _, e := range c.entries {
		if e.name == name {
			return e
		}
	}
	c.t.Fatalf("no entry %q", name)
	return nil
}

func (c *cluster) endpoint(name string) *endpointHost {
	c.t.Helper()
	for _, e := range c.endpoints {
		if e.name == name {
			return e
		}
	}
	c.t.Fatalf("no endpoint %q", name)
	return nil
}

// logLines is the number of lines of each process log that a failed test shows.
const logLines = 15

// report shows the last lines of all process logs of a failed test. With -keep-logs it copies the logs.
func (c *cluster) report() {
	if !c.t.Failed() {
		return
	}
	for _, p := range c.processes() {
		if p != nil {
			c.t.Logf("log of %s:\n%s", p.name, p.logTail(logLines))
		}
	}
	if *keepLogs == "" {
		return
	}
	target := filepath.Join(*keepLogs, filepath.Base(c.t.Name())+fmt.Sprintf("-%d", time.Now().UnixNano()))
	if err := os.CopyFS(target, os.DirFS(c.dir)); err != nil {
		c.t.Logf("copy the logs: %v", err)
	}
}
