package capacity

import (
	"fmt"
	"math"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// point is a measured value at one size.
type point struct{ size, value float64 }

// line is the fit value = intercept + slope*size. maxError is the maximum relative error of a point.
type line struct{ slope, intercept, maxError float64 }

// fit returns the line with the least squares of the relative errors, so that small sizes count as much as large ones.
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
	l.intercept = (y - l.slope*x) / w
	for _, p := range points {
		l.maxError = max(l.maxError, math.Abs(l.intercept+l.slope*p.size-p.value)/p.value)
	}
	return l
}

// growthExponent returns the exponent of the value's growth between the two largest sizes: 0 if it is constant, 1 if
// linear, 2 if quadratic.
func growthExponent(points []point) float64 {
	a, b := points[len(points)-2], points[len(points)-1]
	return math.Log(b.value/a.value) / math.Log(b.size/a.size)
}

// benchmarkSizes runs a benchmark at several sizes and reports the line fitted to the values that measure returns.
func benchmarkSizes(b *testing.B, unit string, sizes []int, measure func(b *testing.B, size int) float64) {
	b.Helper()
	var points []point
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			value := measure(b, size)
			b.ReportMetric(value, unit)
			points = replaceOrAppend(points, point{size: float64(size), value: value})
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
		b.ReportMetric(l.intercept, unit+"-fixed")
		b.ReportMetric(l.slope, unit+"-slope")
		b.ReportMetric(100*l.maxError, "%-off")
		b.ReportMetric(growthExponent(points), "growth")
	})
}

// replaceOrAppend appends a point or replaces the last one if it has the same size, because the testing package may run a
// benchmark function several times.
func replaceOrAppend(points []point, p point) []point {
	if n := len(points); n > 0 && points[n-1].size == p.size {
		points[n-1] = p
		return points
	}
	return append(points, p)
}

// cpuTime returns the CPU time of this process. Unlike elapsed time, it is little affected by other load on the machine.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuPerOp runs the operation in the benchmark's loop and returns the CPU time per operation in nanoseconds, including
// garbage collection.
func cpuPerOp(b *testing.B, operation func(i int)) float64 {
	begin := cpuTime()
	i := 0
	for b.Loop() {
		operation(i)
		i++
	}
	return float64(cpuTime()-begin) / float64(i)
}

// retainedBytes returns the heap and stack memory retained by the value that build returns. It is the minimum of three
// measurements, because other goroutines may allocate at the same time.
func retainedBytes(build func() any) float64 {
	smallest := math.Inf(1)
	for range 3 {
		before := memoryInUse()
		value := build()
		after := memoryInUse()
		runtime.KeepAlive(value)
		smallest = min(smallest, max(1, after-before))
	}
	return smallest
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
		{"a line", []point{{1, 5}, {10, 23}, {100, 203}}, line{slope: 2, intercept: 3}},
		{"no slope", []point{{1, 7}, {10, 7}, {100, 7}}, line{intercept: 7}},
		{"no fixed part", []point{{1, 2}, {10, 20}, {100, 200}}, line{slope: 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := fit(c.points)
			if math.Abs(got.slope-c.want.slope) > 1e-9 || math.Abs(got.intercept-c.want.intercept) > 1e-6 || got.maxError > 1e-6 {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
