package settings

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/settings/inifile"
)

const platformText = `[platform]
table_url = http://10.0.0.9:7000
objects_url = http://10.0.0.9:7000
hosts_url = http://10.0.0.9:7000
`

const entryText = `[entry]
id = entry-1
failure_domain = amman-a
listen = 127.0.0.1:8080
operator_listen = 127.0.0.1:8081
` + platformText

const agentText = `[agent]
host = host-1
failure_domain = amman-a
listen = 127.0.0.1:9000
[endpoint]
kind = engine
name = engine-1
url = http://127.0.0.1:9100
` + platformText

const standinText = "[standin]\nlisten = 127.0.0.1:0\n"

const hostText = standinText + "[host \"entry-1\"]\nrole = entry\nfailure_domain = amman-a\naddress = 127.0.0.1:8080\n"

func decode[T any](text string, sets, environment []string) (*T, error) {
	target := new(T)
	err := Source{File: "x.ini", Data: []byte(text), Sets: sets, Environment: environment}.decode(target)
	return target, err
}

func decodeRole(role Role, text string) error {
	var err error
	switch role {
	case RoleEntry:
		_, err = decode[Entry](text, nil, nil)
	case RoleAgent:
		_, err = decode[Agent](text, nil, nil)
	case RoleStandinPlatform:
		_, err = decode[StandinPlatform](text, nil, nil)
	case RoleStandinEngine:
		_, err = decode[StandinEngine](text, nil, nil)
	case RoleStandinService:
		_, err = decode[StandinService](text, nil, nil)
	}
	return err
}

func TestLeastFilesAreValid(t *testing.T) {
	cases := map[Role]string{
		RoleEntry: entryText, RoleAgent: agentText, RoleStandinPlatform: hostText,
		RoleStandinEngine: standinText + "[engine]\n", RoleStandinService: standinText + "[service]\n",
	}
	for role, text := range cases {
		t.Run(string(role), func(t *testing.T) {
			if err := decodeRole(role, text); err != nil {
				t.Error(err)
			}
			path := filepath.Join(t.TempDir(), "x.ini")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			if got, err := CheckFile(path); err != nil || got != role {
				t.Errorf("CheckFile = %q, %v, want %q", got, err, role)
			}
		})
	}
}

func TestBrokenFilesGiveThePlace(t *testing.T) {
	cases := []struct {
		name string
		role Role
		text string
		want string
	}{
		{"entry: unknown section", RoleEntry, entryText + "[limit]\n", "x.ini:10: [limit] unknown section; allowed: [entry], [platform]"},
		{"entry: unknown key", RoleEntry, entryText + "[limits]\nmax_inflight = 3\n", "x.ini:11: [limits] max_inflight: unknown key; allowed: max_in_flight"},
		{"entry: key in wrong section", RoleEntry, entryText + "[drain]\nmax_body = 1MiB\n", "x.ini:11: [drain] max_body: unknown key; allowed: readiness_delay, timeout"},
		{"entry: no id", RoleEntry, strings.Replace(entryText, "id = entry-1\n", "", 1), "x.ini:1: [entry] id: the key is missing"},
		{"entry: empty id", RoleEntry, strings.Replace(entryText, "entry-1", "", 1), "x.ini:2: [entry] id: the value is empty"},
		{"entry: address by name", RoleEntry, strings.Replace(entryText, "127.0.0.1:8080", "localhost:8080", 1), `x.ini:4: [entry] listen: "localhost:8080" is not an IP address and port; allowed: an IP address and port, such as`},
		{"entry: address without port", RoleEntry, strings.Replace(entryText, ":8081", "", 1), `x.ini:5: [entry] operator_listen: "127.0.0.1" is not an IP address and port`},
		{"entry: one address twice", RoleEntry, strings.Replace(entryText, ":8081", ":8080", 1), "x.ini:5: [entry] operator_listen: the address is listen's too; allowed: an address of its own"},
		{"entry: no platform", RoleEntry, strings.TrimSuffix(entryText, platformText), "x.ini: [platform] table_url: the key is missing"},
		{"entry: URL without scheme", RoleEntry, strings.Replace(entryText, "table_url = http://", "table_url = ", 1), "x.ini:7: [platform] table_url: not a base URL; allowed: an http or https URL"},
		{"entry: duration without unit", RoleEntry, entryText + "timeout = 2\n", `x.ini:10: [platform] timeout: "2" is not a duration with unit; allowed: a duration with unit ns, us, ms, s, m or h, such as 1m30s, from 10ms to 1m`},
		{"entry: duration with wrong unit", RoleEntry, entryText + "[drain]\ntimeout = 1d\n", `x.ini:11: [drain] timeout: "1d" is not a duration with unit`},
		{"entry: size without unit", RoleEntry, entryText + "[limits]\nmax_body = 1048576\n", `x.ini:11: [limits] max_body: "1048576" has no unit of size; allowed: a size with unit B, KB`},
		{"entry: out of range", RoleEntry, entryText + "[limits]\nmax_in_flight = 0\n", "x.ini:11: [limits] max_in_flight: 0 is out of range; allowed: a whole number, from 1 to 1000000"},
		{"entry: batch above all", RoleEntry, entryText + "[limits]\nmax_batch = 11\nmax_in_flight = 10\n", "x.ini:11: [limits] max_batch: the value is above max_in_flight; allowed: at most max_in_flight"},
		{"entry: deadlines are declared, not set", RoleEntry, entryText + "[limits]\ninteractive_deadline = 9h\n", "x.ini:11: [limits] interactive_deadline: unknown key; allowed: max_in_flight"},
		{"entry: backoff", RoleEntry, entryText + "[replicas]\nmin_backoff = 5s\n", "x.ini:11: [replicas] min_backoff: the value is above max_backoff"},
		{"entry: heartbeat", RoleEntry, entryText + "[membership]\nheartbeat_interval = 3s\n", "x.ini:10: [membership] silence_limit: one late heartbeat would count as a loss; allowed: at least twice heartbeat_interval"},
		{"entry: contradiction over sections", RoleEntry, entryText + "timeout = 5s\n[declarations]\nedit_timeout = 1s\n", "x.ini:12: [declarations] edit_timeout: an edit would end before one call of the table may; allowed: at least timeout of [platform]"},
		{"entry: log level", RoleEntry, entryText + "[log]\nlevel = trace\n", `x.ini:11: [log] level: "trace" is not an allowed value; allowed: one of debug, info, warn, error`},
		{"agent: kind", RoleAgent, strings.Replace(agentText, "kind = engine", "kind = gpu", 1), `x.ini:6: [endpoint] kind: "gpu" is not an allowed value; allowed: one of engine, service`},
		{"agent: memory of a service", RoleAgent, strings.Replace(agentText, "kind = engine", "kind = service\nmemory = 1GiB", 1), "x.ini:7: [endpoint] memory: a plain service takes no orders; allowed: only with kind = engine"},
		{"agent: boolean", RoleAgent, strings.Replace(agentText, "kind = engine", "kind = engine\nchecks_fencing = 1", 1), `x.ini:7: [endpoint] checks_fencing: "1" can't be read; allowed: true or false`},
		{"agent: no credentials", RoleAgent, strings.Replace(agentText, "kind = engine", "kind = engine\ncredentials_file = /nonexistent/token", 1), "x.ini:7: [endpoint] credentials_file: open /nonexistent/token: no such file or directory"},
		{"agent: order timeout", RoleAgent, agentText + "[order]\nmax_life = 1s\n", "x.ini:13: [order] timeout: the value is above max_life"},
		{"agent: queue", RoleAgent, agentText + "[queue]\nmax_per_target = 2000\n", "x.ini:14: [queue] max_per_target: the value is above max_waiting"},
		{"agent: labels", RoleAgent, strings.Replace(agentText, "kind = engine", "kind = engine\nlabels = gpu:h100", 1), `x.ini:7: [endpoint] labels: "gpu:h100" is not a label; allowed: labels such as gpu=h100, pool=day`},
		{"agent: entry's section", RoleAgent, agentText + "[replicas]\n", "x.ini:13: [replicas] unknown section; allowed: [agent], [endpoint]"},
		{"platform: host without endpoint", RoleStandinPlatform, strings.Replace(hostText, "role = entry", "role = endpoint", 1), `x.ini:3: [host "entry-1"] endpoint: a host with role endpoint names none`},
		{"platform: host twice", RoleStandinPlatform, hostText + "[host \"entry-1\"]\n", `x.ini:7: [host "entry-1"] the section stands twice, first on line 3`},
		{"platform: host without name", RoleStandinPlatform, hostText + "[host]\n", "x.ini:7: [host] the section's title has or lacks a name; allowed: [host \"...\"]"},
		{"engine: cache above memory", RoleStandinEngine, standinText + "[engine]\nmemory = 4GiB\n", "x.ini:3: [engine] kv: the value is above memory"},
		{"engine: fencing", RoleStandinEngine, standinText + "[engine]\nfencing = maybe\n", `x.ini:4: [engine] fencing: "maybe" is not an allowed value; allowed: one of checks, ignores`},
		{"service: key twice", RoleStandinService, standinText + "[service]\nconcurrency = 1\nconcurrency = 2\n", "x.ini:5: [service] concurrency: the key stands twice in the section"},
		{"service: no key", RoleStandinService, standinText + "[service]\nconcurrency\n", "x.ini:4: the line is neither a section, a key nor a comment; allowed: key = value"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := decodeRole(c.role, c.text)
			var problems inifile.Problems
			if !errors.As(err, &problems) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("errors:\n%v\nwant among them:\n%s", err, c.want)
			}
		})
	}
}

func TestOverridesGoBeforeTheFile(t *testing.T) {
	const text = entryText + "[limits]\nmax_in_flight = 100\nmax_batch = 10\n"
	cases := []struct {
		name        string
		sets        []string
		environment []string
		want        int
		problem     string
	}{
		{"file", nil, nil, 100, ""},
		{"environment", nil, []string{"BALSAMSAIL__LIMITS__MAX_IN_FLIGHT=200", "HOME=/"}, 200, ""},
		{"set", []string{"limits.max_in_flight=300"}, []string{"BALSAMSAIL__LIMITS__MAX_IN_FLIGHT=200"}, 300, ""},
		{"set of unknown key", []string{"limits.max=1"}, nil, 0, "-set limits.max: [limits] max: unknown key"},
		{"malformed set", []string{"max_in_flight"}, nil, 0, `-set: "max_in_flight" is malformed; allowed: section.key=value`},
		{"set out of range", []string{"limits.max_in_flight=0"}, nil, 0, "-set limits.max_in_flight: [limits] max_in_flight: 0 is out of range"},
		{"unknown variable", nil, []string{"BALSAMSAIL__LIMITS__MAX=1"}, 0, "environment variable BALSAMSAIL__LIMITS__MAX: [limits] max: unknown key"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			entry, err := decode[Entry](text, c.sets, c.environment)
			if c.problem != "" {
				if err == nil || !strings.Contains(err.Error(), c.problem) {
					t.Errorf("error = %v, want %q", err, c.problem)
				}
				return
			}
			if err != nil || entry.Limits.MaxInFlight != c.want {
				t.Errorf("max_in_flight = %d, %v, want %d", entry.Limits.MaxInFlight, err, c.want)
			}
		})
	}
}

func TestSecretIsNeverPrinted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(path, []byte("hunter2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(agentText, "kind = engine", "kind = engine\ncredentials_file = "+path, 1)
	agent, err := decode[Agent](text, nil, nil)
	if err != nil || agent.Credentials.Reveal() != "hunter2" {
		t.Fatalf("credentials are %q, %v", agent.Credentials.Reveal(), err)
	}
	var logged strings.Builder
	slog.New(slog.NewTextHandler(&logged, nil)).Info("start", "agent", agent, "credentials", agent.Credentials)
	marshalled, err := json.Marshal(agent)
	if err != nil {
		t.Fatal(err)
	}
	shown := []string{
		logged.String(), string(marshalled), string(inifile.Format(agent)),
		fmt.Sprintf("%v %+v %#v %s", agent, agent, agent, agent.Credentials), fmt.Sprintf("%q %x", agent.Credentials, agent.Credentials),
	}
	for _, text := range shown {
		if strings.Contains(text, "hunter2") || strings.Contains(text, "68756e746572") {
			t.Errorf("the secret shows in %s", text)
		}
	}
}

func TestReadSecretRefuses(t *testing.T) {
	cases := map[string]string{"empty": " \n", "two lines": "a\nb\n", "too long": strings.Repeat("a", maxSecretBytes+1)}
	for name, content := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "token")
			if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := ReadSecret(path); !errors.Is(err, ErrRead) {
				t.Errorf("error = %v, want ErrRead", err)
			}
		})
	}
}

// The description of every role must parse as the role's defaults and document each key.
func TestDescriptionsReadAsDefaults(t *testing.T) {
	for _, role := range []Role{RoleEntry, RoleAgent, RoleStandinPlatform, RoleStandinEngine, RoleStandinService} {
		t.Run(string(role), func(t *testing.T) {
			text := Describe(role)
			if strings.Contains(text, "\n# \n") {
				t.Error("a key is not documented")
			}
			err := decodeRole(role, text)
			var problems inifile.Problems
			errors.As(err, &problems)
			for _, p := range problems {
				if p.Text != "the key is missing" {
					t.Error(p)
				}
			}
		})
	}
	if Describe("none") != "" {
		t.Error("an unknown role is described")
	}
}

func TestDescribedEntryEqualsDefaults(t *testing.T) {
	text := Describe(RoleEntry)
	required := map[string]string{
		"id": "entry-1", "failure_domain": "amman-a", "listen": "127.0.0.1:8080", "operator_listen": "127.0.0.1:8081",
		"table_url": "http://10.0.0.9:7000", "objects_url": "http://10.0.0.9:7000", "hosts_url": "http://10.0.0.9:7000",
	}
	for key, value := range required {
		text = strings.Replace(text, "\n# "+key+" = (required)", "\n"+key+" = "+value, 1)
	}
	described, err := decode[Entry](text, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	plain, err := decode[Entry](entryText, nil, nil)
	if err != nil || !reflect.DeepEqual(described, plain) {
		t.Errorf("described %+v, plain %+v, %v", described, plain, err)
	}
	if plain.Platform.Timeout != 2*time.Second {
		t.Errorf("timeout is %v", plain.Platform.Timeout)
	}
}
