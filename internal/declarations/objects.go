package declarations

import pb "balsamsail/internal/declarations/declarationspb"

// ModelObject wraps a model as an object.
func ModelObject(m *pb.Model) *pb.Object { return &pb.Object{Kind: &pb.Object_Model{Model: m}} }

// AdapterObject wraps an adapter as an object.
func AdapterObject(a *pb.Adapter) *pb.Object { return &pb.Object{Kind: &pb.Object_Adapter{Adapter: a}} }

// EngineObject wraps an engine as an object.
func EngineObject(e *pb.Engine) *pb.Object { return &pb.Object{Kind: &pb.Object_Engine{Engine: e}} }

// ServiceObject wraps a plain service as an object.
func ServiceObject(s *pb.Service) *pb.Object { return &pb.Object{Kind: &pb.Object_Service{Service: s}} }

// LimitsObject wraps limits as an object.
func LimitsObject(l *pb.Limits) *pb.Object { return &pb.Object{Kind: &pb.Object_Limits{Limits: l}} }

// Objects returns all declarations, grouped by kind and sorted by name within each kind.
func (s *Set) Objects() []*pb.Object {
	objects := make([]*pb.Object, 0, len(s.models)+len(s.adapters)+len(s.engines)+len(s.services)+1)
	for _, model := range s.models {
		objects = append(objects, ModelObject(model.Model))
	}
	for _, adapter := range s.adapters {
		objects = append(objects, AdapterObject(adapter))
	}
	for _, engine := range s.engines {
		objects = append(objects, EngineObject(engine))
	}
	for _, service := range s.services {
		objects = append(objects, ServiceObject(service.Service))
	}
	if s.limits != nil {
		objects = append(objects, LimitsObject(s.limits))
	}
	return objects
}

// Object returns the declaration with the given key.
func (s *Set) Object(key *pb.ObjectKey) (*pb.Object, bool) {
	switch key.GetKind() {
	case KindModel:
		if model, ok := s.models.find(key.GetName()); ok {
			return ModelObject(model.Model), true
		}
	case KindAdapter:
		if adapter, ok := s.adapters.find(key.GetName()); ok {
			return AdapterObject(adapter), true
		}
	case KindEngine:
		if engine, ok := s.engines.find(key.GetName()); ok {
			return EngineObject(engine), true
		}
	case KindService:
		if service, ok := s.services.find(key.GetName()); ok {
			return ServiceObject(service.Service), true
		}
	case KindLimits:
		return LimitsObject(s.limits), s.limits != nil
	}
	return nil, false
}

// Snapshot returns the set as a snapshot message.
func (s *Set) Snapshot() *pb.Snapshot {
	return &pb.Snapshot{Revision: s.revision, Objects: s.Objects()}
}
