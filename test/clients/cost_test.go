package clients

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
)

var program = flag.String("program", "", "path of the program to measure, instead of the one that is built")

// BenchmarkRequest sends one request after another over one connection to a gateway, and reports what each cost the gateway: processor
// time and allocations.
func BenchmarkRequest(b *testing.B) {
	if *program != "" {
		binary = *program
	}
	r := startGateway(b, descriptors)
	conn, err := net.Dial("tcp", r.clients)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request := r.requestHead(http.MethodPost, prefixOrdinary) + lengthField(800) + "\r\n" + strings.Repeat("b", 800)
	exchange := func() {
		if _, err := io.WriteString(conn, request); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(response.Status, err)
		}
	}
	for range 2000 {
		exchange()
	}
	processor, allocations := processorTime(b, r.process.Pid()), allocationsOf(b, r.metrics)
	for b.Loop() {
		exchange()
	}
	b.ReportMetric(float64(processorTime(b, r.process.Pid())-processor)/float64(b.N), "processor-ns/op")
	b.ReportMetric((allocationsOf(b, r.metrics)-allocations)/float64(b.N), "gateway-allocs/op")
}

// processorTime returns the processor time that a process has used, in nanoseconds.
func processorTime(b *testing.B, pid int) int64 {
	total := int64(0)
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		b.Fatal(err)
	}
	for _, task := range tasks {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", pid, task.Name()))
		if err != nil {
			b.Fatal(err)
		}
		n, err := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		if err != nil {
			b.Fatal(err)
		}
		total += n
	}
	return total
}

// allocationsOf returns the number of allocations that a process has made, from its metrics.
func allocationsOf(b *testing.B, address string) float64 {
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "go_memstats_mallocs_total "); ok {
			n, err := strconv.ParseFloat(rest, 64)
			if err != nil {
				b.Fatal(err)
			}
			return n
		}
	}
	b.Fatal("no number of allocations")
	return 0
}
