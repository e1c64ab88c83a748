package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"balsamsail/internal/catalog"
)

// versionedEngines are engines of two versions that mark each event with their own; while breaks is set, each breaks off a new
// stream after three events.
func versionedEngines(breaks bool) (scripts map[string]endpointScript, versions map[string]string) {
	scripts, versions = make(map[string]endpointScript), make(map[string]string)
	for i := range 6 {
		id, version := fmt.Sprintf("engine-%d", i), fmt.Sprintf("v%d", 1+i%2)
		versions[id] = version
		scripts[id] = func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Version", version)
			if r.Header.Get("After") == "" && breaks {
				marked(version, 1, 3, true)(w, r)
				return
			}
			marked(version, 1, 6, false)(w, r)
		}
	}
	return scripts, versions
}

// marked is events with the version in the data of each event.
func marked(version string, from, to int, breaks bool) endpointScript {
	return func(w http.ResponseWriter, r *http.Request) {
		events(from, to, breaks)(markingWriter{w, version}, r)
	}
}

type markingWriter struct {
	http.ResponseWriter
	version string
}

func (m markingWriter) Write(p []byte) (int, error) {
	_, err := m.ResponseWriter.Write([]byte(strings.ReplaceAll(string(p), "data: ", "data: "+m.version+"-")))
	return len(p), err
}

func (m markingWriter) Unwrap() http.ResponseWriter { return m.ResponseWriter }

// versionsIn returns the versions of the events of a stream, each once, in the order of their first event.
func versionsIn(bodies ...string) []string {
	var list []string
	for event := range strings.SplitSeq(numbers(strings.Join(bodies, "")), ",") {
		version, _, _ := strings.Cut(event, "-")
		if version != "" && (len(list) == 0 || list[len(list)-1] != version) {
			list = append(list, version)
		}
	}
	return list
}

// Guards against one answer with events of engines of two software versions.
func TestAnswerHoldsEventsOfOneVersion(t *testing.T) {
	scripts, versions := versionedEngines(true)
	r := newRig(t, scripts)
	r.setVersions(versions)
	for i := range 20 {
		a := r.send(fmt.Sprint("a", i), fmt.Sprint("/resumable/", i), "m")
		if list := versionsIn(a.body); len(list) != 1 || a.err != nil {
			t.Errorf("request %d: events of %v, error %v", i, list, a.err)
		}
	}
}

// Guards against a stream that a client takes up and that goes on at another software version than the one that began it.
func TestStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	scripts, versions := versionedEngines(false)
	r := newRig(t, scripts)
	r.setVersions(versions)
	for i := range 20 {
		path := fmt.Sprint("/resumable/", i)
		first := r.send(fmt.Sprint("first", i), path, "m")
		second := r.takeUp(fmt.Sprint("second", i), path, "m", "3", fmt.Sprint("first", i))
		if list := versionsIn(first.body, second.body); len(list) != 1 || second.status != http.StatusOK {
			t.Errorf("stream %d: events of %v, status %d", i, list, second.status)
		}
	}
}

// Guards against a stream that goes on at another software version because no engine of its own is left, or because its version
// is not known here.
func TestStreamOfAnotherVersionIsRefused(t *testing.T) {
	scripts, versions := versionedEngines(false)
	r := newRig(t, scripts)
	r.setVersions(versions)
	first := r.send("first", "/resumable/x", "m")
	if a := r.takeUp("unknown", "/resumable/x", "m", "3", "never-seen"); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("a stream of unknown version: %d, Retry-After %q", a.status, a.header.Get("Retry-After"))
	}
	if a := r.takeUp("unnamed", "/resumable/x", "m", "3", ""); a.status != http.StatusServiceUnavailable {
		t.Errorf("a stream whose first request is not named: %d", a.status)
	}
	others := make(map[string]string)
	for id, v := range versions {
		if v != versionsIn(first.body)[0] {
			others[id] = v
		}
	}
	r.setVersions(others)
	if a := r.takeUp("gone", "/resumable/x", "m", "3", "first"); a.status != http.StatusServiceUnavailable {
		t.Errorf("a stream whose version is gone: %d with events of %v", a.status, versionsIn(a.body))
	}
}

// Guards against a stream that is refused although an engine of its version could load its model: it waits, and the coordinator
// hears for which version.
func TestStreamWaitsForItsModelAtItsVersion(t *testing.T) {
	scripts, versions := versionedEngines(false)
	r := newRig(t, scripts)
	r.setVersions(versions)
	first := r.send("first", "/resumable/x", "m")
	version := versionsIn(first.body)[0]
	var others []catalog.Endpoint
	for id, v := range versions {
		e := r.endpoints[id]
		if e.Version = v; v == version {
			e.Models = nil
		}
		others = append(others, e)
	}
	r.fleet.SetEndpoints(others)
	second := make(chan answer)
	go func() { second <- r.takeUp("second", "/resumable/x", "m", "3", "first") }()
	waiting := func() (n int) {
		for _, d := range r.fleet.Demand(time.Now()) {
			if d.Model == "m" && d.Version == version {
				n += d.Waiting
			}
		}
		return n
	}
	for deadline := time.Now().Add(time.Second); waiting() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no request waits for the model at the version")
		}
	}
	r.setVersions(versions)
	if a := <-second; a.status != http.StatusOK || len(versionsIn(first.body, a.body)) != 1 {
		t.Errorf("status %d, events of %v", a.status, versionsIn(first.body, a.body))
	}
	if n := waiting(); n != 0 {
		t.Errorf("%d requests still wait", n)
	}
}

// Guards against a stream that is broken off in a pause because an engine of another version, which may not go on with it, has room.
func TestStalledStreamStaysWhereOnlyOtherVersionsServe(t *testing.T) {
	t.Parallel()
	script := func(w http.ResponseWriter, r *http.Request) {
		events(1, 2, false)(w, r)
		time.Sleep(minStall + 400*time.Millisecond)
		for i := 3; i <= 4; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		}
	}
	r := newRig(t, map[string]endpointScript{"engine-1": script, "engine-2": script})
	r.setVersions(map[string]string{"engine-1": "v1", "engine-2": "v2"})
	if got := r.send("a", "/resumable/x", "m"); got.err != nil || numbers(got.body) != "1,2,3,4" || r.attempts("a") != 1 {
		t.Errorf("events %s, error %v, %d attempts, want 1 to 4 from one attempt", numbers(got.body), got.err, r.attempts("a"))
	}
}
