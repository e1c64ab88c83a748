package timeline

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// The query parameters of the timeline over HTTP; those of Filter may be repeated.
const (
	paramAfter    = "after"
	paramStart    = "start"
	paramRequest  = "request"
	paramModel    = "model"
	paramEndpoint = "endpoint"
	paramKind     = "kind"
)

// ContentType is the media type of a timeline over HTTP: JSON lines, a Head followed by Events.
const ContentType = "application/jsonl"

// Head is the first line of a timeline over HTTP. It allows a reader to resume and to detect gaps.
type Head struct {
	Process string `json:"process"`
	// Start is the clock reading at which the recorder was created. A different value means that sequences restarted.
	Start uint64 `json:"start"`
	// Clock is the recorder's clock at the time of the read; every later event of the process has a greater reading.
	Clock uint64 `json:"clock"`
	// Oldest and Latest bound the stored sequences; Oldest is Latest+1 when the ring is empty.
	Oldest uint64 `json:"oldest"`
	Latest uint64 `json:"latest"`
}

// Handler serves the events of a recorder.
type Handler struct{ recorder *Recorder }

// NewHandler returns a handler of GET requests with the query parameters after (a sequence; 0 for all events), start (the
// Head.Start that after belongs to; after is ignored if it differs), and the filters request, model, endpoint and kind.
func NewHandler(recorder *Recorder) *Handler { return &Handler{recorder: recorder} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := optionalUint(query.Get(paramAfter))
	if err != nil {
		http.Error(w, "after: a sequence number is wanted", http.StatusBadRequest)
		return
	}
	start, err := optionalUint(query.Get(paramStart))
	if err != nil {
		http.Error(w, "start: a clock reading is wanted", http.StatusBadRequest)
		return
	}
	head, events := h.recorder.Read(start, after)
	w.Header().Set("Content-Type", ContentType)
	w.Header().Set("Cache-Control", "no-store")
	if err := writeBatch(json.NewEncoder(w), head, events, parseFilter(query)); err != nil {
		// Lines are missing, and net/http would complete the response.
		panic(http.ErrAbortHandler)
	}
}

// writeBatch writes the lines of one response. It stops at the first error.
func writeBatch(encoder *json.Encoder, head Head, events []Event, filter Filter) error {
	if err := encoder.Encode(head); err != nil {
		return err
	}
	for i := range events {
		if !filter.Match(&events[i]) {
			continue
		}
		if err := encoder.Encode(&events[i]); err != nil {
			return err
		}
	}
	return nil
}

func optionalUint(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 10, 64)
}
