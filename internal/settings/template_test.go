package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
	// sectionMark begins or ends a part of a template that depends on a value. All values are given here.
	sectionMark = regexp.MustCompile(`\{\{[#/][a-z_.0-9]+\}\}`)
)

// renderTemplate returns a template from the platform's folder with its placeholders filled in as the platform does it.
func renderTemplate(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "platform", name))
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]string{
		"node_name": "host-1", "zone": "domain-1", "ip": "10.0.0.1", "app": "10.0.0.1:8145", "listen.frontend": "10.0.0.1:8149",
		"listen.readiness": "10.0.0.1:8141", "platform.address": "10.0.9.1:8142", "internal_ports.0": "7380", "internal_ports.1": "7395",
		"bounds.retry_budget_ratio": "0.2", "bounds.budget_extra_retries": "54", "bounds.budget_window_s": "10", "bounds.grace_s": "8",
		"limits.memory_mb": "284", "limits.max_fds": "4100",
	}
	return placeholder.ReplaceAllStringFunc(sectionMark.ReplaceAllString(string(text), ""), func(field string) string {
		value, ok := values[field[2:len(field)-2]]
		if !ok {
			t.Fatalf("%s: no value for %s", name, field)
		}
		return value
	})
}

// An operator edits a template, or the platform fills a placeholder with nothing. `balsamsail check`, and the process
// at startup, must report the file, line, section, key and allowed values: a process that starts with a guessed value
// shows the error only when the value is needed.
func TestBrokenPlatformSettingsGiveThePlace(t *testing.T) {
	cases := []struct {
		name, template, old, new string
		// want lists parts of the message, the location first.
		want []string
	}{
		{"an address without a port", "gateway.ini", "10.0.0.1:8149", "10.0.0.1", []string{"[gateway]", "listen"}},
		{"an empty address", "gateway.ini", "listen = 10.0.0.1:8149", "listen = ", []string{"[gateway]", "listen"}},
		{"a port out of range", "gateway.ini", "10.0.0.1:8141", "10.0.0.1:81410", []string{"[gateway]", "readiness_listen"}},
		{"two listeners on one address", "gateway.ini", "10.0.0.1:8141", "10.0.0.1:8149", []string{"[gateway]", "readiness_listen"}},
		{"no host", "gateway.ini", "host = host-1\n", "", []string{"[gateway]", "host"}},
		{"no store", "gateway.ini", "[store]\naddress = 10.0.9.1:8142\n", "", []string{"[store]"}},
		{"an unknown key", "gateway.ini", "address = 10.0.9.1:8142", "adress = 10.0.9.1:8142", []string{"[store]", "adress"}},
		{"an unknown section", "gateway.ini", "[retries]", "[retry]", []string{"[retry]"}},
		{"a key twice", "gateway.ini", "address = 10.0.9.1:8142", "address = 10.0.9.1:8142\naddress = 10.0.9.2:8142", []string{"[store]", "address"}},
		{"a time without a unit", "gateway.ini", "grace = 8s", "grace = 8", []string{"[drain]", "grace"}},
		{"a time below its bound", "gateway.ini", "grace = 8s", "grace = 10ms", []string{"[drain]", "grace", "1s"}},
		{"a shutdown without time for requests", "gateway.ini", "grace = 8s", "grace = 3s", []string{"[drain]", "lame_duck"}},
		{"a share above one", "gateway.ini", "share = 0.2", "share = 20", []string{"[retries]", "share", "1"}},
		{"a value that is not a number", "gateway.ini", "extra = 54", "extra = many", []string{"[retries]", "extra"}},
		{"a window that is not a duration", "gateway.ini", "window = 10s", "window = s", []string{"[retries]", "window"}},
		{"a wait beyond what the store allows", "gateway.ini", "address = 10.0.9.1:8142", "address = 10.0.9.1:8142\nwait = 1m", []string{"[store]", "wait", "30s"}},
		{"a minimum backoff above the maximum", "gateway.ini", "address = 10.0.9.1:8142", "address = 10.0.9.1:8142\nmin_backoff = 5s", []string{"[store]", "min_backoff"}},
		{"a negative share of the processor", "gateway.ini", "metrics_listen = 10.0.0.1:9464", "processor_share = -1", []string{"[gateway]", "processor_share", "0"}},
		{"a memory without a unit", "gateway.ini", "memory = 284MB", "memory = 284", []string{"[resources]", "memory", "unit"}},
		{"less memory than a process needs", "engine-agent.ini", "memory = 284MB", "memory = 20MB", []string{"[resources]", "memory", "64MB"}},
		{"no descriptors beside those of files", "gateway.ini", "descriptors = 4100", "descriptors = 4100\nfile_descriptors = 4099", []string{"[resources]", "descriptors", "file_descriptors"}},
		{"no descriptors", "engine-agent.ini", "descriptors = 4100", "descriptors = 0", []string{"[resources]", "descriptors", "256"}},
		{"an unknown log level", "gateway.ini", "level = info", "level = loud", []string{"[log]", "level", "debug"}},
		{"no port of the agents", "engine-agent.ini", "agent_port = 7380", "agent_port = 0", []string{"[control]", "agent_port", "1"}},
		{"a silence limit that one late heartbeat exceeds", "engine-agent.ini", "agent_port = 7380", "agent_port = 7380\nsilence_limit = 300ms", []string{"[control]", "silence_limit", "heartbeat"}},
		{"an engine without an address", "engine-agent.ini", "engine = 10.0.0.1:8145", "engine =", []string{"[engine_agent]", "engine"}},
		{"a line that is not a setting", "engine-agent.ini", "[log]", "log:\n[log]", []string{":16:", "key = value"}},
	}
	for _, template := range []string{"gateway.ini", "engine-agent.ini"} {
		if _, err := CheckFile(writeSettings(t, renderTemplate(t, template))); err != nil {
			t.Errorf("%s, rendered: %v", template, err)
		}
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := renderTemplate(t, c.template)
			if !strings.Contains(text, c.old) {
				t.Fatalf("%s does not hold %q", c.template, c.old)
			}
			path := writeSettings(t, strings.Replace(text, c.old, c.new, 1))
			_, err := CheckFile(path)
			if err == nil {
				t.Fatal("the invalid file was accepted")
			}
			for _, part := range append([]string{filepath.Base(path)}, c.want...) {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("%q does not name %q", err, part)
				}
			}
		})
	}
}

// Reloading an edited settings file must return the edited sections as changed and no others.
func TestSettingsAreReadAgain(t *testing.T) {
	path := writeSettings(t, renderTemplate(t, "gateway.ini"))
	before, err := LoadGateway(path, "drain.reserve=1s")
	if err != nil {
		t.Fatal(err)
	}
	if same, err := before.Reload(); err != nil || len(ChangedSections(before, same)) > 0 {
		t.Errorf("an unchanged file reads as changed: %v, %v", ChangedSections(before, same), err)
	}
	text := strings.NewReplacer("extra = 54", "extra = 60", "level = info", "level = debug").Replace(renderTemplate(t, "gateway.ini"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	after, err := before.Reload()
	if err != nil {
		t.Fatal(err)
	}
	if changed := ChangedSections(before, after); strings.Join(changed, ",") != "retries,log" || after.Retries.Extra != 60 {
		t.Errorf("changed: %v, extra %v, want retries and log, 60", changed, after.Retries.Extra)
	}
	if err := os.WriteFile(path, []byte("[gateway]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := before.Reload(); err == nil {
		t.Error("an invalid file was accepted")
	}
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "local.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
