package main

import (
	"fmt"
	"maps"
	"slices"
)

// recordFault counts an injected fault.
func (c *checker) recordFault(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["fault: "+name]++
}

// recordUsage records the peak resource usage of the processes of a role.
func (c *checker) recordUsage(r resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usage = append(c.usage, r)
}

// snapshot returns a copy of the counts.
func (c *checker) snapshot() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// report writes the counts, the resource usage and the violations, and returns the number of violations.
func (c *checker) report(o options, dir string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(o.out, "seed %d for %v: %d gateways, %d engines, %d endpoints of services\n", o.seed, o.length, o.size.gateways, o.size.engines, o.size.services)
	for _, name := range slices.Sorted(maps.Keys(c.counts)) {
		fmt.Fprintf(o.out, "  %6d %s\n", c.counts[name], name)
	}
	for _, u := range c.usage {
		fmt.Fprintf(o.out, "  the most that a process uses, %s: %.1f %% of a core, %.0f MB, %.0f descriptors\n", u.role, 100*u.cpu, u.memory, u.descriptors)
	}
	broken := 0
	for name, n := range c.counts {
		if len(name) > len("broken: ") && name[:len("broken: ")] == "broken: " {
			broken += n
		}
	}
	for _, v := range c.violations {
		fmt.Fprintln(o.out, "BROKEN", v)
	}
	if broken > 0 {
		fmt.Fprintf(o.out, "FAILED: %d promises broken; logs in %s; again: go run ./soak -seed %d -for %v\n", broken, dir, o.seed, o.length)
	} else {
		fmt.Fprintln(o.out, "passed")
	}
	return broken
}
