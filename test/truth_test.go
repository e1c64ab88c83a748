package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"balsamsail/internal/settings"
	"balsamsail/internal/standin/engine"
	"balsamsail/internal/standin/service"
)

// controlClient reaches stand-ins and processes directly, past every link.
var controlClient = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// getJSON reads a document.
func getJSON(url string, into any) error {
	response, err := controlClient.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: %s", url, response.Status, data)
	}
	return json.Unmarshal(data, into)
}

// engineTruth is what one engine really did.
type engineTruth struct {
	host *endpointHost
	engine.Truth
}

// truth is what the endpoints really did.
type truth struct {
	engines []engineTruth
	// executions counts the runs of service calls by marker.
	executions map[string]int
	// served are the markers that each service ran.
	served map[string]map[string]bool
}

// String counts what the endpoints did.
func (a *truth) String() string {
	counts := map[string]int{}
	for _, one := range a.engines {
		for _, h := range one.History {
			counts[string(h.Kind)]++
		}
		counts["old fences"] += one.OldFences
		counts["answers done"] += one.Done
		counts["answers cancelled"] += one.Cancelled
		counts["answers cut"] += one.Cut
		counts["requests refused"] += one.Refused
	}
	return fmt.Sprintf("%v, %d calls", counts, len(a.executions))
}

// readTruth reads the truth of all endpoints that are not gone.
func (c *cluster) readTruth() *truth {
	c.t.Helper()
	all := &truth{executions: map[string]int{}, served: map[string]map[string]bool{}}
	for _, e := range c.endpoints {
		if e.gone {
			all.merge(e.finalTruth)
			continue
		}
		c.readEndpointTruth(e, all)
	}
	return all
}

// add takes in another truth.
func (a *truth) merge(other *truth) {
	a.engines = append(a.engines, other.engines...)
	for marker, n := range other.executions {
		a.executions[marker] += n
	}
	maps.Copy(a.served, other.served)
}

func (c *cluster) readEndpointTruth(e *endpointHost, all *truth) {
	c.t.Helper()
	if e.kind == settings.KindEngine {
		one := engineTruth{host: e}
		if err := getJSON(e.url()+"/truth", &one.Truth); err != nil {
			c.t.Fatalf("truth of %s: %v", e.name, err)
		}
		all.engines = append(all.engines, one)
		return
	}
	var one service.Truth
	if err := getJSON(e.url()+"/truth", &one); err != nil {
		c.t.Fatalf("truth of %s: %v", e.name, err)
	}
	all.served[e.name] = map[string]bool{}
	for _, call := range one.Calls {
		all.executions[call.Key] += call.Executions
		all.served[e.name][call.Key] = true
	}
}

// setFaults switches an endpoint's faults; fields that the document does not name stay.
func (e *endpointHost) setFaults(c *cluster, faults any) {
	c.t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		c.t.Fatal(err)
	}
	c.sendControl(http.MethodPost, e.url()+"/faults", body)
}

// clearFaults ends an endpoint's faults.
func (e *endpointHost) clearFaults(c *cluster) {
	c.t.Helper()
	c.sendControl(http.MethodDelete, e.url()+"/faults", nil)
}

// restartEngine gives the engine a new incarnation, which holds nothing.
func (e *endpointHost) restartEngine(c *cluster) {
	c.t.Helper()
	c.sendControl(http.MethodPost, e.url()+"/restart", nil)
}

// control sends a command to a stand-in.
func (c *cluster) sendControl(method, url string, body []byte) {
	c.t.Helper()
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := controlClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		answer, _ := io.ReadAll(response.Body)
		c.t.Fatalf("%s %s: %s: %s", method, url, response.Status, answer)
	}
}
