// Command stage plays the cases of the review. It starts the project's programs as separate processes on loopback addresses, with
// stand-ins for the platform's store, the servers and the clients, and judges only what the stand-ins have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by their names.
var cases = map[string]func(*stage) error{
	"late-rejection": playLateRejection,
	"half-closed":    playHalfClosed,
	"encoded-slash":  playEncodedSlash,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	dir := flag.String("dir", "", "the folder for record.txt")
	binary := flag.String("binary", "target/balsamsail", "the program under test")
	seed := flag.Uint64("seed", 1, "the seed of the stand-ins")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	record.printf("case %s, trouble %t, seed %d", *name, *trouble, *seed)
	s, err := newStage(record, *binary, *trouble, *seed)
	if err != nil {
		record.printf("the case could not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	if err := play(s); err != nil {
		record.printf("the case could not run: %v", err)
		return exitNotRun
	}
	broken := record.violations()
	for _, v := range broken {
		record.printf("BROKEN %s", v)
	}
	record.printf("result: %d violations", len(broken))
	fmt.Printf("%d violations\n", len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
