package main

import (
	"flag"
	"os"
	"strings"
	"testing"

	"balsamsail/internal/declarations"
	"balsamsail/internal/settings"
)

var update = flag.Bool("update", false, "regenerate docs/SETTINGS.md")

const settingsPage = "../../docs/SETTINGS.md"

// settingsPageText returns the text of docs/SETTINGS.md, which has the settings from each role's help.
func settingsPageText() string {
	var b strings.Builder
	b.WriteString("# Settings and declarations\n\n" +
		"Written by `go test ./cmd/balsamsail -run SettingsPage -update` from the same place as `balsamsail entry -h` and the\n" +
		"other commands' help. A key that stands with a value has it as its default; the others are marked required or optional.\n")
	section := func(title, text string) { b.WriteString("\n## " + title + "\n\n```ini\n" + text + "```\n") }
	section("Entry", settings.Describe(settings.RoleEntry))
	section("Agent", settings.Describe(settings.RoleAgent))
	section("Gateway", settings.Describe(settings.RoleGateway))
	section("Agent beside an engine of the platform", settings.Describe(settings.RoleEngineAgent))
	section("Declarations", declarations.DescribeFile())
	section("Stand-in of the platform", settings.Describe(settings.RoleStandinPlatform))
	section("Stand-in of an engine", settings.Describe(settings.RoleStandinEngine))
	section("Stand-in of a plain service", settings.Describe(settings.RoleStandinService))
	return b.String()
}

func TestSettingsPageIsCurrent(t *testing.T) {
	want := settingsPageText()
	if *update {
		if err := os.WriteFile(settingsPage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(settingsPage)
	if err != nil || string(got) != want {
		t.Errorf("docs/SETTINGS.md is out of date (error: %v); regenerate it with: go test ./cmd/balsamsail -run SettingsPage -update", err)
	}
}
