package gateway

import (
	"net/http"
	"strings"
	"testing"
)

// sendHead sends a HEAD and returns the response.
func (r *rig) sendHead(path, model string) *http.Response {
	r.t.Helper()
	request, err := http.NewRequestWithContext(r.t.Context(), http.MethodHead, r.server.URL+path, strings.NewReader(""))
	if err != nil {
		r.t.Fatal(err)
	}
	request.Host = "site"
	request.Header = http.Header{"Id": {"a"}, "Model": {model}}
	response, err := r.server.Client().Do(request)
	if err != nil {
		r.t.Fatal(err)
	}
	_ = response.Body.Close()
	return response
}

// Guards against an answer to a HEAD that names the length of another body than the endpoint's, or a length that the endpoint does not
// name.
func TestLengthOfAnswerToHead(t *testing.T) {
	for _, c := range []struct{ name, length string }{{"with a length", "4711"}, {"of an empty body", "0"}, {"without a length", ""}} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, map[string]endpointScript{"plain-1": func(w http.ResponseWriter, request *http.Request) {
				if request.Method != http.MethodHead {
					t.Errorf("method %s, want HEAD", request.Method)
				}
				if c.length != "" {
					w.Header().Set("Content-Length", c.length)
				}
				w.Header().Set("Id", request.Header.Get("Id"))
				w.Header().Set("Signed", "yes")
			}})
			response := r.sendHead("/read/x", "")
			if got := response.Header.Get("Content-Length"); response.StatusCode != http.StatusOK || got != c.length {
				t.Errorf("status %d, length %q; want 200 and %q", response.StatusCode, got, c.length)
			}
		})
	}
}

// Guards against a HEAD on the route of streams being taken for a stream that ends before its first event, and sent on or answered 502.
func TestHeadOfAStream(t *testing.T) {
	for _, path := range []string{"/chat/", "/resumable/"} {
		t.Run(path, func(t *testing.T) {
			whole := func(w http.ResponseWriter, request *http.Request) {
				w.Header().Set("Id", request.Header.Get("Id"))
				w.Header().Set("Signed", "yes")
			}
			r := newRig(t, map[string]endpointScript{"engine-1": whole, "engine-2": whole})
			if response := r.sendHead(path, "m"); response.StatusCode != http.StatusOK || r.attempts("a") != 1 {
				t.Errorf("status %d after %d attempts, want 200 after one", response.StatusCode, r.attempts("a"))
			}
		})
	}
}
