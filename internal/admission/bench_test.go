package admission

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

var waitingSizes = []int{100, 10_000, 100_000}

// fill offers n requests of many callers with scattered deadlines, spread evenly over the given number of adapters.
func fill(b *testing.B, n, adapters int) (*Queue, []Request) {
	b.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	q := NewQueue(Options{MaxWaiting: n + 1})
	requests := make([]Request, n+1)
	for i := range requests {
		left := time.Hour + time.Duration(random.Int64N(int64(time.Hour)))
		requests[i] = newRequest(strconv.Itoa(i), fmt.Sprint("caller", i%997), interactive, left)
		if adapters > 0 {
			requests[i].Target.Adapter = strconv.Itoa(i % adapters)
		}
		if i < n {
			q.Offer(start, requests[i], instant)
		}
	}
	if q.Len() != n {
		b.Fatalf("%d of %d requests waiting", q.Len(), n)
	}
	return q, requests
}

var instant = Estimate{Ready: true, MeanServiceTime: time.Microsecond, Concurrency: 16, Running: 16}

// BenchmarkQueue measures one Offer and one Remove in a queue of constant length. With adapters, all target queues
// share one replica.
func BenchmarkQueue(b *testing.B) {
	for _, n := range waitingSizes {
		for _, adapters := range []int{0, 50} {
			b.Run(fmt.Sprintf("waiting=%d/adapters=%d", n, adapters), func(b *testing.B) {
				q, requests := fill(b, n, adapters)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					in := requests[(i+n)%(n+1)]
					q.Offer(start, in, instant)
					q.Remove(requests[i%(n+1)].ID)
				}
			})
		}
	}
}

// BenchmarkQueueNext measures one Next and one Offer.
func BenchmarkQueueNext(b *testing.B) {
	for _, n := range waitingSizes {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			q, _ := fill(b, n, 0)
			b.ReportAllocs()
			for b.Loop() {
				r, _, _ := q.Next(start, target, instant)
				q.Offer(start, r, instant)
			}
		})
	}
}

// BenchmarkQueueExpire measures Expire when no request has to be refused.
func BenchmarkQueueExpire(b *testing.B) {
	estimate := func(Target) Estimate { return instant }
	for _, n := range waitingSizes {
		for _, adapters := range []int{0, 50} {
			b.Run(fmt.Sprintf("waiting=%d/adapters=%d", n, adapters), func(b *testing.B) {
				q, _ := fill(b, n, adapters)
				for b.Loop() {
					q.Expire(start, estimate)
				}
			})
		}
	}
}

// BenchmarkQueueIdle measures a request that is offered to an empty queue and starts immediately.
func BenchmarkQueueIdle(b *testing.B) {
	q := NewQueue(Options{MaxWaiting: 10})
	r := newRequest("1", "a", interactive, time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		q.Offer(start, r, steady)
		q.Next(start, target, steady)
	}
}
