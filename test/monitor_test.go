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

// observation is the revision of the declarations that a process was seen to act on.
type observation struct {
	process  string
	at       time.Time
	revision uint64
	// fell tells of a revision that the process put in force after a higher one.
	regression string
	ready      bool
}

// monitor looks again and again which revision is in force in each process, past every link.
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

// stop ends the looking and returns what was seen, in order for each process.
func (m *monitor) stop() []observation {
	m.stopOnce.Do(func() { close(m.done) })
	m.polling.Wait()
	return m.seen
}

// look reads a process's revision into an observation.
type revisionReader func(client *http.Client, seen *observation) error

// watch looks at one process until the monitor stops.
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

// lookOnce notes the revision, as of the time before it was asked for. The readiness is asked for first, so that a
// process that was ready had at least this revision then or later.
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
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen = append(m.seen, seen)
}

// entryRevision asks an entry itself.
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

// agentRevision takes the newest revision from an agent's time line.
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

// readRevisions reads the revisions that were put in force one after another.
func readRevisions(lines *bufio.Scanner, seen *observation) error {
	lines.Scan()
	for lines.Scan() {
		var event timeline.Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return err
		}
		next, err := strconv.ParseUint(strings.TrimPrefix(event.Detail, "revision "), 10, 64)
		if err != nil {
			return fmt.Errorf("event %q: %w", event.Detail, err)
		}
		if next < seen.revision {
			seen.regression = fmt.Sprintf("from %d to %d at %s", seen.revision, next,
				timeline.WallTime(event.Clock).Format(clockFormat))
		}
		seen.revision = next
	}
	return lines.Err()
}
