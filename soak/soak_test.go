package main

import (
	"bytes"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"balsamsail/internal/childprocess"
)

// A seed always draws the same faults, all of them while the run lasts.
func TestPlanFollowsItsSeed(t *testing.T) {
	const length = time.Minute
	names := func(events []event) (list []string) {
		for _, e := range events {
			list = append(list, e.fault.name)
			if e.at < quietBegin || e.at+e.lasts > length+repeatWithin {
				t.Errorf("%s from %v for %v", e.fault.name, e.at, e.lasts)
			}
		}
		return list
	}
	first := names(plan(7, length, faults))
	if again := names(plan(7, length, faults)); !reflect.DeepEqual(first, again) {
		t.Errorf("one seed drew %v and %v", first, again)
	}
	if other := names(plan(8, length, faults)); reflect.DeepEqual(first, other) {
		t.Error("two seeds drew the same faults")
	}
}

// seeds are runs that CI makes: a fixed one, and each one that has ever shown a broken promise, with its cause.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{2, "none; a fixed run with most kinds of faults"},
}

// The real programs run for a while between stand-ins of the platform while processes, network, store and endpoints fail. No
// promise may be broken, and the site must be well again soon after the last fault.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "balsamsail")
	if err := childprocess.BuildProgram(binary); err != nil {
		t.Fatal(err)
	}
	for _, s := range seeds {
		var out bytes.Buffer
		violations, err := run(options{
			seed: s.seed, length: 15 * time.Second, size: size{gateways: 3, engines: 4, services: 4, models: 12}, clients: 8,
			root: "..", binary: binary, keep: t.TempDir(), out: &out,
		})
		if err != nil || violations > 0 {
			t.Errorf("seed %d (%s): %v\n%s", s.seed, s.cause, err, out.String())
		}
	}
}
