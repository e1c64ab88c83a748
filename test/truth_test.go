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

// controlClient reaches stand-ins and processes directly, not through the links.
var controlClient = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// getJSON reads a JSON document into a value.
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

// engineTruth is one engine's own record of what it did.
type engineTruth struct {
	host *endpointHost
	engine.Truth
}

// truth is the ground truth for the checks: the records that the stand-ins keep of what they did.
type truth struct {
	engines []engineTruth
	// executions counts how often each service call ran, by marker.
	executions map[string]int
	// served holds the markers of the calls that each service ran.
	served map[string]map[string]bool
}

// String summarizes the truth as counts.
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

// readTruth reads the truth of all endpoints; for one whose host was removed it takes the truth read before.
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

// merge adds another truth.
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
			c.t.Fatalf("read the truth of %s: %v", e.name, err)
		}
		all.engines = append(all.engines, one)
		return
	}
	var one service.Truth
	if err := getJSON(e.url()+"/truth", &one); err != nil {
		c.t.Fatalf("read the truth of %s: %v", e.name, err)
	}
	all.served[e.name] = map[string]bool{}
	for _, call := range one.Calls {
		all.executions[call.Key] += call.Executions
		all.served[e.name][call.Key] = true
	}
}

// setFaults changes faults of an endpoint's stand-in; faults that the document omits stay as they are.
func (e *endpointHost) setFaults(c *cluster, faults any) {
	c.t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		c.t.Fatal(err)
	}
	c.sendControl(http.MethodPost, e.url()+"/faults", body)
}

// clearFaults clears the faults of an endpoint's stand-in.
func (e *endpointHost) clearFaults(c *cluster) {
	c.t.Helper()
	c.sendControl(http.MethodDelete, e.url()+"/faults", nil)
}

// restartEngine makes the engine's stand-in start a new incarnation without loaded models.
func (e *endpointHost) restartEngine(c *cluster) {
	c.t.Helper()
	c.sendControl(http.MethodPost, e.url()+"/restart", nil)
}

// sendControl sends a request to a stand-in's control API and fails the test on an error.
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
