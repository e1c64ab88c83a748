package declarations

import (
	"fmt"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "balsamsail/internal/declarations/declarationspb"
)

func TestResolve(t *testing.T) {
	set := mustSet(t, 1, sampleObjects())
	cases := []struct {
		name, requested string
		want            Target
		err             error
	}{
		{"default version", "narrator", Target{Model: "narrator@v2"}, nil},
		{"named version", "narrator@v1", Target{Model: "narrator@v1"}, nil},
		{"adapter", "narrator-asphalt", Target{Model: "narrator@v2", Adapter: "narrator-asphalt"}, nil},
		{"unknown", "painter", Target{}, ErrUnknownModel},
		{"unknown with version", "painter@v1", Target{}, ErrUnknownModel},
		{"unknown version", "narrator@v9", Target{}, ErrUnknownVersion},
		{"version of an adapter", "narrator-asphalt@v2", Target{}, ErrUnknownModel},
		{"empty", "", Target{}, ErrUnknownModel},
		{"empty version", "narrator@", Target{}, ErrUnknownModel},
		{"two separators", "narrator@v1@v2", Target{}, ErrUnknownModel},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := set.Resolve(c.requested)
			if got != c.want || !errors.Is(err, c.err) || (err == nil) != (c.err == nil) {
				t.Errorf("Resolve = %+v, %v, want %+v, %v", got, err, c.want, c.err)
			}
		})
	}
}

func TestServiceForTakesTheLongestPrefix(t *testing.T) {
	var objects []*pb.Object
	for _, prefix := range []string{"/a/", "/a/b/", "/b/", "/a/c/"} {
		objects = append(objects, ServiceObject(&pb.Service{Name: "s" + prefix, PathPrefix: prefix}))
	}
	set := mustSet(t, 1, objects)
	cases := map[string]string{
		"/a/x": "s/a/", "/a/b/x": "s/a/b/", "/a/bx": "s/a/", "/a/c/": "s/a/c/", "/b/": "s/b/", "/b": "", "/c/": "", "": "",
	}
	for path, want := range cases {
		service, ok := set.ServiceFor(path)
		if ok != (want != "") || ok && service.Name != want {
			t.Errorf("ServiceFor(%q) = %v, %v, want %q", path, service, ok, want)
		}
	}
}

func TestLimitsAreDefaultWhereNoneAreDeclared(t *testing.T) {
	if l := Empty().Limits(); l.StoreLoadsAtOnce != 4 || l.AdaptersInTransit != 30 || l.StoreLoadsPerSecond != 2.5 {
		t.Errorf("default limits are %v", l)
	}
	if l := mustSet(t, 1, sampleObjects()).Limits(); l.StoreLoadsPerSecond != 5 {
		t.Errorf("declared limits are %v", l)
	}
}

func TestApplyTakesTheNextRevisionOnly(t *testing.T) {
	set := mustSet(t, 5, nil)
	cases := []struct {
		revision uint64
		want     error
	}{{4, ErrStaleRevision}, {5, ErrStaleRevision}, {6, nil}, {7, ErrGap}}
	for _, c := range cases {
		next, err := set.Apply(&pb.Delta{Revision: c.revision})
		if !errors.Is(err, c.want) || (err == nil) != (c.want == nil) {
			t.Errorf("Apply of %d = %v, want %v", c.revision, err, c.want)
		}
		if err == nil && next.Revision() != c.revision {
			t.Errorf("revision is %d", next.Revision())
		}
	}
}

// A process of an older build must ignore a kind that a newer build declares.
func TestApplyPassesOverUnknownKinds(t *testing.T) {
	set, err := Empty().Apply(&pb.Delta{
		Revision: 1, Put: []*pb.Object{{}, EngineObject(&pb.Engine{Name: "e"})}, Deleted: []*pb.ObjectKey{{Kind: "zone", Name: "x"}},
	})
	if err != nil || len(set.Objects()) != 1 {
		t.Errorf("set is %v, %v", set, err)
	}
}

// setStep is one random edit of the property test below.
type setStep struct {
	kind   int
	name   int
	delete bool
}

func (s setStep) object() *pb.Object {
	name := fmt.Sprintf("n%d", s.name)
	switch s.kind {
	case 0:
		return ModelObject(&pb.Model{Name: name, MemoryBytes: int64(s.name), EngineSelector: "a=b"})
	case 1:
		return AdapterObject(&pb.Adapter{Name: name, Model: "m"})
	case 2:
		return EngineObject(&pb.Engine{Name: name})
	case 3:
		return ServiceObject(&pb.Service{Name: name, PathPrefix: "/" + name + "/"})
	default:
		return LimitsObject(&pb.Limits{StoreLoadsAtOnce: int32(s.name)})
	}
}

func (s setStep) delta(revision uint64) *pb.Delta {
	if s.delete {
		return &pb.Delta{Revision: revision, Deleted: []*pb.ObjectKey{KeyOf(s.object())}}
	}
	return &pb.Delta{Revision: revision, Put: []*pb.Object{s.object()}}
}

// Applying deltas must give the same set as a snapshot of the same objects and must not modify earlier sets.
func TestApplyEqualsSnapshotAndCopies(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	genStep := gopter.CombineGens(gen.IntRange(0, 4), gen.IntRange(0, 6), gen.Bool()).Map(func(v []any) setStep {
		return setStep{kind: v[0].(int), name: v[1].(int), delete: v[2].(bool)}
	})
	properties.Property("apply is snapshot", prop.ForAll(func(steps []setStep) bool {
		set, model := Empty(), map[string]*pb.Object{}
		var sets []*Set
		var snapshots []*pb.Snapshot
		for i, step := range steps {
			next, err := set.Apply(step.delta(uint64(i) + 1))
			if err != nil {
				return false
			}
			model[keyText(KeyOf(step.object()))] = step.object()
			if step.delete {
				delete(model, keyText(KeyOf(step.object())))
			}
			set = next
			sets, snapshots = append(sets, set), append(snapshots, set.Snapshot())
			if !sameObjects(set, model) {
				return false
			}
		}
		for i := range sets {
			if !proto.Equal(sets[i].Snapshot(), snapshots[i]) {
				return false
			}
		}
		return true
	}, gen.SliceOf(genStep)))
	properties.TestingRun(t)
}

func sameObjects(set *Set, model map[string]*pb.Object) bool {
	for _, object := range model {
		current, ok := set.Object(KeyOf(object))
		if !ok || !proto.Equal(current, object) {
			return false
		}
	}
	snapshot, err := NewSet(set.Snapshot())
	return err == nil && len(set.Objects()) == len(model) && slices.EqualFunc(set.Objects(), snapshot.Objects(), equalObject)
}

func adapters(n int) []*pb.Object {
	objects := []*pb.Object{ModelObject(&pb.Model{Name: "m", Versions: []string{"v"}, DefaultVersion: "v", MemoryBytes: 1, MaxReplicas: 1, MaxConcurrency: 1})}
	for i := range n {
		objects = append(objects, AdapterObject(&pb.Adapter{
			Name: fmt.Sprintf("adapter-%05d", i), Model: "m", Version: "v", MemoryBytes: 200 << 20, Labels: map[string]string{"team": "t"},
		}))
	}
	return objects
}

// benchmarkSizes runs a benchmark with different numbers of adapters.
func benchmarkSizes(b *testing.B, run func(b *testing.B, objects []*pb.Object) func() error) {
	for _, n := range []int{100, 1000, 2700, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			once := run(b, adapters(n))
			b.ReportAllocs()
			for b.Loop() {
				if err := once(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, objects []*pb.Object) func() error {
		set := mustSet(b, 1, objects)
		delta := &pb.Delta{Revision: 2, Put: objects[50:51]}
		return func() error { _, err := set.Apply(delta); return err }
	})
}

func BenchmarkResolve(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, objects []*pb.Object) func() error {
		set := mustSet(b, 1, objects)
		return func() error { _, err := set.Resolve("adapter-00077"); return err }
	})
}

// BenchmarkReceiveSnapshot measures the time, the memory and the wire size of a whole set, including decoding.
func BenchmarkReceiveSnapshot(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, objects []*pb.Object) func() error {
		wire, _ := proto.Marshal(&pb.Snapshot{Revision: 1, Objects: objects})
		b.Cleanup(func() { b.ReportMetric(float64(len(wire)), "wire-bytes") })
		return func() error {
			snapshot := &pb.Snapshot{}
			if err := proto.Unmarshal(wire, snapshot); err != nil {
				return err
			}
			NewReceiver().ApplySnapshot(snapshot)
			return nil
		}
	})
}

func BenchmarkCheckEdit(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, objects []*pb.Object) func() error {
		set := mustSet(b, 1, objects)
		return func() error { return set.check(objects[50:51], nil) }
	})
}

func BenchmarkParseFile(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, objects []*pb.Object) func() error {
		data := Format(objects)
		return func() error { _, err := ParseFile("f.ini", data); return err }
	})
}
