package app

import (
	"bytes"
	"context"
	_ "embed" // The declarations that dev starts with.
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

// ErrDevAddress says that dev cannot use the address given to it.
var ErrDevAddress = errors.New("app: dev needs an IP address and a port from 1 to 65000")

//go:embed dev_declarations.ini
var devDeclarations string

//go:embed dev_settings.tmpl
var devSettings string

// DevOptions are the settings of Dev.
type DevOptions struct {
	// Listen is the address for callers; the other processes take the ports above it.
	Listen string
	// Out is where the ready message goes and Log where the processes log.
	Out io.Writer
	Log Output
	// LogLevel is the least level that is logged.
	LogLevel string
}

// devEndpoint is one endpoint of dev, beside which an agent runs.
type devEndpoint struct {
	Name, Kind, Domain string
	// Port is the endpoint's, AgentPort the agent's and HTTPPort that of the agent's metrics.
	Port, AgentPort, HTTPPort int
	// Fences says whether the engine checks fencing numbers.
	Fences bool
}

// devSite is what the settings of dev are made from.
type devSite struct {
	IP                            string
	Port, OperatorPort, StorePort int
	Endpoints                     []devEndpoint
	LogLevel                      string
}

// The ports of dev, above the one for callers.
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
	// Stand-ins stop last, so that the requests in flight can end.
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
	startDev(d, group, "platform", nil, func(c *settings.StandinPlatform) error { return RunStandinPlatform(standins, c, log) })
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Kind == settings.KindEngine {
			startDev(d, group, "engine", e, func(c *settings.StandinEngine) error { return RunStandinEngine(standins, c, log) })
		} else {
			startDev(d, group, "service", e, func(c *settings.StandinService) error { return RunStandinService(standins, c, log) })
		}
		startDev(d, roles, "agent", e, func(c *settings.Agent) error { return RunAgent(ctx, c, log) })
	}
	startDev(d, roles, "entry", nil, func(c *settings.Entry) error { return RunEntry(ctx, c, log) })
	return d.err
}

// devStarter makes settings from the templates; it keeps the first error.
type devStarter struct {
	site      *devSite
	templates *template.Template
	log       Output
	err       error
}

// startDev runs one process of dev with the settings that a template gives.
func startDev[S any](d *devStarter, group *errgroup.Group, name string, e *devEndpoint, run func(*S) error) {
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
	devPatience = 30 * time.Second
	devInterval = 100 * time.Millisecond
)

// declare applies the first declarations once the entry answers, and tells how to try the system.
func (s *devSite) declare(ctx context.Context, out io.Writer) error {
	operators := fmt.Sprintf("http://%s:%d", s.IP, s.OperatorPort)
	client := operator.NewClient([]string{operators}, http.DefaultClient)
	wait, cancel := context.WithTimeout(ctx, devPatience)
	defer cancel()
	accepted, err := s.apply(wait, client)
	if err != nil || ctx.Err() != nil {
		return err
	}
	if _, err := operator.Wait(wait, client, accepted.Revision); err != nil && ctx.Err() == nil {
		return err
	}
	callers := fmt.Sprintf("http://%s:%d", s.IP, s.Port)
	_, err = fmt.Fprintf(out, devReady, callers, operators, callers, callers, operators)
	return err
}

// apply tries until the entry takes the declarations.
func (s *devSite) apply(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
	for {
		request := operator.ApplyRequest{INI: devDeclarations, File: "dev", Edit: operator.Edit{Author: "dev", OperationID: "dev-start"}}
		accepted, err := client.Apply(ctx, request)
		if err == nil || ctx.Err() != nil || !again(err) {
			return accepted, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(devInterval):
		}
	}
}

// again reports whether an edit that failed while the processes start may be tried again.
func again(err error) bool {
	var unavailable *operator.UnavailableError
	return errors.Is(err, operator.ErrUnreachable) || errors.As(err, &unavailable)
}

const devReady = `balsamsail is ready.

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
