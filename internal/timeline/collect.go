package timeline

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"balsamsail/internal/httpstrict"
)

var (
	// ErrUnreachable reports that a process did not respond.
	ErrUnreachable = errors.New("timeline: process unreachable")
	// ErrAnswer reports that a process's response is not a valid timeline.
	ErrAnswer = errors.New("timeline: invalid response")
)

// Limits for reading from processes.
const (
	// maxAnswerBytes bounds one response; it is many times the size of a full ring.
	maxAnswerBytes = 64 << 20
	// maxReads bounds the processes that are read concurrently.
	maxReads = 32
	// readTimeout bounds reading one process.
	readTimeout = 5 * time.Second
)

// Path is the path under which a process serves its timeline.
const Path = "/timeline"

// Collector reads and merges the timelines of processes. It is not safe for concurrent use.
type Collector struct {
	client *http.Client
	filter Filter
	merger *Merger
}

// NewCollector returns a collector of the events that the filter selects.
func NewCollector(client *http.Client, filter Filter) *Collector {
	strict := *client
	strict.Transport = httpstrict.Wrap(client.Transport)
	return &Collector{client: &strict, filter: filter, merger: NewMerger()}
}

// Collection is the merged result of reading processes or logs.
type Collection struct {
	Events []MergedEvent
	// Notes describe which events are missing or may be out of order.
	Notes []Note
}

// Collect reads all stored events of the processes with the given base URLs and returns them in one order. Processes that
// do not respond are listed in the notes.
func (c *Collector) Collect(ctx context.Context, urls []string) Collection {
	notes := c.poll(ctx, urls)
	return Collection{Events: c.merger.Flush(), Notes: notes}
}

// Follow polls the processes until ctx is done and passes new events to emit. Before each poll it calls urls for the base
// URLs of the processes; if that fails, it keeps using the previous ones.
func (c *Collector) Follow(
	ctx context.Context, interval time.Duration, urls func(context.Context) ([]string, error), emit func(Collection) error,
) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		current, err := urls(ctx)
		if err != nil {
			current = c.merger.URLs()
		}
		c.removeUnlisted(current)
		notes := c.poll(ctx, current)
		if err := emit(Collection{Events: c.merger.Ready(), Notes: notes}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Collector) removeUnlisted(current []string) {
	for _, url := range c.merger.URLs() {
		if !slices.Contains(current, url) {
			c.merger.Remove(url)
		}
	}
}

// poll reads each process once, starting at its cursor.
func (c *Collector) poll(ctx context.Context, urls []string) []Note {
	var mu sync.Mutex
	var notes []Note
	var group errgroup.Group
	group.SetLimit(maxReads)
	for _, url := range urls {
		mu.Lock()
		cursor := c.merger.Cursor(url)
		mu.Unlock()
		group.Go(func() error {
			head, events, err := c.read(ctx, url, cursor)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				notes = append(notes, c.merger.MarkUnreachable(url, err.Error())...)
				return nil
			}
			notes = append(notes, c.merger.Add(url, head, events)...)
			return nil
		})
	}
	_ = group.Wait() // The functions of the group always return nil.
	slices.SortFunc(notes, func(a, b Note) int { return strings.Compare(a.URL, b.URL) })
	return notes
}

// read reads the events of one process after a cursor.
func (c *Collector) read(ctx context.Context, url string, cursor Cursor) (Head, []Event, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	query := c.filter.Query()
	query.Set(paramAfter, strconv.FormatUint(cursor.After, 10))
	query.Set(paramStart, strconv.FormatUint(cursor.Start, 10))
	target := strings.TrimSuffix(url, "/") + Path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Head{}, nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Head{}, nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	defer func() { _ = response.Body.Close() }() // A close error cannot lose data that was read.
	if response.StatusCode != http.StatusOK {
		return Head{}, nil, errors.Wrapf(ErrAnswer, "status %d", response.StatusCode)
	}
	return decode(response.Body)
}

// decode decodes the response of a Handler. A truncated response is an error as a whole: its head would advance the
// cursor past the missing events.
func decode(body io.Reader) (Head, []Event, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return Head{}, nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	if len(data) > maxAnswerBytes {
		return Head{}, nil, errors.Wrap(ErrAnswer, "response too large")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	var head Head
	if err := decoder.Decode(&head); err != nil {
		return Head{}, nil, errors.Wrap(ErrAnswer, err.Error())
	}
	var events []Event
	for decoder.More() {
		var e Event
		if err := decoder.Decode(&e); err != nil {
			return Head{}, nil, errors.Wrap(ErrAnswer, err.Error())
		}
		events = append(events, e)
	}
	return head, events, nil
}
