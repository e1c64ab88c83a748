package declarations

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/selector"
)

// ErrNotDeclared reports that an edit refers to a declaration that does not exist.
var ErrNotDeclared = errors.New("declarations: not declared")

// Change lists the objects that an edit puts and deletes.
type Change struct {
	Put    []*pb.Object
	Delete []*pb.ObjectKey
}

// ChangeFunc computes an edit's change from the set that the edit is applied to. It is called again if the edit is
// retried on a newer set, so its result must depend only on its argument.
type ChangeFunc func(base *Set) (Change, error)

// PutObjects returns a change that puts and deletes objects.
func PutObjects(put []*pb.Object, deleted []*pb.ObjectKey) ChangeFunc {
	return func(*Set) (Change, error) { return Change{Put: put, Delete: deleted}, nil }
}

// PutFile returns a change that puts the declarations of an INI file and deletes other objects. The name is used in
// error messages.
func PutFile(name string, data []byte, deleted []*pb.ObjectKey) ChangeFunc {
	return func(base *Set) (Change, error) {
		without, err := base.Apply(&pb.Delta{Revision: base.revision + 1, Deleted: deleted})
		if err != nil {
			return Change{}, err
		}
		objects, err := without.ParseFile(name, data)
		return Change{Put: objects, Delete: deleted}, err
	}
}

// SetLabels returns a change that sets and removes labels of one declaration. An engine that is not declared yet is
// created.
func SetLabels(key *pb.ObjectKey, set map[string]string, remove []string) ChangeFunc {
	return func(base *Set) (Change, error) {
		for label, value := range set {
			if err := selector.CheckLabel(label, value); err != nil {
				return Change{}, errors.Wrap(ErrInvalid, err.Error())
			}
		}
		object, err := base.cloneForEdit(key)
		if err != nil {
			return Change{}, err
		}
		labels := labelsOf(object)
		if labels == nil {
			return Change{}, errors.Wrapf(ErrInvalid, "%s has no labels", keyText(key))
		}
		if *labels == nil {
			*labels = map[string]string{}
		}
		maps.Copy(*labels, set)
		for _, label := range remove {
			delete(*labels, label)
		}
		return Change{Put: []*pb.Object{object}}, nil
	}
}

// SetDrain returns a change that sets or clears the drain flag of an endpoint, which is created if it is not declared
// yet.
func SetDrain(endpoint string, drain bool) ChangeFunc {
	return func(base *Set) (Change, error) {
		object, err := base.cloneForEdit(&pb.ObjectKey{Kind: KindEngine, Name: endpoint})
		if err != nil {
			return Change{}, err
		}
		object.GetEngine().Drain = drain
		return Change{Put: []*pb.Object{object}}, nil
	}
}

// cloneForEdit returns a copy of a declaration, or an empty declaration for an engine that is not declared yet.
func (s *Set) cloneForEdit(key *pb.ObjectKey) (*pb.Object, error) {
	if object, ok := s.Object(key); ok {
		return proto.Clone(object).(*pb.Object), nil
	}
	if key.GetKind() == KindEngine {
		return EngineObject(&pb.Engine{Name: key.GetName()}), nil
	}
	return nil, errors.Wrap(ErrNotDeclared, keyText(key))
}

func labelsOf(object *pb.Object) *map[string]string {
	switch kind := object.GetKind().(type) {
	case *pb.Object_Model:
		return &kind.Model.Labels
	case *pb.Object_Adapter:
		return &kind.Adapter.Labels
	case *pb.Object_Engine:
		return &kind.Engine.Labels
	case *pb.Object_Service:
		return &kind.Service.Labels
	default:
		return nil
	}
}

// withoutNoOps returns the change without the parts that would leave the set as it is.
func (s *Set) withoutNoOps(change Change) Change {
	var result Change
	for _, object := range change.Put {
		if current, ok := s.Object(KeyOf(object)); !ok || !proto.Equal(current, object) {
			result.Put = append(result.Put, object)
		}
	}
	for _, key := range change.Delete {
		put := slices.ContainsFunc(change.Put, func(o *pb.Object) bool { return proto.Equal(KeyOf(o), key) })
		if _, ok := s.Object(key); ok && !put {
			result.Delete = append(result.Delete, key)
		}
	}
	return result
}

func (c Change) empty() bool { return len(c.Put) == 0 && len(c.Delete) == 0 }

// keys returns the keys of the declarations that the change modifies.
func (c Change) keys() []*pb.ObjectKey {
	var keys []*pb.ObjectKey
	for _, object := range c.Put {
		keys = append(keys, KeyOf(object))
	}
	return append(keys, c.Delete...)
}
