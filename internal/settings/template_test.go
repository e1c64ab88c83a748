package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// filled returns a template of the platform's folder with values for its placeholders, as the platform would fill it.
func filled(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "platform", name))
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]string{
		"node_name": "host-1", "zone": "domain-1", "ip": "10.0.0.1", "app": "10.0.0.1:8145", "listen.frontend": "10.0.0.1:8149",
		"listen.readiness": "10.0.0.1:8141", "platform.address": "10.0.9.1:8142", "internal_ports.0": "7380", "internal_ports.1": "7395",
		"bounds.retry_budget_ratio": "0.2", "bounds.budget_extra_retries": "54", "bounds.budget_window_s": "10", "bounds.grace_s": "8",
	}
	return placeholder.ReplaceAllStringFunc(string(text), func(field string) string {
		value, ok := values[field[2:len(field)-2]]
		if !ok {
			t.Fatalf("%s: no value for %s", name, field)
		}
		return value
	})
}

// An operator changes a template, or the platform fills a hole with nothing. `balsamsail check`, and the process at its start,
// must name the file, the line, the section and the key, and say what is allowed: a process that starts on a guess is found out
// only when it is needed.
func TestBrokenPlatformSettingsGiveThePlace(t *testing.T) {
	cases := []struct {
		name, template, old, new string
		// want are parts of the message: the place first.
		want []string
	}{
		{"an address without a port", "gateway.ini", "10.0.0.1:8149", "10.0.0.1", []string{"[gateway]", "listen"}},
		{"a hole where an address was", "gateway.ini", "listen = 10.0.0.1:8149", "listen = ", []string{"[gateway]", "listen"}},
		{"a port out of range", "gateway.ini", "10.0.0.1:8141", "10.0.0.1:81410", []string{"[gateway]", "readiness_listen"}},
		{"two listeners on one address", "gateway.ini", "10.0.0.1:8141", "10.0.0.1:8149", []string{"[gateway]", "readiness_listen"}},
		{"no host", "gateway.ini", "host = host-1\n", "", []string{"[gateway]", "host"}},
		{"no store", "gateway.ini", "[store]\naddress = 10.0.9.1:8142\n", "", []string{"[store]"}},
		{"a key that is none", "gateway.ini", "address = 10.0.9.1:8142", "adress = 10.0.9.1:8142", []string{"[store]", "adress"}},
		{"a section that is none", "gateway.ini", "[retries]", "[retry]", []string{"[retry]"}},
		{"a key twice", "gateway.ini", "address = 10.0.9.1:8142", "address = 10.0.9.1:8142\naddress = 10.0.9.2:8142", []string{"[store]", "address"}},
		{"a time without a unit", "gateway.ini", "grace = 8s", "grace = 8", []string{"[drain]", "grace"}},
		{"a time below its bound", "gateway.ini", "grace = 8s", "grace = 10ms", []string{"[drain]", "grace", "1s"}},
		{"a stop without time for requests", "gateway.ini", "grace = 8s", "grace = 3s", []string{"[drain]", "lame_duck"}},
		{"a share over one", "gateway.ini", "share = 0.2", "share = 20", []string{"[retries]", "share", "1"}},
		{"a number that is none", "gateway.ini", "extra = 54", "extra = many", []string{"[retries]", "extra"}},
		{"a window that is none", "gateway.ini", "window = 10s", "window = s", []string{"[retries]", "window"}},
		{"a wait beyond what the store allows", "gateway.ini", "address = 10.0.9.1:8142", "address = 10.0.9.1:8142\nwait = 1m", []string{"[store]", "wait", "30s"}},
		{"pauses in the wrong order", "gateway.ini", "address = 10.0.9.1:8142", "address = 10.0.9.1:8142\nmin_backoff = 5s", []string{"[store]", "min_backoff"}},
		{"an unknown level of logs", "gateway.ini", "level = info", "level = loud", []string{"[log]", "level", "debug"}},
		{"no port of the agents", "engine-agent.ini", "agent_port = 7380", "agent_port = 0", []string{"[control]", "agent_port", "1"}},
		{"a silence limit that one late word exceeds", "engine-agent.ini", "agent_port = 7380", "agent_port = 7380\nsilence_limit = 300ms", []string{"[control]", "silence_limit", "heartbeat"}},
		{"an engine without an address", "engine-agent.ini", "engine = 10.0.0.1:8145", "engine =", []string{"[engine_agent]", "engine"}},
		{"a line that is no setting", "engine-agent.ini", "[log]", "log:\n[log]", []string{":12:", "key = value"}},
	}
	for _, template := range []string{"gateway.ini", "engine-agent.ini"} {
		if _, err := CheckFile(write(t, filled(t, template))); err != nil {
			t.Errorf("%s, filled: %v", template, err)
		}
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := filled(t, c.template)
			if !strings.Contains(text, c.old) {
				t.Fatalf("%s does not hold %q", c.template, c.old)
			}
			path := write(t, strings.Replace(text, c.old, c.new, 1))
			_, err := CheckFile(path)
			if err == nil {
				t.Fatal("the file was taken as valid")
			}
			for _, part := range append([]string{filepath.Base(path)}, c.want...) {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("%q does not name %q", err, part)
				}
			}
		})
	}
}

// An operator changes a file of settings and tells the process, which must see what is new in it and nothing else.
func TestSettingsAreReadAgain(t *testing.T) {
	path := write(t, filled(t, "gateway.ini"))
	before, err := LoadGateway(path, "drain.reserve=1s")
	if err != nil {
		t.Fatal(err)
	}
	if same, err := before.Again(); err != nil || len(ChangedSections(before, same)) > 0 {
		t.Errorf("an unchanged file reads as changed: %v, %v", ChangedSections(before, same), err)
	}
	text := strings.NewReplacer("extra = 54", "extra = 60", "level = info", "level = debug").Replace(filled(t, "gateway.ini"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	after, err := before.Again()
	if err != nil {
		t.Fatal(err)
	}
	if changed := ChangedSections(before, after); strings.Join(changed, ",") != "retries,log" || after.Retries.Extra != 60 {
		t.Errorf("changed: %v, extra %v, want retries and log, 60", changed, after.Retries.Extra)
	}
	if err := os.WriteFile(path, []byte("[gateway]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := before.Again(); err == nil {
		t.Error("a broken file is taken as valid")
	}
}

// write writes a settings file.
func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "local.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
