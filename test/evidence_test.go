package test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"balsamsail/internal/timeline"
)

// evidence is all that a run of a scenario left: what callers, operators and observers saw, and what really happened.
type evidence struct {
	cluster      *cluster
	exchanges    []*exchange
	edits        []*edit
	observations []observation
	truth        *truth
	rows         map[string][]rowVersion
	// planned says that nothing but planned stops happened, so that no request may have been lost.
	onlyPlannedStops bool
}

// run is a cluster under load and observation.
type run struct {
	cluster  *cluster
	workload *workload
	editors  *editors
	monitor  *monitor
}

// startRun starts a cluster with all that a scenario needs and waits until every kind of request is served.
func startRun(t *testing.T) *run {
	t.Helper()
	c := newCluster(t)
	r := &run{cluster: c, workload: startWorkload(c), editors: startEditors(c), monitor: startMonitor(c)}
	// A test that ends early must not leave callers behind, who would soon meet another cluster at the same addresses.
	t.Cleanup(func() {
		r.editors.stop()
		r.workload.stop()
		r.monitor.stop()
	})
	r.workload.awaitServed(5, 15*time.Second)
	return r
}

// finish ends the load and gathers the evidence.
func (r *run) finish() *evidence {
	r.cluster.t.Helper()
	c := r.cluster
	e := &evidence{cluster: c, exchanges: r.workload.stop(), edits: append(r.editors.stop(), c.edits...)}
	c.resolveUnknownEdits(e.edits)
	e.observations = r.monitor.stop()
	c.awaitIdle()
	e.truth = c.readTruth()
	e.rows = c.platform.rowHistory()
	c.t.Logf("requests: %s", summarize(e.exchanges))
	c.t.Logf("endpoints: %s", e.truth)
	c.t.Logf("edits: %s", summarizeEdits(e.edits))
	return e
}

// awaitQuiet waits until no endpoint runs a request any more, so that its truth is complete.
func (c *cluster) awaitIdle() {
	c.t.Helper()
	for _, e := range c.endpoints {
		if e.gone {
			continue
		}
		var report struct{ Running, Waiting int }
		eventually(c.t, maxAnswer+readyTimeout, e.name+" is quiet", func() bool {
			err := getJSON(e.url()+"/admin/report", &report)
			return err == nil && report.Running == 0 && report.Waiting == 0
		})
	}
}

// absent reports whether a process was away at any time of a span, because the test had killed, frozen or cut it off.
func (c *cluster) wasDown(process string, begin, end time.Time) bool {
	for _, p := range c.processes() {
		if p.name == process {
			return p.downtime.overlaps(begin, end)
		}
	}
	return false
}

// violations gathers what breaks one property.
type violations struct {
	property string
	list     []violation
}

// violation is one way in which a property was broken; request, if not empty, names the request concerned.
type violation struct{ text, request string }

func (v *violations) add(format string, args ...any) {
	v.list = append(v.list, violation{text: fmt.Sprintf(format, args...)})
}

// addExchange adds what is wrong with an exchange.
func (v *violations) addExchange(what string, x *exchange) {
	v.list = append(v.list, violation{text: what + ": " + x.String(), request: x.requestID})
}

// What a failed property shows.
const (
	maxShownViolations = 8
	maxShownTimelines  = 3
)

// report fails the test with the first violations and the time lines of their requests.
func (v *violations) report(c *cluster) {
	c.t.Helper()
	if len(v.list) == 0 {
		return
	}
	c.t.Errorf("%s: %d violations", v.property, len(v.list))
	for i, one := range v.list[:min(len(v.list), maxShownViolations)] {
		c.t.Logf("%s: %s", v.property, one.text)
		if one.request != "" && i < maxShownTimelines {
			c.t.Logf("time line of %s:\n%s", one.request, c.timeline(one.request))
		}
	}
}

// timeline returns the events of a request in all processes that live.
func (c *cluster) timeline(request string) string {
	var urls []string
	for _, e := range c.entries {
		urls = append(urls, e.operatorsURL())
	}
	for _, e := range c.endpoints {
		urls = append(urls, e.agentURL())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	collector := timeline.NewCollector(controlClient, timeline.Filter{Requests: []string{request}})
	var text strings.Builder
	for _, event := range collector.Collect(ctx, urls).Events {
		fmt.Fprintf(&text, "%s %s %s %s %s\n", timeline.WallTime(event.Clock).Format(clockFormat), event.Process,
			event.Kind, event.Endpoint, event.Detail)
	}
	return text.String()
}

// check checks the properties that hold whatever fails.
func (e *evidence) check() {
	c := e.cluster
	c.t.Helper()
	for _, property := range []func(*evidence) *violations{
		checkReplicas,
		checkMemory,
		checkAnswered,
		checkWhole,
		checkNotRun,
		checkOnce,
		checkDeclarations,
		checkLogs,
	} {
		property(e).report(c)
	}
	if e.onlyPlannedStops {
		checkNoneLost(e).report(c)
	}
}

// faultsOfPrograms are what a process writes when it is wrong in itself.
var crashMarkers = []string{"panic:", "fatal error:", "WARNING: DATA RACE"}

// checkLogs checks that no process has crashed by itself or, with -race-binary, raced.
func checkLogs(e *evidence) *violations {
	v := &violations{property: "no process is wrong in itself"}
	for _, p := range e.cluster.processes() {
		data, err := os.ReadFile(p.child.Log)
		if err != nil {
			v.add("%s: %v", p.name, err)
		}
		for _, fault := range crashMarkers {
			if at := bytes.Index(data, []byte(fault)); at >= 0 {
				v.add("%s: %s", p.name, data[at:min(len(data), at+maxCrashExcerpt)])
			}
		}
	}
	return v
}

// maxFaultText bounds what is shown of a crash or a race, in bytes.
const maxCrashExcerpt = 3000
