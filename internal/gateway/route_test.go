package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"balsamsail/internal/catalog"
)

// Guards against a request whose path holds encoded characters and that goes to the service of a route whose prefix does not begin
// the path as its client sent it.
func TestRouteOfTheSentPath(t *testing.T) {
	r := newRig(t, map[string]endpointScript{"outer-1": serviceName("outer"), "inner-1": serviceName("inner")})
	route := func(prefix, service string) *catalog.Route {
		return &catalog.Route{Name: prefix, Host: "site", Prefix: prefix, Timeout: 5 * time.Second, MaxAttempts: 1,
			Services: []catalog.WeightedService{{Service: service, Weight: 1}}}
	}
	services := map[string]*catalog.Service{"outer": {Name: "outer"}, "inner": {Name: "inner"}}
	r.fleet.SetConfig(catalog.NewConfig(2, catalog.ClientLimits{}, services, []*catalog.Route{route("/a/", "outer"), route("/a/b/", "inner")}))
	for target, want := range map[string]string{
		"/a/b/17":               "inner",
		"/a/b%2F17":             "outer",
		"/a/b%2f17":             "outer",
		"/a/%62/17":             "outer",
		"/a/b/%2F":              "inner",
		"/a/b%2F17?x=/a/b/":     "outer",
		"/a/b?/17":              "outer",
		"/a/../a/b/17":          "outer",
		"/a//b/17":              "outer",
		"/a/{b}":                "outer",
		"/a/b/#17":              "inner",
		"/a%2Fb/17":             "",
		"/%61/b/17":             "",
		"%2Fa/b/17":             "",
		"//a/b/17":              "",
		"*":                     "",
		"http://site/a/b/17":    "inner",
		"http://site/a/b%2F17":  "outer",
		"http://site/%61/b/17":  "",
		"http://site?/a/b/17":   "",
		"http://other/a/b/17":   "",
		"http://site//a/b/17":   "",
		"http://site/a/b/?%2F#": "inner",
	} {
		t.Run(target, func(t *testing.T) {
			a := r.sendTarget(t, target)
			switch {
			case want == "" && (a.status/100 == 2 || a.status == 0):
				t.Errorf("got %d %q, want a refusal", a.status, a.body)
			case want != "" && (a.status != http.StatusOK || a.body != want):
				t.Errorf("got %d %q, want an answer of %s", a.status, a.body, want)
			}
		})
	}
}

// serviceName answers with the name of a service.
func serviceName(name string) endpointScript {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
		_, _ = io.WriteString(w, name)
	}
}

// sendTarget sends a request whose target is written as given.
func (r *rig) sendTarget(t *testing.T, target string) rawAnswer {
	t.Helper()
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, "GET "+target+" HTTP/1.1\r\nHost: site\r\nId: a\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	a, err := parseRaw(data)
	if err != nil && a.status != http.StatusBadRequest {
		t.Fatal(err)
	}
	return a
}
