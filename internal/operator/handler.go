package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
)

// Backend executes API requests at an entry. Its errors are ErrNotFound, *ConflictError, *InvalidError,
// *UnavailableError and *OutcomeUnknownError; any other error means that an edit was certainly not applied.
type Backend interface {
	Apply(ctx context.Context, request ApplyRequest) (Accepted, error)
	Label(ctx context.Context, request LabelRequest) (Accepted, error)
	Drain(ctx context.Context, request DrainRequest) (Accepted, error)
	// Operation looks up an edit by its identifier.
	Operation(ctx context.Context, id string) (Operation, error)
	Objects(ctx context.Context, query ObjectQuery) (Objects, error)
	Status(ctx context.Context) (Status, error)
	// InForce returns the processes in which a revision is in force; 0 means the newest accepted one.
	InForce(ctx context.Context, revision uint64) (InForce, error)
	Processes(ctx context.Context) (ProcessList, error)
}

// NewHandler returns a handler that serves the API under PathPrefix.
func NewHandler(backend Backend) http.Handler {
	h := &handler{backend: backend}
	router := chi.NewRouter()
	router.Post(applyPath, edit(backend.Apply, func(r *ApplyRequest) *Edit { return &r.Edit }))
	router.Post(labelPath, edit(backend.Label, func(r *LabelRequest) *Edit { return &r.Edit }))
	router.Post(drainPath, edit(backend.Drain, func(r *DrainRequest) *Edit { return &r.Edit }))
	router.Get(operationPath, h.operation)
	router.Get(objectsPath, h.objects)
	router.Get(statusPath, h.status)
	router.Get(inForcePath, h.inForce)
	router.Get(processesPath, h.processes)
	return router
}

type handler struct{ backend Backend }

// edit returns the handler of one kind of edit.
//
// The edit continues if the client disconnects: aborting it halfway would needlessly leave its outcome unknown.
// EditTimeout bounds it.
func edit[R any](do func(context.Context, R) (Accepted, error), common func(*R) *Edit) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request R
		if err := readRequest(w, r, &request); err != nil {
			writeError(w, err)
			return
		}
		if e := common(&request); e.OperationID == "" {
			e.OperationID = newOperationID()
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), EditTimeout)
		defer cancel()
		accepted, err := do(ctx, request)
		writeResponse(w, accepted, err)
	}
}

func (h *handler) operation(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get(paramID)
	if id == "" {
		writeError(w, errors.Wrap(ErrRequest, "id: an operation identifier is wanted"))
		return
	}
	operation, err := h.backend.Operation(r.Context(), id)
	writeResponse(w, operation, err)
}

func (h *handler) objects(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	objects, err := h.backend.Objects(r.Context(), ObjectQuery{Kind: query.Get(paramKind), Name: query.Get(paramName)})
	if err == nil && query.Get(paramFormat) == formatINI {
		var text bytes.Buffer
		_ = WriteINI(&text, objects) // Writes to a buffer never fail.
		writeBody(w, http.StatusOK, "text/plain; charset=utf-8", text.Bytes())
		return
	}
	writeResponse(w, objects, err)
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.backend.Status(r.Context())
	writeResponse(w, status, err)
}

func (h *handler) inForce(w http.ResponseWriter, r *http.Request) {
	var revision uint64
	if text := r.URL.Query().Get(paramRevision); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(w, errors.Wrap(ErrRequest, "revision: a number is wanted"))
			return
		}
		revision = parsed
	}
	inForce, err := h.backend.InForce(r.Context(), revision)
	writeResponse(w, inForce, err)
}

func (h *handler) processes(w http.ResponseWriter, r *http.Request) {
	processes, err := h.backend.Processes(r.Context())
	writeResponse(w, processes, err)
}

// readRequest decodes a JSON body and rejects unknown fields, so that a misspelled field is not taken for an absent one.
func readRequest(w http.ResponseWriter, r *http.Request, request any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		return errors.Wrap(ErrRequest, err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Wrap(ErrRequest, "more than one JSON value")
	}
	return nil
}

func writeResponse(w http.ResponseWriter, answer any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// writeJSON writes a response whole. If it cannot be encoded, it aborts the connection: the status of an edit's response says
// whether the edit was applied.
func writeJSON(w http.ResponseWriter, status int, answer any) {
	data, err := json.Marshal(answer)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Cache-Control", "no-store")
	writeBody(w, status, "application/json", append(data, '\n'))
}

// writeBody writes a response with its length, so that net/http does not complete it if the body cannot be written.
func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // An error means that the client disconnected.
}
