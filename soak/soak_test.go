package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"balsamsail/internal/childprocess"
)

// The same seed must always give the same plan, and all faults must lie within the run.
func TestPlanFollowsItsSeed(t *testing.T) {
	const length = time.Minute
	names := func(events []event) (list []string) {
		for _, e := range events {
			list = append(list, e.fault.name)
			if e.at < quietStart || e.at+e.duration > length+repeatWithin {
				t.Errorf("%s from %v for %v is outside the run", e.fault.name, e.at, e.duration)
			}
		}
		return list
	}
	first := names(plan(7, length, faults))
	if again := names(plan(7, length, faults)); !reflect.DeepEqual(first, again) {
		t.Errorf("the same seed gave %v and %v", first, again)
	}
	if other := names(plan(8, length, faults)); reflect.DeepEqual(first, other) {
		t.Error("two seeds gave the same faults")
	}
}

// seeds are the runs that CI makes: a fixed one, and each seed that has ever found a violation, with its cause. only selects
// the faults, as in the flag of the same name.
var seeds = []struct {
	seed   uint64
	length time.Duration
	only   string
	cause  string
}{
	{2, 15 * time.Second, "", "none; a fixed run with most kinds of faults"},
	{14, 22 * time.Second, "configuration,store cut,store silent", "a catch-up with the store that a slow link could not carry within a call's time limit"},
	{18, 14 * time.Second, "store mute,configuration", "a call for changes that the store had lost was awaited for six seconds"},
	{2040, 14 * time.Second, "", "the soak itself: an endpoint of one service was restarted under its ID as one of another"},
	{1, 15 * time.Second, "limit", "a limit that an endpoint named was not kept"},
	{11, 15 * time.Second, "request that ends", "a request that ends endpoints was sent on to others in each try"},
	{41, 20 * time.Second, "requests with a part", "requests that share a part which ends endpoints were sent on, and all sound ones refused beside them"},
	{46, 20 * time.Second, "connections skewed,limit,with their connection,gateway killed", "none; connections to one gateway, and answers that end with their connection"},
	{54, 20 * time.Second, "requests with a part", "the stand-in: an engine that had ended wrote its registration again"},
	{8102, 20 * time.Second, "", "the stand-in: streams without length or chunks seemed whole when their engine had ended"},
	{61, 15 * time.Second, "sheds and repeats answers", "a copy of a rejection was taken for the answer to another request, and to the same one sent again"},
	{71, 20 * time.Second, "do not behave,gateway killed,gateway stopped,store down,connections skewed", "none; crowds of clients that do not behave, beside stops and a lost store"},
	{31, 20 * time.Second, "gateway killed,gateway stopped,endpoint crashed,broken off,truncates", "streams went on at another software version"},
}

// Guards against two of CI's runs at the same addresses.
func TestSeedsHaveAddressesOfTheirOwn(t *testing.T) {
	used := make(map[uint64]uint64)
	for _, s := range seeds {
		if other, taken := used[s.seed%addressRanges]; taken {
			t.Errorf("seeds %d and %d use the same addresses", other, s.seed)
		}
		used[s.seed%addressRanges] = s.seed
	}
}

// runsAtOnce bounds the runs at a time, so that each has the processors that it needs.
const runsAtOnce = 3

// Runs the real programs with stand-ins for the platform while processes, network, store and endpoints fail. No guarantee
// may be violated, and the site must recover soon after the last fault.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "balsamsail")
	if err := childprocess.BuildProgram(binary); err != nil {
		t.Fatal(err)
	}
	slots := make(chan struct{}, runsAtOnce)
	for _, s := range seeds {
		t.Run(fmt.Sprintf("seed %d", s.seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			var out bytes.Buffer
			violations, err := run(options{
				seed: s.seed, length: s.length, only: s.only, size: size{gateways: 3, engines: 4, services: 4, models: 12}, clients: 8,
				root: "..", binary: binary, keep: logDirectory(t), out: &out,
			})
			if err != nil || violations > 0 {
				t.Errorf("%s: %v\n%s", s.cause, err, out.String())
			}
		})
	}
}

// logDirectory returns a directory for the logs of a run, which is removed unless the test fails.
func logDirectory(t *testing.T) string {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(dir)
		}
	})
	return dir
}
