package app

import (
	"bytes"
	"context"
	_ "embed" // Embeds the declarations and settings templates of dev.
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"text/template"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"balsamsail/internal/operator"
	"balsamsail/internal/settings"
)

// ErrDevAddress reports that dev cannot use its listen address.
var ErrDevAddress = errors.New("app: dev needs an IP address and a port from 1 to 65000")

//go:embed dev_declarations.ini
var devDeclarations string

//go:embed dev_settings.tmpl
var devSettings string

// DevOptions are the settings of Dev.
type DevOptions struct {
	// Listen is the address for callers. The other processes listen on the ports above it.
	Listen string
	// Out receives the ready message and Log the log lines of all processes.
	Out io.Writer
	Log Output
	// LogLevel is the minimum level that is logged.
	LogLevel string
}

// devEndpoint is an endpoint of dev and its agent.
type devEndpoint struct {
	Name, Kind, Domain string
	// Port is the endpoint's port, AgentPort its agent's, and HTTPPort the port of the agent's metrics.
	Port, AgentPort, HTTPPort int
	// Fences reports whether the engine checks fencing tokens.
	Fences bool
}

// devSite holds the data for the settings templates of dev.
type devSite struct {
	IP                            string
	Port, OperatorPort, StorePort int
	Endpoints                     []devEndpoint
	LogLevel                      string
}

// Port offsets of dev, relative to the port for callers.
const (
	devOperatorOffset = 1
	devStoreOffset    = 2
	devEndpointOffset = 10
	devAgentOffset    = 20
	devHTTPOffset     = 30
	devLastPort       = 65000
)

func newDevSite(o DevOptions) (*devSite, error) {
	address, err := netip.ParseAddrPort(o.Listen)
	if err != nil || address.Port() == 0 || address.Port() > devLastPort {
		return nil, errors.Wrapf(ErrDevAddress, "%q", o.Listen)
	}
	port := int(address.Port())
	site := &devSite{
		IP:           address.Addr().String(),
		Port:         port,
		OperatorPort: port + devOperatorOffset,
		StorePort:    port + devStoreOffset,
		LogLevel:     o.LogLevel,
	}
	site.add("engine-1", settings.KindEngine, "domain-a", true)
	site.add("engine-2", settings.KindEngine, "domain-b", true)
	site.add("engine-3", settings.KindEngine, "domain-a", false)
	site.add("engine-4", settings.KindEngine, "domain-b", false)
	site.add("ledger-1", settings.KindService, "domain-a", false)
	return site, nil
}

func (s *devSite) add(name, kind, domain string, fences bool) {
	n := len(s.Endpoints)
	s.Endpoints = append(s.Endpoints, devEndpoint{
		Name:      name,
		Kind:      kind,
		Domain:    domain,
		Port:      s.Port + devEndpointOffset + n,
		AgentPort: s.Port + devAgentOffset + n,
		HTTPPort:  s.Port + devHTTPOffset + n,
		Fences:    fences,
	})
}

// Dev runs the whole system and its stand-ins in one process until ctx ends.
func Dev(ctx context.Context, o DevOptions) error {
	site, err := newDevSite(o)
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	// Stand-ins stop last so that in-flight requests can complete.
	standins, stopStandins := context.WithCancel(context.WithoutCancel(groupCtx))
	var roles errgroup.Group
	if err := site.start(groupCtx, standins, group, &roles, o.Log); err != nil {
		stopStandins()
		return err
	}
	group.Go(func() error {
		defer stopStandins()
		return roles.Wait()
	})
	group.Go(func() error { return site.declare(groupCtx, o.Out) })
	return group.Wait()
}

// start starts all processes.
func (s *devSite) start(ctx, standins context.Context, group, roles *errgroup.Group, log Output) error {
	templates, err := template.New("dev").Parse(devSettings)
	if err != nil {
		return errors.Wrap(ErrAssemble, err.Error())
	}
	d := &devStarter{site: s, templates: templates, log: log}
	startDevProcess(d, group, "platform", nil, func(c *settings.StandinPlatform) error { return RunStandinPlatform(standins, c, log) })
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Kind == settings.KindEngine {
			startDevProcess(d, group, "engine", e, func(c *settings.StandinEngine) error { return RunStandinEngine(standins, c, log) })
		} else {
			startDevProcess(d, group, "service", e, func(c *settings.StandinService) error { return RunStandinService(standins, c, log) })
		}
		startDevProcess(d, roles, "agent", e, func(c *settings.Agent) error { return RunAgent(ctx, c, log) })
	}
	startDevProcess(d, roles, "entry", nil, func(c *settings.Entry) error { return RunEntry(ctx, c, log) })
	return d.err
}

// devStarter renders settings from the templates. After an error it starts no further processes and keeps the error.
type devStarter struct {
	site      *devSite
	templates *template.Template
	log       Output
	err       error
}

// startDevProcess runs one process of dev with the settings rendered from the named template.
func startDevProcess[S any](d *devStarter, group *errgroup.Group, name string, e *devEndpoint, run func(*S) error) {
	if d.err != nil {
		return
	}
	var text bytes.Buffer
	data := struct {
		*devSite
		E *devEndpoint
	}{d.site, e}
	if err := d.templates.ExecuteTemplate(&text, name, data); err != nil {
		d.err = errors.Wrap(ErrAssemble, err.Error())
		return
	}
	s, err := settings.Parse[S](settings.Source{File: "dev " + name, Data: text.Bytes()})
	if err != nil {
		d.err = err
		return
	}
	group.Go(func() error { return run(s) })
}

const (
	devStartTimeout  = 30 * time.Second
	devRetryInterval = 100 * time.Millisecond
)

// declare applies the initial declarations once the entry answers, waits until they are in force, and prints how to try the
// system.
func (s *devSite) declare(ctx context.Context, out io.Writer) error {
	operators := fmt.Sprintf("http://%s:%d", s.IP, s.OperatorPort)
	client := operator.NewClient([]string{operators}, http.DefaultClient)
	startCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	accepted, err := s.apply(startCtx, client)
	if err != nil || ctx.Err() != nil {
		return err
	}
	if _, err := operator.Wait(startCtx, client, accepted.Revision); err != nil && ctx.Err() == nil {
		return err
	}
	callers := fmt.Sprintf("http://%s:%d", s.IP, s.Port)
	_, err = fmt.Fprintf(out, devReadyMessage, callers, operators, callers, callers, operators)
	return err
}

// apply retries until the entry accepts the declarations.
func (s *devSite) apply(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
	for {
		request := operator.ApplyRequest{INI: devDeclarations, File: "dev", Edit: operator.Edit{Author: "dev", OperationID: "dev-start"}}
		accepted, err := client.Apply(ctx, request)
		if err == nil || ctx.Err() != nil || !retryable(err) {
			return accepted, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(devRetryInterval):
		}
	}
}

// retryable reports whether an edit failed because the processes are still starting.
func retryable(err error) bool {
	var unavailable *operator.UnavailableError
	return errors.Is(err, operator.ErrUnreachable) || errors.As(err, &unavailable)
}

const devReadyMessage = `balsamsail is ready.

  callers    %s
  operators  %s

Try a model that is asleep; it is loaded for you:

  curl -N %s/v1/chat/completions -d '{"model":"narrator","stream":true,"messages":[{"role":"user","content":"layer 3 is loose"}]}'

A plain service:

  curl %s/ledger/notices -H 'Idempotency-Key: notice-1' -d '{"amount":120}'

What is warm, and why:

  go run ./cmd/balsamsail status -entries %s

Ctrl-C stops it.
`
