package backing

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

type httpObjects struct{ service }

// NewHTTPObjects returns a client of the object store. Of the HTTP client, which may be nil, only the transport is used.
func NewHTTPObjects(o Options, client *http.Client) ObjectStore {
	return &httpObjects{newService(o.ObjectsURL, o, client)}
}

// PutObject implements ObjectStore. An object that exists with other content gives ErrInvalid.
func (s *httpObjects) PutObject(ctx context.Context, name string, data []byte) error {
	a, err := s.write(ctx, http.MethodPut, objectPath(name), data)
	if err != nil {
		return err
	}
	return a.err()
}

// GetObject implements ObjectStore.
func (s *httpObjects) GetObject(ctx context.Context, name string) ([]byte, error) {
	a, err := s.read(ctx, objectPath(name))
	if err != nil {
		return nil, err
	}
	return a.body, nil
}

func objectPath(name string) string {
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/objects/" + strings.Join(segments, "/")
}

type httpHosts struct{ service }

// NewHTTPHosts returns a client of the host list. Of the HTTP client, which may be nil, only the transport is used.
func NewHTTPHosts(o Options, client *http.Client) HostList {
	return &httpHosts{newService(o.HostsURL, o, client)}
}

// Hosts implements HostList.
func (h *httpHosts) Hosts(ctx context.Context) ([]Host, uint64, error) {
	a, err := h.read(ctx, "/hosts")
	if err != nil {
		return nil, 0, err
	}
	var list struct {
		Version uint64 `json:"version"`
		Hosts   []Host `json:"hosts"`
	}
	if err := json.Unmarshal(a.body, &list); err != nil {
		return nil, 0, fail(ErrUnavailable, errors.Wrap(err, "host list"))
	}
	return list.Hosts, list.Version, nil
}
