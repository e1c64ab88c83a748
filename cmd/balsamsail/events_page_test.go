package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var eventInCode = regexp.MustCompile(`"event", "([a-z_]+)"`)

// TestOperationsPageListsEvents checks that docs/OPERATIONS.md documents every event name in the log lines.
func TestOperationsPageListsEvents(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	events := namesInCode(t, eventInCode)
	if len(events) < 20 {
		t.Fatalf("found %d events in the code: %v", len(events), events)
	}
	for _, name := range events {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md does not list the event %s", name)
		}
	}
}

// namesInCode returns the sorted unique matches of the expression's first group in the non-test sources.
func namesInCode(t *testing.T, expression *regexp.Regexp) []string {
	t.Helper()
	var names []string
	for _, root := range []string{"../../internal", "../../platform"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, match := range expression.FindAllStringSubmatch(string(source), -1) {
				names = append(names, match[1])
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
