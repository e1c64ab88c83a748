package declarations

import (
	"slices"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/settings/inifile"
)

const sampleFile = `
# Narration models of the day.
[model "narrator"]
versions = v1, v2
default_version = v2
labels = team=field
engine_selector = gpu in (h100, a100), !spare
memory = 24GiB
max_replicas = 1

[adapter "narrator-asphalt"]
model = narrator
memory = 200 MB

[engine "engine-1"]
labels = gpu=h100, domain=amman-a

[service "ledger"]
path_prefix = /ledger/
endpoint_selector = role=ledger
idempotent_methods =

[limits]
store_loads_per_second = 5
`

func sampleObjects() []*pb.Object {
	return []*pb.Object{
		ModelObject(&pb.Model{
			Name: "narrator", Versions: []string{"v1", "v2"}, DefaultVersion: "v2", Labels: map[string]string{"team": "field"},
			EngineSelector: "gpu in (a100,h100),!spare", MemoryBytes: 24 << 30, KvFloorBytes: 1 << 30, MinReplicas: 1,
			MaxReplicas: 1, MaxConcurrency: 16,
		}),
		AdapterObject(&pb.Adapter{Name: "narrator-asphalt", Model: "narrator", Version: "v2", MemoryBytes: 200e6}),
		EngineObject(&pb.Engine{Name: "engine-1", Labels: map[string]string{"gpu": "h100", "domain": "amman-a"}}),
		ServiceObject(&pb.Service{
			Name: "ledger", PathPrefix: "/ledger/", EndpointSelector: "role=ledger", MaxConcurrency: 64,
			MaxBodyBytes: 16 << 20, DefaultDeadlineMillis: 30_000,
		}),
		LimitsObject(&pb.Limits{
			StoreLoadsPerSecond: 5, StoreLoadsAtOnce: 4, AdaptersInTransit: 30, ColdStartWeight: 1, IdleWeight: 1,
			InteractiveDeadlineMillis: 30_000, BatchDeadlineMillis: 8 * 3600_000,
		}),
	}
}

func TestParseFile(t *testing.T) {
	objects, err := ParseFile("sample.ini", []byte(sampleFile))
	if err != nil {
		t.Fatal(err)
	}
	if want := sampleObjects(); !slices.EqualFunc(objects, want, equalObject) {
		t.Errorf("objects are\n%v\nwant\n%v", objects, want)
	}
}

func TestParseFileFitsReplicaDefaults(t *testing.T) {
	cases := []struct {
		name, keys string
		min, max   int32
	}{
		{"both left out", "", 2, 2},
		{"maximum of one", "max_replicas = 1\n", 1, 1},
		{"minimum of five", "min_replicas = 5\n", 5, 5},
		{"minimum of zero", "min_replicas = 0\n", 0, 2},
		{"both given", "min_replicas = 1\nmax_replicas = 7\n", 1, 7},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			objects, err := ParseFile("m.ini", []byte("[model \"m\"]\nversions = v1\nmemory = 1GiB\n"+c.keys))
			if err != nil {
				t.Fatal(err)
			}
			if m := objects[0].GetModel(); m.MinReplicas != c.min || m.MaxReplicas != c.max {
				t.Errorf("replicas are %d to %d, want %d to %d", m.MinReplicas, m.MaxReplicas, c.min, c.max)
			}
		})
	}
}

func TestParseFileNamesThePlace(t *testing.T) {
	const model = "[model \"m\"]\nversions = v1, v2\ndefault_version = v1\nmemory = 1GiB\n"
	const service = "[service \"s\"]\npath_prefix = /s/\nendpoint_selector = role=s\n"
	cases := []struct {
		name, text, want string
	}{
		{"unknown section", "[modle \"m\"]\n", `f.ini:1: [modle "m"] unknown section; allowed: [model "..."], [adapter "..."]`},
		{"unknown key", model + "replicas = 2\n", `f.ini:5: [model "m"] replicas: unknown key; allowed: versions, default_version`},
		{"name of a model", "[model \"m@v1\"]\nversions = v1\nmemory = 1GiB\n", `f.ini:1: [model "m@v1"] name "m@v1" is not allowed; allowed: letters`},
		{"no versions", "[model \"m\"]\nversions =\nmemory = 1GiB\n", `f.ini:2: [model "m"] versions: no version is named`},
		{"version twice", "[model \"m\"]\nversions = v1, v1\ndefault_version = v1\nmemory = 1GiB\n", `f.ini:2: [model "m"] versions: version "v1" is listed twice`},
		{"version with separator", "[model \"m\"]\nversions = a@b\nmemory = 1GiB\n", `f.ini:2: [model "m"] versions: version "a@b" is not allowed`},
		{"default not among versions", "[model \"m\"]\nversions = v1, v2\ndefault_version = v3\nmemory = 1GiB\n", `f.ini:3: [model "m"] default_version: "v3" is not among the versions; allowed: v1, v2`},
		{"no default among several", "[model \"m\"]\nversions = v1, v2\nmemory = 1GiB\n", `f.ini:1: [model "m"] default_version: "" is not among the versions`},
		{"no memory", "[model \"m\"]\nversions = v1\n", `f.ini:1: [model "m"] memory: the key is missing; allowed: a size with unit`},
		{"memory without unit", "[model \"m\"]\nversions = v1\nmemory = 24\n", `f.ini:3: [model "m"] memory: "24" has no unit of size`},
		{"minimum above maximum", model + "min_replicas = 3\nmax_replicas = 2\n", `f.ini:5: [model "m"] min_replicas: 3 is above max_replicas; allowed: at most max_replicas, which is 2`},
		{"warm above maximum", model + "warm_replicas = 3\n", `f.ini:5: [model "m"] warm_replicas: 3 is above max_replicas`},
		{"maximum of zero", model + "max_replicas = 0\n", `f.ini:5: [model "m"] max_replicas: 0 is out of range; allowed: a whole number, from 1`},
		{"selector", model + "engine_selector = gpu in (h100\n", `f.ini:5: [model "m"] engine_selector: selector: column 13: found the end`},
		{"labels", model + "labels = gpu=h 100\n", `f.ini:5: [model "m"] labels: value "h 100" of "gpu" is not allowed`},
		{"load time", model + "load_time = 1500us\n", `f.ini:5: [model "m"] load_time: 1500us is not a multiple of 1ms`},
		{"adapter of an undeclared model", model + "[adapter \"a\"]\nmodel = n\nmemory = 1MB\n", `f.ini:6: [adapter "a"] model: model "n" is not declared; allowed: a declared model`},
		{"adapter of an undeclared version", model + "[adapter \"a\"]\nmodel = m\nversion = v3\nmemory = 1MB\n", `f.ini:7: [adapter "a"] version: model "m" has no version "v3"; allowed: v1, v2`},
		{"adapter named as a model", model + "[adapter \"m\"]\nmodel = m\nmemory = 1MB\n", `f.ini:5: [adapter "m"] a model has the same name`},
		{"drain", "[engine \"e\"]\ndrain = now\n", `f.ini:2: [engine "e"] drain: "now" can't be read; allowed: true or false`},
		{"engine twice", "[engine \"e\"]\n[engine \"e\"]\n", `f.ini:2: [engine "e"] the section stands twice, first on line 1`},
		{"prefix without slash", "[service \"s\"]\npath_prefix = /s\nendpoint_selector = a=b\n", `f.ini:2: [service "s"] path_prefix: "/s" is not allowed`},
		{"prefix of the callers' API", "[service \"s\"]\npath_prefix = /v1/chat/\nendpoint_selector = a=b\n", `f.ini:2: [service "s"] path_prefix: "/v1/chat/" is not allowed`},
		{"prefix with dots", "[service \"s\"]\npath_prefix = /a/../b/\nendpoint_selector = a=b\n", `f.ini:2: [service "s"] path_prefix: "/a/../b/" is not allowed`},
		{"root prefix", "[service \"s\"]\npath_prefix = /\nendpoint_selector = a=b\n", `f.ini:2: [service "s"] path_prefix: "/" is not allowed`},
		{"one prefix twice", service + strings.ReplaceAll(service, `"s"`, `"t"`), `f.ini:5: [service "t"] path_prefix: service "s" has the same prefix`},
		{"selector of a service", "[service \"s\"]\npath_prefix = /s/\nendpoint_selector =\n", `f.ini:3: [service "s"] endpoint_selector: the value is empty`},
		{"method", service + "idempotent_methods = GET, put\n", `f.ini:4: [service "s"] idempotent_methods: "put" is not a method`},
		{"limits out of range", "[limits]\nstore_loads_at_once = 0\n", "f.ini:2: [limits] store_loads_at_once: 0 is out of range; allowed: a whole number, from 1 to 100000"},
		{"deadlines", "[limits]\ninteractive_deadline = 9h\n", "f.ini:2: [limits] interactive_deadline: it is longer than batch_deadline"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			objects, err := ParseFile("f.ini", []byte(c.text))
			var problems inifile.Problems
			if !errors.As(err, &problems) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("errors:\n%v\nwant among them:\n%s", err, c.want)
			}
			if objects != nil {
				t.Error("an invalid file returned objects")
			}
		})
	}
}

func TestParseFileReportsAllProblems(t *testing.T) {
	_, err := ParseFile("f.ini", []byte("[model \"m\"]\nmemory = 1\n[adapter \"a\"]\nmodel = x\nmemory = 1MB\n[engines]\n"))
	want := []string{`f.ini:1: [model "m"] versions`, `f.ini:2: [model "m"] memory`, `f.ini:4: [adapter "a"] model`, `f.ini:6: [engines]`}
	for _, line := range want {
		if err == nil || !strings.Contains(err.Error(), line) {
			t.Errorf("errors:\n%v\nwant among them:\n%s", err, line)
		}
	}
	if got := strings.Count(err.Error(), "\n") + 1; got != len(want) {
		t.Errorf("%d problems, want %d:\n%v", got, len(want), err)
	}
}

func TestParseFileOverASet(t *testing.T) {
	base := mustSet(t, 7, sampleObjects())
	cases := []struct {
		name, text, want string
	}{
		{"adapter of a declared model", "[adapter \"a\"]\nmodel = narrator\nmemory = 1MB\n", ""},
		{"model keeps its versions", "[model \"narrator\"]\nversions = v2, v3\ndefault_version = v3\nmemory = 1GiB\n", ""},
		{"version in use is dropped", "[model \"narrator\"]\nversions = v3\nmemory = 1GiB\n", `[adapter "narrator-asphalt"] version: model "narrator" has no version "v2"`},
		{"prefix in use", "[service \"a\"]\npath_prefix = /ledger/\nendpoint_selector = a=b\n", `path_prefix: service "a" has the same prefix`},
		{"model named as an adapter", "[model \"narrator-asphalt\"]\nversions = v1\nmemory = 1GiB\n", `[adapter "narrator-asphalt"] a model has the same name`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := base.ParseFile("f.ini", []byte(c.text))
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("errors:\n%v\nwant:\n%s", err, c.want)
			}
		})
	}
}

func TestCheckRefusesObjectsThatNoFileHolds(t *testing.T) {
	base := mustSet(t, 7, sampleObjects())
	cases := []struct {
		name    string
		put     []*pb.Object
		deleted []*pb.ObjectKey
		ok      bool
	}{
		{"engine", []*pb.Object{EngineObject(&pb.Engine{Name: "e"})}, nil, true},
		{"no kind", []*pb.Object{{}}, nil, false},
		{"name that ends its line", []*pb.Object{EngineObject(&pb.Engine{Name: "e\"]\n[engine \"f"})}, nil, false},
		{"label that ends its line", []*pb.Object{EngineObject(&pb.Engine{Name: "e", Labels: map[string]string{"a": "b\ndrain = true"}})}, nil, false},
		{"selector", []*pb.Object{ModelObject(&pb.Model{Name: "m", Versions: []string{"v"}, DefaultVersion: "v", MemoryBytes: 1, MaxReplicas: 1, MaxConcurrency: 1, EngineSelector: "a in"})}, nil, false},
		{"one object twice", []*pb.Object{EngineObject(&pb.Engine{Name: "e"}), EngineObject(&pb.Engine{Name: "e"})}, nil, false},
		{"model of an adapter deleted", nil, []*pb.ObjectKey{{Kind: KindModel, Name: "narrator"}}, false},
		{"model and adapter deleted", nil, []*pb.ObjectKey{{Kind: KindModel, Name: "narrator"}, {Kind: KindAdapter, Name: "narrator-asphalt"}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := base.check(c.put, c.deleted)
			if (err == nil) != c.ok || err != nil && !errors.Is(err, ErrInvalid) {
				t.Errorf("check = %v, want ok %v", err, c.ok)
			}
		})
	}
}

func mustSet(t testing.TB, revision uint64, objects []*pb.Object) *Set {
	t.Helper()
	set, err := NewSet(&pb.Snapshot{Revision: revision, Objects: objects})
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func genModel() gopter.Gen {
	return gopter.CombineGens(
		gen.OneConstOf("m1", "org/m2:7b", "M.3-x_y"), gen.IntRange(1, 4), gen.Int64Range(1, 1<<50), gen.Int64Range(0, 1<<40),
		gen.Int32Range(0, 50), gen.Int32Range(0, 50), gen.OneConstOf("", "gpu=h100", "!a,b in (c,d),e!=f"), gen.Int64Range(0, 86_400_000),
	).Map(func(v []any) *pb.Object {
		m := &pb.Model{
			Name: v[0].(string), Versions: []string{"v1", "v2", "2025.1", "x-y"}[:v[1].(int)], DefaultVersion: "v1",
			MemoryBytes: v[2].(int64), KvFloorBytes: v[3].(int64), MinReplicas: v[4].(int32), MaxReplicas: v[4].(int32) + v[5].(int32) + 1,
			EngineSelector: v[6].(string), LoadMillis: v[7].(int64), MaxConcurrency: 1 + v[5].(int32),
			Labels: map[string]string{"a": "b", "example.org/c": "d"},
		}
		m.WarmReplicas = m.MaxReplicas / 2
		return ModelObject(m)
	})
}

func genService() gopter.Gen {
	methods := gen.SliceOf(gen.OneConstOf("GET", "PUT", "X-READ")).Map(func(m []string) []string {
		slices.Sort(m)
		return slices.Compact(m)
	})
	return gopter.CombineGens(
		gen.OneConstOf("s1", "s2"), gen.OneConstOf("/a/", "/a/b/", "/a.b~c/"), methods, gen.Int64Range(0, 1<<40), gen.Int64Range(1, 86_400_000),
	).Map(func(v []any) *pb.Object {
		return ServiceObject(&pb.Service{
			Name: v[0].(string), PathPrefix: v[1].(string), IdempotentMethods: v[2].([]string), EndpointSelector: "role in (a,b)",
			MaxBodyBytes: v[3].(int64), DefaultDeadlineMillis: v[4].(int64), MaxConcurrency: 1,
		})
	})
}

func TestFormatReadsBack(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(42)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("ParseFile(Format(o)) is o", prop.ForAll(func(m, s *pb.Object, drain bool, weight float64) bool {
		objects := []*pb.Object{
			m, AdapterObject(&pb.Adapter{Name: "a", Model: m.GetModel().GetName(), Version: "v1", MemoryBytes: 77}),
			EngineObject(&pb.Engine{Name: "e", Drain: drain}), s, sampleObjects()[4],
		}
		objects[4].GetLimits().ColdStartWeight = weight
		again, err := ParseFile("f.ini", Format(objects))
		return err == nil && slices.EqualFunc(objects, again, equalObject)
	}, genModel(), genService(), gen.Bool(), gen.Float64Range(0, 1000)))
	properties.TestingRun(t)
}

func FuzzParseFile(f *testing.F) {
	f.Add(sampleFile)
	f.Add("[model \"m\"]\nversions = a\nmemory = 1B\n[adapter \"b\"]\nmodel = m\nmemory = 1B\n")
	f.Add("[service \"s\"]\npath_prefix = /a/\nendpoint_selector = a\nidempotent_methods = GET\n[engine \"e\"]\n")
	f.Fuzz(func(t *testing.T, text string) {
		objects, err := ParseFile("f.ini", []byte(text))
		if err != nil {
			return
		}
		again, err := ParseFile("again.ini", Format(objects))
		if err != nil || !slices.EqualFunc(objects, again, equalObject) {
			t.Fatalf("%q reads as\n%s\nand back as %v, %v", text, Format(objects), again, err)
		}
		set, err := NewSet(&pb.Snapshot{Revision: 1, Objects: objects})
		if err != nil || !proto.Equal(set.Snapshot(), &pb.Snapshot{Revision: 1, Objects: set.Objects()}) {
			t.Fatalf("%q does not form a valid set: %v", text, err)
		}
	})
}
