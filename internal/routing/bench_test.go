package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var candidateCounts = []int{10, 100, 1_000, 10_000}

func manyCandidates(n int) []Candidate {
	source := rand.New(rand.NewPCG(1, 1))
	list := make([]Candidate, n)
	for i := range list {
		list[i] = engine(fmt.Sprint("engine-", i), i, loaded, func(c *Candidate) {
			c.Wait = time.Duration(source.IntN(1000)) * time.Millisecond
			c.Running = source.IntN(16)
		})
	}
	return list
}

// observedRouter returns a router that has an observation of each endpoint.
func observedRouter(list []Candidate) *Router {
	r := NewRouter(Options{Seed: 1})
	for _, c := range list {
		r.Observe(start, Observation{Endpoint: c.Endpoint, Outcome: OutcomeServed, FirstByte: 100 * time.Millisecond})
	}
	return r
}

// BenchmarkPick measures a choice by a scan of all candidates.
func BenchmarkPick(b *testing.B) {
	for _, n := range candidateCounts {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			list := manyCandidates(n)
			r := observedRouter(list)
			b.ReportAllocs()
			for b.Loop() {
				r.Pick(start, list, nil, interactive)
			}
		})
	}
}

// BenchmarkPickIndexed measures a choice by random draws from an index.
func BenchmarkPickIndexed(b *testing.B) {
	for _, n := range candidateCounts {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			list := manyCandidates(n)
			r := observedRouter(list)
			x := NewIndex()
			for _, c := range list {
				x.Put(c)
			}
			b.ReportAllocs()
			for b.Loop() {
				r.PickIndexed(start, x, nil, interactive)
			}
		})
	}
}

// BenchmarkIndexPut measures the update of an index by one load report.
func BenchmarkIndexPut(b *testing.B) {
	for _, n := range candidateCounts {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			list := manyCandidates(n)
			x := NewIndex()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				x.Put(list[i%n])
			}
		})
	}
}

// BenchmarkObserve measures recording the outcome of one attempt.
func BenchmarkObserve(b *testing.B) {
	for _, n := range candidateCounts {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			list := manyCandidates(n)
			r := observedRouter(list)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Observe(start, Observation{Endpoint: list[i%n].Endpoint, Outcome: OutcomeServed, FirstByte: 100 * time.Millisecond})
			}
		})
	}
}
