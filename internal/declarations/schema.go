package declarations

import (
	"slices"
	"time"

	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/settings/inifile"
)

// fileSchema is the schema of a declarations file.
type fileSchema struct {
	Models   []modelSection   `section:"model" doc:"A language model and the versions of it that are served."`
	Adapters []adapterSection `section:"adapter" doc:"An adapter, which is requested by its own name."`
	Engines  []engineSection  `section:"engine" doc:"Labels and drain state of an engine or of a plain service's endpoint."`
	Services []serviceSection `section:"service" doc:"A plain service reached under a path prefix."`
	Limits   *limitsSection   `section:"limits" doc:"Limits and policy weights of the whole fleet."`

	// base is the set that declarations in the file may refer to; nil stands for the empty set.
	base *Set
}

type modelSection struct {
	Name           string           `name:"model's name"`
	Versions       []string         `ini:"versions" doc:"Versions that are served."`
	DefaultVersion string           `ini:"default_version" optional:"true" doc:"Version of a request that names only the model; may be left out where there is one version."`
	Labels         inifile.Labels   `ini:"labels" optional:"true" doc:"Labels of the model."`
	EngineSelector inifile.Selector `ini:"engine_selector" optional:"true" doc:"Selector over engine labels; without it any engine may hold the model."`
	Memory         inifile.Bytes    `ini:"memory" min:"1B" max:"1024TiB" doc:"Weights in accelerator memory."`
	KVFloor        inifile.Bytes    `ini:"kv_floor" default:"1GiB" min:"0B" max:"1024TiB" doc:"Least KV cache that stays free beside the weights."`
	MinReplicas    int32            `ini:"min_replicas" default:"2" min:"0" max:"10000" doc:"Slots of each version that are held while the model is idle; at most max_replicas where left out."`
	MaxReplicas    int32            `ini:"max_replicas" default:"2" min:"1" max:"10000" doc:"Most slots of each version; at least min_replicas where left out."`
	WarmReplicas   int32            `ini:"warm_replicas" default:"0" min:"0" max:"10000" doc:"Replicas of each version that stay loaded while the model is idle."`
	MaxConcurrency int32            `ini:"max_concurrency" default:"16" min:"1" max:"100000" doc:"Requests that one replica runs at once."`
	LoadTime       time.Duration    `ini:"load_time" default:"0s" min:"0s" max:"24h" step:"1ms" doc:"Expected time of a load from the weight store; 0s where not known."`
}

type adapterSection struct {
	Name    string         `name:"adapter's name"`
	Model   string         `ini:"model" doc:"Model that the adapter is for."`
	Version string         `ini:"version" optional:"true" doc:"Version of the model; its default version where left out."`
	Labels  inifile.Labels `ini:"labels" optional:"true" doc:"Labels of the adapter."`
	Memory  inifile.Bytes  `ini:"memory" min:"1B" max:"1TiB" doc:"Adapter weights in accelerator memory."`
}

type engineSection struct {
	Name   string         `name:"endpoint's name"`
	Labels inifile.Labels `ini:"labels" optional:"true" doc:"Labels that selectors refer to."`
	Drain  bool           `ini:"drain" default:"false" doc:"Whether the endpoint gets no new work and its slots move away."`
}

type serviceSection struct {
	Name              string           `name:"service's name"`
	PathPrefix        string           `ini:"path_prefix" doc:"Requests whose path begins with it go to the service; begins and ends with /."`
	EndpointSelector  inifile.Selector `ini:"endpoint_selector" doc:"Selector over endpoint labels; the endpoints that serve it. An empty one would take every endpoint."`
	Labels            inifile.Labels   `ini:"labels" optional:"true" doc:"Labels of the service."`
	IdempotentMethods []string         `ini:"idempotent_methods" default:"GET, HEAD, OPTIONS" doc:"Methods that may be repeated; all others run at most once."`
	MaxConcurrency    int32            `ini:"max_concurrency" default:"64" min:"1" max:"100000" doc:"Calls that one endpoint runs at once."`
	MaxBody           inifile.Bytes    `ini:"max_body" default:"16MiB" min:"0B" max:"1TiB" doc:"Longest body of a request."`
	DefaultDeadline   time.Duration    `ini:"default_deadline" default:"30s" min:"1ms" max:"24h" step:"1ms" doc:"Deadline of calls that name none."`
}

type limitsSection struct {
	StoreLoadsPerSecond float64       `ini:"store_loads_per_second" default:"2.5" min:"0.001" max:"1000000" doc:"Loads from the weight store started a second, over all engines."`
	StoreLoadsAtOnce    int32         `ini:"store_loads_at_once" default:"4" min:"1" max:"100000" doc:"Loads from the weight store at once, over all engines."`
	AdaptersInTransit   int32         `ini:"adapters_in_transit" default:"30" min:"1" max:"100000" doc:"Adapters loading from the weight store at once, over all engines."`
	ColdStartWeight     float64       `ini:"cold_start_weight" default:"1" min:"0" max:"1000000" doc:"Cost of one second of a cold start in the tail."`
	IdleWeight          float64       `ini:"idle_weight" default:"1" min:"0" max:"1000000" doc:"Cost of one second that an accelerator holds an unused model."`
	InteractiveDeadline time.Duration `ini:"interactive_deadline" default:"30s" min:"1ms" max:"24h" step:"1ms" doc:"Deadline of interactive requests that name none."`
	BatchDeadline       time.Duration `ini:"batch_deadline" default:"8h" min:"1ms" max:"168h" step:"1ms" doc:"Deadline of batch requests that name none."`
}

func (s *modelSection) object() *pb.Object {
	return ModelObject(&pb.Model{
		Name: s.Name, Versions: s.Versions, DefaultVersion: s.DefaultVersion, Labels: s.Labels,
		EngineSelector: string(s.EngineSelector), MemoryBytes: int64(s.Memory), KvFloorBytes: int64(s.KVFloor),
		MinReplicas: s.MinReplicas, MaxReplicas: s.MaxReplicas, WarmReplicas: s.WarmReplicas,
		MaxConcurrency: s.MaxConcurrency, LoadMillis: s.LoadTime.Milliseconds(),
	})
}

func (s *adapterSection) object() *pb.Object {
	return AdapterObject(&pb.Adapter{
		Name: s.Name, Model: s.Model, Version: s.Version, Labels: s.Labels, MemoryBytes: int64(s.Memory),
	})
}

func (s *engineSection) object() *pb.Object {
	return EngineObject(&pb.Engine{Name: s.Name, Labels: s.Labels, Drain: s.Drain})
}

func (s *serviceSection) object() *pb.Object {
	return ServiceObject(&pb.Service{
		Name: s.Name, PathPrefix: s.PathPrefix, EndpointSelector: string(s.EndpointSelector), Labels: s.Labels,
		IdempotentMethods: s.IdempotentMethods, MaxConcurrency: s.MaxConcurrency, MaxBodyBytes: int64(s.MaxBody),
		DefaultDeadlineMillis: s.DefaultDeadline.Milliseconds(),
	})
}

func (s *limitsSection) object() *pb.Object { return LimitsObject(s.limits()) }

func (s *limitsSection) limits() *pb.Limits {
	return &pb.Limits{
		StoreLoadsPerSecond: s.StoreLoadsPerSecond, StoreLoadsAtOnce: s.StoreLoadsAtOnce,
		AdaptersInTransit: s.AdaptersInTransit, ColdStartWeight: s.ColdStartWeight, IdleWeight: s.IdleWeight,
		InteractiveDeadlineMillis: s.InteractiveDeadline.Milliseconds(), BatchDeadlineMillis: s.BatchDeadline.Milliseconds(),
	}
}

// objects returns the file's declarations grouped by kind, in file order within each kind.
func (f *fileSchema) objects() []*pb.Object {
	var objects []*pb.Object
	for i := range f.Models {
		objects = append(objects, f.Models[i].object())
	}
	for i := range f.Adapters {
		objects = append(objects, f.Adapters[i].object())
	}
	for i := range f.Engines {
		objects = append(objects, f.Engines[i].object())
	}
	for i := range f.Services {
		objects = append(objects, f.Services[i].object())
	}
	if f.Limits != nil {
		objects = append(objects, f.Limits.object())
	}
	return objects
}

// add appends an object to the file's sections; it is the inverse of objects.
func (f *fileSchema) add(object *pb.Object) {
	switch kind := object.GetKind().(type) {
	case *pb.Object_Model:
		f.Models = append(f.Models, modelSectionOf(kind.Model))
	case *pb.Object_Adapter:
		a := kind.Adapter
		f.Adapters = append(f.Adapters, adapterSection{
			Name: a.GetName(), Model: a.GetModel(), Version: a.GetVersion(), Labels: a.GetLabels(),
			Memory: inifile.Bytes(a.GetMemoryBytes()),
		})
	case *pb.Object_Engine:
		e := kind.Engine
		f.Engines = append(f.Engines, engineSection{Name: e.GetName(), Labels: e.GetLabels(), Drain: e.GetDrain()})
	case *pb.Object_Service:
		f.Services = append(f.Services, serviceSectionOf(kind.Service))
	case *pb.Object_Limits:
		f.Limits = limitsSectionOf(kind.Limits)
	}
}

func modelSectionOf(m *pb.Model) modelSection {
	return modelSection{
		Name: m.GetName(), Versions: slices.Clone(m.GetVersions()), DefaultVersion: m.GetDefaultVersion(),
		Labels: m.GetLabels(), EngineSelector: inifile.Selector(m.GetEngineSelector()), Memory: inifile.Bytes(m.GetMemoryBytes()),
		KVFloor: inifile.Bytes(m.GetKvFloorBytes()), MinReplicas: m.GetMinReplicas(), MaxReplicas: m.GetMaxReplicas(),
		WarmReplicas: m.GetWarmReplicas(), MaxConcurrency: m.GetMaxConcurrency(), LoadTime: millis(m.GetLoadMillis()),
	}
}

func serviceSectionOf(s *pb.Service) serviceSection {
	return serviceSection{
		Name: s.GetName(), PathPrefix: s.GetPathPrefix(), EndpointSelector: inifile.Selector(s.GetEndpointSelector()),
		Labels: s.GetLabels(), IdempotentMethods: slices.Clone(s.GetIdempotentMethods()),
		MaxConcurrency: s.GetMaxConcurrency(), MaxBody: inifile.Bytes(s.GetMaxBodyBytes()),
		DefaultDeadline: millis(s.GetDefaultDeadlineMillis()),
	}
}

func limitsSectionOf(l *pb.Limits) *limitsSection {
	return &limitsSection{
		StoreLoadsPerSecond: l.GetStoreLoadsPerSecond(), StoreLoadsAtOnce: l.GetStoreLoadsAtOnce(),
		AdaptersInTransit: l.GetAdaptersInTransit(), ColdStartWeight: l.GetColdStartWeight(), IdleWeight: l.GetIdleWeight(),
		InteractiveDeadline: millis(l.GetInteractiveDeadlineMillis()), BatchDeadline: millis(l.GetBatchDeadlineMillis()),
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
