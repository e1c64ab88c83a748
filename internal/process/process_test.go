package process

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestReadinessNamesItsReasons(t *testing.T) {
	cases := []struct {
		name       string
		reasons    []string
		wantStatus int
	}{
		{name: "ready", wantStatus: http.StatusOK},
		{name: "two reasons", reasons: []string{"no declarations yet", "draining"}, wantStatus: http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := NewServer(Options{Name: "entry-1", Ready: func() []string { return c.reasons }})
			recorder := httptest.NewRecorder()
			server.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, ReadyPath, nil))
			if recorder.Code != c.wantStatus {
				t.Fatalf("status %d, want %d", recorder.Code, c.wantStatus)
			}
			var got Readiness
			if err := json.Unmarshal(recorder.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if got.Process != "entry-1" || len(got.Reasons) != len(c.reasons) {
				t.Fatalf("answer %+v, want the reasons %q", got, c.reasons)
			}
		})
	}
}
