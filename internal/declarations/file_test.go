package declarations

import (
	"testing"
)

const sampleFile = `
# Narration models of the day.
[model "narrator"]
versions = v1, v2
default_version = v2
labels = team=field
engine_selector = gpu in (h100, a100), !spare
memory = 24GiB
max_replicas = 1

[adapter "narrator-asphalt"]
model = narrator
memory = 200 MB

[engine "engine-1"]
labels = gpu=h100, domain=amman-a

[service "ledger"]
path_prefix = /ledger/
endpoint_selector = role=ledger
idempotent_methods =

[limits]
store_loads_per_second = 2.5
`

func TestParseFileSample(t *testing.T) {
	objects, err := ParseFile("sample.ini", []byte(sampleFile))
	if err != nil {
		t.Fatal(err)
	}
	again, err := ParseFile("again.ini", Format(objects))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s", Format(again))
}
