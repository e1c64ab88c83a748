package test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"balsamsail/internal/childprocess"
)

var (
	maxClusters = flag.Int("clusters", 5, "maximum number of clusters that run at once")
	allPairs    = flag.Bool("long", false, "run every pair of failures")
	raceBinary  = flag.Bool("race-binary", false, "build the binary with the race detector")
	keepLogs    = flag.String("keep-logs", "", "copy the process logs of failed tests to this `directory`")
)

// binaryDir is the temporary directory of the built binary.
var binaryDir string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "balsamsail-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaryDir = dir
	return m.Run()
}

// buildBinary builds the binary once for all tests and returns its path.
var buildBinary = sync.OnceValues(func() (string, error) {
	path := filepath.Join(binaryDir, "balsamsail")
	if *raceBinary {
		return path, childprocess.BuildProgram(path, "-race")
	}
	return path, childprocess.BuildProgram(path)
})
