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
)

var (
	// ErrUnreachable says that a process did not answer.
	ErrUnreachable = errors.New("timeline: process unreachable")
	// ErrAnswer says that a process's answer is not a time line.
	ErrAnswer = errors.New("timeline: bad answer")
)

// The bounds of reading from processes.
const (
	// maxAnswerBytes bounds one answer; a full ring of the usual size fits many times.
	maxAnswerBytes = 64 << 20
	// maxReads bounds the processes that are read at once.
	maxReads = 32
	// readTimeout bounds the reading of one process.
	readTimeout = 5 * time.Second
)

// Path is where a process serves its time line.
const Path = "/timeline"

// Collector reads and merges the time lines of processes. It is not safe for concurrent use.
type Collector struct {
	client *http.Client
	filter Filter
	merger *Merger
}

// NewCollector returns a collector of the events that the filter lets pass.
func NewCollector(client *http.Client, filter Filter) *Collector {
	return &Collector{client: client, filter: filter, merger: NewMerger()}
}

// Collection is what was read of all processes.
type Collection struct {
	Events []Released
	// Notes tell which processes' events are missing.
	Notes []Note
}

// Collect reads all that the processes with the given base URLs keep and returns it in one order. A process that does
// not answer shows in the notes.
func (c *Collector) Collect(ctx context.Context, urls []string) Collection {
	notes := c.poll(ctx, urls)
	return Collection{Events: c.merger.Rest(), Notes: notes}
}

// Follow reads the processes again and again until ctx ends, and hands on what is new. Each time it asks for the base
// URLs of the processes; when that fails, it goes on with those that it knows.
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
		c.forgetOthers(current)
		notes := c.poll(ctx, current)
		if err := emit(Collection{Events: c.merger.Take(), Notes: notes}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Collector) forgetOthers(current []string) {
	for _, url := range c.merger.URLs() {
		if !slices.Contains(current, url) {
			c.merger.Forget(url)
		}
	}
}

// poll reads each process once, from its cursor on.
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
				notes = append(notes, c.merger.Lost(url, err.Error())...)
				return nil
			}
			notes = append(notes, c.merger.Add(url, head, events)...)
			return nil
		})
	}
	_ = group.Wait() // No function of the group fails.
	slices.SortFunc(notes, func(a, b Note) int { return strings.Compare(a.URL, b.URL) })
	return notes
}

// read reads one process from a cursor on.
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
	defer func() { _ = response.Body.Close() }() // Only read from: closing cannot lose anything.
	if response.StatusCode != http.StatusOK {
		return Head{}, nil, errors.Wrapf(ErrAnswer, "status %d", response.StatusCode)
	}
	return decode(response.Body)
}

// decode reads what a Handler writes. An answer that was cut short is an error as a whole: its cursor would otherwise
// skip the events that are missing.
func decode(body io.Reader) (Head, []Event, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return Head{}, nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	if len(data) > maxAnswerBytes {
		return Head{}, nil, errors.Wrap(ErrAnswer, "too large")
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
