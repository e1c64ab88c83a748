package test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"balsamsail/internal/operator"
	"balsamsail/internal/timeline"
)

// observation is the revision of the declarations that a process had in force at a time.
type observation struct {
	process string
	// at is the time before the requests, and until that after them; another process may have answered the later ones.
	at, until time.Time
	revision  uint64
	// regression describes the last change to a lower revision that the process reported, if any.
	regression string
	ready      bool
}

// monitor polls each process for the revision in force. It connects directly, not through the links.
type monitor struct {
	cluster  *cluster
	done     chan struct{}
	stopOnce sync.Once
	polling  sync.WaitGroup

	mu   sync.Mutex
	seen []observation
}

const (
	revisionPollInterval = 100 * time.Millisecond
	revisionPollTimeout  = 500 * time.Millisecond
)

func startMonitor(c *cluster) *monitor {
	m := &monitor{cluster: c, done: make(chan struct{})}
	for _, e := range c.entries {
		m.polling.Go(func() { m.watch(e.name, e.process.probe, entryRevision(e)) })
	}
	for _, e := range c.endpoints {
		m.polling.Go(func() { m.watch(agentName(e.name), e.agent.probe, agentRevision(e)) })
	}
	return m
}

// stop ends the polling and returns the observations, which are in order for each process.
func (m *monitor) stop() []observation {
	m.stopOnce.Do(func() { close(m.done) })
	m.polling.Wait()
	return m.seen
}

// revisionReader reads the revision in force in a process into an observation.
type revisionReader func(client *http.Client, seen *observation) error

// watch polls one process until the monitor stops.
func (m *monitor) watch(process, readyURL string, read revisionReader) {
	client := &http.Client{Timeout: revisionPollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		m.pollOnce(client, process, readyURL, read)
		select {
		case <-m.done:
			return
		case <-time.After(revisionPollInterval):
		}
	}
}

// pollOnce records one observation, with the times before and after its requests. It asks for the readiness before the revision,
// so a process recorded as ready had the recorded revision in force at a time after it was ready.
func (m *monitor) pollOnce(client *http.Client, process, readyURL string, read revisionReader) {
	at := time.Now()
	response, err := client.Get(readyURL)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	seen := observation{process: process, at: at, ready: response.StatusCode == http.StatusOK}
	if read(client, &seen) != nil {
		return
	}
	seen.until = time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen = append(m.seen, seen)
}

// entryRevision reads the revision from an entry's operator API.
func entryRevision(e *entryHost) revisionReader {
	return func(client *http.Client, seen *observation) error {
		response, err := client.Get(e.operatorsURL() + operator.PathPrefix + "/self")
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		var answer operator.ProcessRevision
		err = json.NewDecoder(response.Body).Decode(&answer)
		seen.revision = answer.Revision
		return err
	}
}

// agentRevision reads the latest revision from an agent's timeline.
func agentRevision(e *endpointHost) revisionReader {
	filter := timeline.Filter{Kinds: []timeline.Kind{timeline.DeclarationApplied}}
	url := e.agentURL() + timeline.Path + "?" + filter.Query().Encode()
	return func(client *http.Client, seen *observation) error {
		response, err := client.Get(url)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		return readRevisions(bufio.NewScanner(response.Body), seen)
	}
}

// readRevisions reads the events of revisions put in force, oldest first, after a header line. It keeps the last
// revision and notes each change to a lower one.
func readRevisions(lines *bufio.Scanner, seen *observation) error {
	lines.Scan()
	for lines.Scan() {
		var event timeline.Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return err
		}
		next, err := strconv.ParseUint(strings.TrimPrefix(event.Detail, "revision "), 10, 64)
		if err != nil {
			return fmt.Errorf("revision in event detail %q: %w", event.Detail, err)
		}
		if next < seen.revision {
			seen.regression = fmt.Sprintf("from %d to %d at %s", seen.revision, next,
				timeline.WallTime(event.Clock).Format(clockFormat))
		}
		seen.revision = next
	}
	return lines.Err()
}
