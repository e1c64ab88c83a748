package main

import (
	"fmt"
	"maps"
	"slices"
)

// injected counts a fault.
func (j *judge) injected(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts["fault: "+name]++
}

// uses notes what processes of a role use.
func (j *judge) uses(r resources) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.used = append(j.used, r)
}

// snapshot returns the counts so far.
func (j *judge) snapshot() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return maps.Clone(j.counts)
}

// report writes what was counted and which promises were broken, and returns how many.
func (j *judge) report(o options, dir string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(o.out, "seed %d for %v: %d gateways, %d engines, %d endpoints of services\n", o.seed, o.length, o.size.gateways, o.size.engines, o.size.services)
	for _, name := range slices.Sorted(maps.Keys(j.counts)) {
		fmt.Fprintf(o.out, "  %6d %s\n", j.counts[name], name)
	}
	for _, u := range j.used {
		fmt.Fprintf(o.out, "  the most that a process uses, %s: %.1f %% of a core, %.0f MB, %.0f descriptors\n", u.role, 100*u.processor, u.memory, u.descriptors)
	}
	broken := 0
	for name, n := range j.counts {
		if len(name) > len("broken: ") && name[:len("broken: ")] == "broken: " {
			broken += n
		}
	}
	for _, v := range j.violations {
		fmt.Fprintln(o.out, "BROKEN", v)
	}
	if broken > 0 {
		fmt.Fprintf(o.out, "FAILED: %d promises broken; logs in %s; again: go run ./soak -seed %d -for %v\n", broken, dir, o.seed, o.length)
	} else {
		fmt.Fprintln(o.out, "passed")
	}
	return broken
}
