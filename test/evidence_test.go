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

// evidence is everything recorded in a run: the results that callers and operators got, the observations of the
// monitor, and the ground truth from the stand-ins.
type evidence struct {
	cluster      *cluster
	exchanges    []*exchange
	edits        []*edit
	observations []observation
	truth        *truth
	rows         map[string][]rowVersion
	// onlyPlannedStops reports that the run had no other faults, so no request may have been lost.
	onlyPlannedStops bool
}

// run is a cluster under load and observation.
type run struct {
	cluster  *cluster
	workload *workload
	editors  *editors
	monitor  *monitor
}

// startRun starts a cluster with its workload, editors and monitor, and waits until every kind of request is served.
func startRun(t *testing.T) *run {
	t.Helper()
	c := newCluster(t)
	r := &run{cluster: c, workload: startWorkload(c), editors: startEditors(c), monitor: startMonitor(c)}
	// A test that ends early must not leave callers running: a later cluster may reuse the addresses.
	t.Cleanup(func() {
		r.editors.stop()
		r.workload.stop()
		r.monitor.stop()
	})
	r.workload.awaitServed(5, 15*time.Second)
	return r
}

// finish ends the load and collects the evidence.
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

// awaitIdle waits until no endpoint runs or queues a request, so that its truth is complete.
func (c *cluster) awaitIdle() {
	c.t.Helper()
	for _, e := range c.endpoints {
		if e.gone {
			continue
		}
		var report struct{ Running, Waiting int }
		eventually(c.t, maxAnswer+readyTimeout, e.name+" has no requests left", func() bool {
			err := getJSON(e.url()+"/admin/report", &report)
			return err == nil && report.Running == 0 && report.Waiting == 0
		})
	}
}

// wasDown reports whether the test had killed, stopped or frozen a process at any time from begin to end.
func (c *cluster) wasDown(process string, begin, end time.Time) bool {
	for _, p := range c.processes() {
		if p.name == process {
			return p.downtime.overlaps(begin, end)
		}
	}
	return false
}

// violations collects the violations of one property.
type violations struct {
	property string
	list     []violation
}

// violation is one violation of a property. request is the ID of the request concerned, if any.
type violation struct{ text, request string }

func (v *violations) add(format string, args ...any) {
	v.list = append(v.list, violation{text: fmt.Sprintf(format, args...)})
}

// addExchange adds a violation by one exchange.
func (v *violations) addExchange(what string, x *exchange) {
	v.list = append(v.list, violation{text: what + ": " + x.String(), request: x.requestID})
}

// The number of violations shown for a property, and of these the number shown with the timeline of their request.
const (
	maxShownViolations = 8
	maxShownTimelines  = 3
)

// report fails the test if there are violations, and logs the first ones with the timelines of their requests.
func (v *violations) report(c *cluster) {
	c.t.Helper()
	if len(v.list) == 0 {
		return
	}
	c.t.Errorf("%s: %d violations", v.property, len(v.list))
	for i, one := range v.list[:min(len(v.list), maxShownViolations)] {
		c.t.Logf("%s: %s", v.property, one.text)
		if one.request != "" && i < maxShownTimelines {
			c.t.Logf("timeline of %s:\n%s", one.request, c.timeline(one.request))
		}
	}
}

// timeline returns the events of a request in all live processes.
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

// check checks the properties that must hold under any failure.
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
		checkNoRequestLost(e).report(c)
	}
}

// crashMarkers are the texts by which a panic, a fatal runtime error or a data race shows in a process log.
var crashMarkers = []string{"panic:", "fatal error:", "WARNING: DATA RACE"}

// checkLogs checks that no process log shows a crash or, with -race-binary, a data race.
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

// maxCrashExcerpt bounds the shown part of a crash or race report, in bytes.
const maxCrashExcerpt = 3000
