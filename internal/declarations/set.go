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

// Set is an immutable snapshot of all declarations at one revision. Callers must not modify what its methods return.
type Set struct {
	revision uint64
	models   index[*Model]
	adapters index[*pb.Adapter]
	engines  index[*pb.Engine]
	services index[*Service]
	// limits is nil when none are declared.
	limits *pb.Limits
	// byPrefix holds the services ordered by path prefix, longest first.
	byPrefix []*Service
}

// Empty returns the empty set, which has revision 0.
func Empty() *Set { return &Set{} }

// NewSet builds a set from a snapshot.
func NewSet(snapshot *pb.Snapshot) (*Set, error) {
	s := &Set{revision: snapshot.GetRevision()}
	if err := s.update(snapshot.GetObjects(), nil); err != nil {
		return nil, err
	}
	return s, nil
}

// Apply returns the set at the next revision, which shares unchanged parts with s. The error wraps ErrStaleRevision,
// ErrGap or ErrInvalid.
func (s *Set) Apply(delta *pb.Delta) (*Set, error) {
	switch {
	case delta.GetRevision() <= s.revision:
		return nil, errors.Wrapf(ErrStaleRevision, "delta %d on revision %d", delta.GetRevision(), s.revision)
	case delta.GetRevision() != s.revision+1:
		return nil, errors.Wrapf(ErrGap, "delta %d on revision %d", delta.GetRevision(), s.revision)
	}
	next := s.cloneFor(delta)
	next.revision = delta.GetRevision()
	if err := next.update(delta.GetPut(), delta.GetDeleted()); err != nil {
		return nil, err
	}
	return next, nil
}

// cloneFor returns a copy of s in which the indexes of the kinds that the delta changes are cloned.
func (s *Set) cloneFor(delta *pb.Delta) *Set {
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

// update deletes and puts objects in place.
func (s *Set) update(put []*pb.Object, deleted []*pb.ObjectKey) error {
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

// put ignores objects of unknown kinds, so that an older process keeps working during an upgrade that adds a kind.
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

// Model returns the model with the given name.
func (s *Set) Model(name string) (*Model, bool) { return s.models.find(name) }

// Adapter returns the adapter with the given name.
func (s *Set) Adapter(name string) (*pb.Adapter, bool) { return s.adapters.find(name) }

// Engine returns the engine declaration with the given name.
func (s *Set) Engine(name string) (*pb.Engine, bool) { return s.engines.find(name) }

// Service returns the plain service with the given name.
func (s *Set) Service(name string) (*Service, bool) { return s.services.find(name) }

// Models returns all models, sorted by name.
func (s *Set) Models() []*Model { return s.models }

// Adapters returns all adapters, sorted by name.
func (s *Set) Adapters() []*pb.Adapter { return s.adapters }

// Engines returns all declared engines, sorted by name.
func (s *Set) Engines() []*pb.Engine { return s.engines }

// Services returns all plain services, sorted by name.
func (s *Set) Services() []*Service { return s.services }

// ServiceFor returns the service with the longest path prefix that matches the path.
func (s *Set) ServiceFor(path string) (*Service, bool) {
	for _, service := range s.byPrefix {
		if strings.HasPrefix(path, service.PathPrefix) {
			return service, true
		}
	}
	return nil, false
}

// Target identifies the model version and the adapter that serve a request.
type Target struct {
	// Model is "name@version".
	Model string
	// Adapter is empty for requests to the base model.
	Adapter string
}

// Resolve finds the target for the model named in a request: a model (its default version), "name@version" or an
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
