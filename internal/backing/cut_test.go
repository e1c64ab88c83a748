package backing

import (
	"context"
	"net/http"
	"testing"
	"time"

	"balsamsail/internal/faultlink/cuttest"
)

// Guards against a service of the platform that ends its connection in the middle of an answer, which counts as whole or as empty.
func TestAnswersThatAreCut(t *testing.T) {
	options := func(address string) Options {
		return Options{TableURL: "http://" + address, ObjectsURL: "http://" + address, HostsURL: "http://" + address, Timeout: 5 * time.Second}
	}
	for name, client := range map[string]cuttest.Client{
		"commit": {Body: `{"revision":1}`, New: func(_ *testing.T, address string) func(context.Context) error {
			table := NewHTTPTable(options(address), &http.Client{})
			return func(ctx context.Context) error {
				// All answers name one revision, which is new to each commit.
				table.(*httpTable).seen.Store(0)
				_, err := table.Commit(ctx, Txn{})
				return err
			}
		}},
		"list": {Body: `{"revision":1,"rows":[]}`, New: func(_ *testing.T, address string) func(context.Context) error {
			table := NewHTTPTable(options(address), &http.Client{})
			return func(ctx context.Context) error { _, err := table.List(ctx, "", 0); return err }
		}},
		"object": {Body: "object", New: func(_ *testing.T, address string) func(context.Context) error {
			objects := NewHTTPObjects(options(address), &http.Client{})
			return func(ctx context.Context) error { _, err := objects.GetObject(ctx, "o"); return err }
		}},
		"put": {New: func(_ *testing.T, address string) func(context.Context) error {
			objects := NewHTTPObjects(options(address), &http.Client{})
			return func(ctx context.Context) error { return objects.PutObject(ctx, "o", []byte("object")) }
		}, Body: "stored"},
		"hosts": {Body: `{"version":1,"hosts":[]}`, New: func(_ *testing.T, address string) func(context.Context) error {
			hosts := NewHTTPHosts(options(address), &http.Client{})
			return func(ctx context.Context) error { _, _, err := hosts.Hosts(ctx); return err }
		}},
	} {
		t.Run(name, func(t *testing.T) { cuttest.Run(t, client) })
	}
}
