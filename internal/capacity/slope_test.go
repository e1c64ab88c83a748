package capacity

import (
	"fmt"
	"math"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// point is one measured size.
type point struct{ size, value float64 }

// line is value = fixed + slope*size, and the greatest part by which a point lies off it.
type line struct{ slope, fixed, worst float64 }

// fit returns the line with the least squared error relative to each point, so that the small sizes count as much as the
// large ones.
func fit(points []point) line {
	var w, x, y, xx, xy float64
	for _, p := range points {
		weight := 1 / (p.value * p.value)
		w += weight
		x += weight * p.size
		y += weight * p.value
		xx += weight * p.size * p.size
		xy += weight * p.size * p.value
	}
	var l line
	l.slope = (w*xy - x*y) / (w*xx - x*x)
	l.fixed = (y - l.slope*x) / w
	for _, p := range points {
		l.worst = max(l.worst, math.Abs(l.fixed+l.slope*p.size-p.value)/p.value)
	}
	return l
}

// growth is the power of the size with which the value grows between the two largest sizes: 1 for a line, 0 for a constant,
// 2 for a square.
func growth(points []point) float64 {
	a, b := points[len(points)-2], points[len(points)-1]
	return math.Log(b.value/a.value) / math.Log(b.size/a.size)
}

// sweep runs one benchmark at several sizes and reports the line that fits the values that it returns.
func sweep(b *testing.B, unit string, sizes []int, measure func(b *testing.B, size int) float64) {
	b.Helper()
	var points []point
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			value := measure(b, size)
			b.ReportMetric(value, unit)
			points = keep(points, point{size: float64(size), value: value})
		})
	}
	if len(points) < 3 {
		return
	}
	b.Run("fit", func(b *testing.B) {
		l := fit(points)
		for b.Loop() {
			continue
		}
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(l.fixed, unit+"-fixed")
		b.ReportMetric(l.slope, unit+"-slope")
		b.ReportMetric(100*l.worst, "%-off")
		b.ReportMetric(growth(points), "growth")
	})
}

// keep adds a point or replaces the one of the same size: a benchmark's function may run several times.
func keep(points []point, p point) []point {
	if n := len(points); n > 0 && points[n-1].size == p.size {
		points[n-1] = p
		return points
	}
	return append(points, p)
}

// cpuTime is the processor time that this process has used. Unlike elapsed time it hardly grows when the machine is busy.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuPerOp runs the operation for as long as the benchmark asks for and returns the nanoseconds of processor time of one,
// garbage collection included.
func cpuPerOp(b *testing.B, operation func(i int)) float64 {
	begin := cpuTime()
	i := 0
	for b.Loop() {
		operation(i)
		i++
	}
	return float64(cpuTime()-begin) / float64(i)
}

// heldBytes returns the heap and stack memory that what build returns keeps. It reports the smallest of three tries,
// because other goroutines may allocate meanwhile.
func heldBytes(build func() any) float64 {
	least := math.Inf(1)
	for range 3 {
		before := memoryInUse()
		kept := build()
		after := memoryInUse()
		runtime.KeepAlive(kept)
		least = min(least, max(1, after-before))
	}
	return least
}

func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) + float64(stats.StackInuse)
}

func TestFit(t *testing.T) {
	cases := []struct {
		name   string
		points []point
		want   line
	}{
		{"a line", []point{{1, 5}, {10, 23}, {100, 203}}, line{slope: 2, fixed: 3}},
		{"no slope", []point{{1, 7}, {10, 7}, {100, 7}}, line{fixed: 7}},
		{"no fixed part", []point{{1, 2}, {10, 20}, {100, 200}}, line{slope: 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := fit(c.points)
			if math.Abs(got.slope-c.want.slope) > 1e-9 || math.Abs(got.fixed-c.want.fixed) > 1e-6 || got.worst > 1e-6 {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
