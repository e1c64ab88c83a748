package backing

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

type httpObjects struct{ serviceClient }

// NewHTTPObjects returns a client of the object store. Only the transport of the HTTP client is used; the client may be
// nil.
func NewHTTPObjects(o Options, client *http.Client) ObjectStore {
	return &httpObjects{newServiceClient(o.ObjectsURL, o, client)}
}

// PutObject implements ObjectStore. It returns ErrInvalid if the object exists with different content.
func (s *httpObjects) PutObject(ctx context.Context, name string, data []byte) error {
	resp, err := s.write(ctx, http.MethodPut, objectPath(name), data)
	if err != nil {
		return err
	}
	return resp.err()
}

// GetObject implements ObjectStore.
func (s *httpObjects) GetObject(ctx context.Context, name string) ([]byte, error) {
	resp, err := s.read(ctx, objectPath(name))
	if err != nil {
		return nil, err
	}
	return resp.body, nil
}

func objectPath(name string) string {
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/objects/" + strings.Join(segments, "/")
}

type httpHosts struct{ serviceClient }

// NewHTTPHosts returns a client of the host list. Only the transport of the HTTP client is used; the client may be nil.
func NewHTTPHosts(o Options, client *http.Client) HostList {
	return &httpHosts{newServiceClient(o.HostsURL, o, client)}
}

// Hosts implements HostList.
func (h *httpHosts) Hosts(ctx context.Context) ([]Host, uint64, error) {
	resp, err := h.read(ctx, "/hosts")
	if err != nil {
		return nil, 0, err
	}
	var list struct {
		Version uint64 `json:"version"`
		Hosts   []Host `json:"hosts"`
	}
	if err := json.Unmarshal(resp.body, &list); err != nil {
		return nil, 0, wrapError(ErrUnavailable, errors.Wrap(err, "decode the host list"))
	}
	return list.Hosts, list.Version, nil
}
