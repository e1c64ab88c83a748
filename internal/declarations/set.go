package declarations

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pkg/errors"

	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/selector"
)

// Model is a declared model with its parsed selector.
type Model struct {
	*pb.Model
	// Engines selects the engines that may hold the model.
	Engines selector.Selector
}

// Service is a declared plain service with its parsed selector.
type Service struct {
	*pb.Service
	// Endpoints selects the endpoints that serve it.
	Endpoints selector.Selector
}

// Idempotent reports whether calls with the method may be repeated.
func (s *Service) Idempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// Set is all declarations as of one revision. It is immutable, and so must its callers treat what it returns.
type Set struct {
	revision uint64
	models   index[*Model]
	adapters index[*pb.Adapter]
	engines  index[*pb.Engine]
	services index[*Service]
	// limits is nil when none are declared.
	limits *pb.Limits
	// byPrefix holds the services with longer path prefixes first.
	byPrefix []*Service
}

// Empty returns the set of revision 0, which declares nothing.
func Empty() *Set { return &Set{} }

// NewSet returns the set that a snapshot holds.
func NewSet(snapshot *pb.Snapshot) (*Set, error) {
	s := &Set{revision: snapshot.GetRevision()}
	if err := s.change(snapshot.GetObjects(), nil); err != nil {
		return nil, err
	}
	return s, nil
}

// Apply returns the set of the next revision. It shares with s what the delta leaves alone. The error wraps
// ErrOldRevision, ErrGap or ErrInvalid.
func (s *Set) Apply(delta *pb.Delta) (*Set, error) {
	switch {
	case delta.GetRevision() <= s.revision:
		return nil, errors.Wrapf(ErrOldRevision, "delta %d on revision %d", delta.GetRevision(), s.revision)
	case delta.GetRevision() != s.revision+1:
		return nil, errors.Wrapf(ErrGap, "delta %d on revision %d", delta.GetRevision(), s.revision)
	}
	next := s.copyFor(delta)
	next.revision = delta.GetRevision()
	if err := next.change(delta.GetPut(), delta.GetDeleted()); err != nil {
		return nil, err
	}
	return next, nil
}

// copyFor returns a set whose indexes of the kinds that the delta touches are copies.
func (s *Set) copyFor(delta *pb.Delta) *Set {
	touched := map[string]bool{}
	for _, object := range delta.GetPut() {
		touched[KeyOf(object).Kind] = true
	}
	for _, key := range delta.GetDeleted() {
		touched[key.GetKind()] = true
	}
	next := *s
	if touched[KindModel] {
		next.models = slices.Clone(s.models)
	}
	if touched[KindAdapter] {
		next.adapters = slices.Clone(s.adapters)
	}
	if touched[KindEngine] {
		next.engines = slices.Clone(s.engines)
	}
	if touched[KindService] {
		next.services = slices.Clone(s.services)
	}
	return &next
}

// change puts and deletes objects in place.
func (s *Set) change(put []*pb.Object, deleted []*pb.ObjectKey) error {
	for _, key := range deleted {
		s.delete(key)
	}
	for _, object := range put {
		if err := s.put(object); err != nil {
			return errors.Wrapf(ErrInvalid, "%s: %v", keyText(KeyOf(object)), err)
		}
	}
	s.byPrefix = slices.Clone(s.services)
	slices.SortFunc(s.byPrefix, longerPrefixFirst)
	return nil
}

func longerPrefixFirst(a, b *Service) int {
	return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.PathPrefix, b.PathPrefix))
}

// put passes over objects of unknown kinds, so that a process goes on during an upgrade that brings new ones.
func (s *Set) put(object *pb.Object) error {
	switch kind := object.GetKind().(type) {
	case *pb.Object_Model:
		engines, err := selector.Parse(kind.Model.GetEngineSelector())
		s.models = s.models.put(&Model{Model: kind.Model, Engines: engines})
		return err
	case *pb.Object_Adapter:
		s.adapters = s.adapters.put(kind.Adapter)
	case *pb.Object_Engine:
		s.engines = s.engines.put(kind.Engine)
	case *pb.Object_Service:
		endpoints, err := selector.Parse(kind.Service.GetEndpointSelector())
		s.services = s.services.put(&Service{Service: kind.Service, Endpoints: endpoints})
		return err
	case *pb.Object_Limits:
		s.limits = kind.Limits
	}
	return nil
}

func (s *Set) delete(key *pb.ObjectKey) {
	switch key.GetKind() {
	case KindModel:
		s.models = s.models.delete(key.GetName())
	case KindAdapter:
		s.adapters = s.adapters.delete(key.GetName())
	case KindEngine:
		s.engines = s.engines.delete(key.GetName())
	case KindService:
		s.services = s.services.delete(key.GetName())
	case KindLimits:
		s.limits = nil
	}
}

// Revision returns the set's revision.
func (s *Set) Revision() uint64 { return s.revision }

// Model returns the model of a name.
func (s *Set) Model(name string) (*Model, bool) { return s.models.find(name) }

// Adapter returns the adapter of a name.
func (s *Set) Adapter(name string) (*pb.Adapter, bool) { return s.adapters.find(name) }

// Engine returns what is declared of an engine.
func (s *Set) Engine(name string) (*pb.Engine, bool) { return s.engines.find(name) }

// Service returns the plain service of a name.
func (s *Set) Service(name string) (*Service, bool) { return s.services.find(name) }

// Models returns all models in the order of their names.
func (s *Set) Models() []*Model { return s.models }

// Adapters returns all adapters in the order of their names.
func (s *Set) Adapters() []*pb.Adapter { return s.adapters }

// Engines returns all declared engines in the order of their names.
func (s *Set) Engines() []*pb.Engine { return s.engines }

// Services returns all plain services in the order of their names.
func (s *Set) Services() []*Service { return s.services }

// ServiceFor returns the service with the longest path prefix that the path begins with.
func (s *Set) ServiceFor(path string) (*Service, bool) {
	for _, service := range s.byPrefix {
		if strings.HasPrefix(path, service.PathPrefix) {
			return service, true
		}
	}
	return nil, false
}

// Target is what a request for a model is served by.
type Target struct {
	// Model is "name@version".
	Model string
	// Adapter is empty for the model itself.
	Adapter string
}

// Resolve finds the target of a request by the model that it names: a model (its default version), "name@version" or an
// adapter. The error wraps ErrUnknownModel or ErrUnknownVersion.
func (s *Set) Resolve(requested string) (Target, error) {
	if model, ok := s.models.find(requested); ok {
		return Target{Model: ModelVersion(model.Name, model.DefaultVersion)}, nil
	}
	if adapter, ok := s.adapters.find(requested); ok {
		return Target{Model: ModelVersion(adapter.Model, adapter.Version), Adapter: adapter.Name}, nil
	}
	name, version, ok := SplitModelVersion(requested)
	if !ok {
		return Target{}, errors.Wrapf(ErrUnknownModel, "%q", requested)
	}
	model, ok := s.models.find(name)
	if !ok {
		return Target{}, errors.Wrapf(ErrUnknownModel, "%q", requested)
	}
	if !slices.Contains(model.Versions, version) {
		return Target{}, errors.Wrapf(ErrUnknownVersion, "%q", requested)
	}
	return Target{Model: requested}, nil
}
