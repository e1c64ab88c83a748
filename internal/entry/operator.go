package entry

import (
	"cmp"
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"balsamsail/internal/declarations"
	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/operator"
	"balsamsail/internal/settings/inifile"
	"balsamsail/internal/timeline"
)

// Operator serves operators' requests. It implements operator.Backend.
type Operator struct{ entry *Entry }

// Operator returns the entry's backend for operators' requests.
func (e *Entry) Operator() *Operator { return &Operator{entry: e} }

// Apply implements operator.Backend.
func (o *Operator) Apply(ctx context.Context, r operator.ApplyRequest) (operator.Accepted, error) {
	name := r.File
	if name == "" {
		name = "declarations"
	}
	return o.edit(ctx, r.Edit, declarations.PutFile(name, []byte(r.INI), objectKeys(r.Delete)))
}

// Label implements operator.Backend.
func (o *Operator) Label(ctx context.Context, r operator.LabelRequest) (operator.Accepted, error) {
	key := &pb.ObjectKey{Kind: r.Kind, Name: r.Name}
	return o.edit(ctx, r.Edit, declarations.SetLabels(key, r.Set, r.Remove))
}

// Drain implements operator.Backend.
func (o *Operator) Drain(ctx context.Context, r operator.DrainRequest) (operator.Accepted, error) {
	return o.edit(ctx, r.Edit, declarations.SetDrain(r.Endpoint, r.Drain))
}

func (o *Operator) edit(ctx context.Context, edit operator.Edit, change declarations.ChangeFunc) (operator.Accepted, error) {
	result, err := o.entry.store.Edit(ctx, declarations.EditRequest{
		BasedOn:     edit.Base,
		Author:      edit.Author,
		OperationID: edit.OperationID,
		Change:      change,
	})
	if err != nil {
		o.recordEdit(timeline.DeclarationRefused, edit, err.Error())
		return operator.Accepted{}, editError(edit, err)
	}
	o.recordEdit(timeline.DeclarationAccepted, edit, revisionText(result.Revision))
	accepted := operator.Accepted{Revision: result.Revision, OperationID: result.OperationID}
	for _, key := range result.Changed {
		accepted.Changed = append(accepted.Changed, operator.ObjectKey{Kind: key.Kind, Name: key.Name})
	}
	return accepted, nil
}

func (o *Operator) recordEdit(kind timeline.Kind, edit operator.Edit, detail string) {
	o.entry.recorder.Record(timeline.Event{Kind: kind, Detail: edit.Author + ": " + detail})
}

func objectKeys(keys []operator.ObjectKey) []*pb.ObjectKey {
	var list []*pb.ObjectKey
	for _, k := range keys {
		list = append(list, &pb.ObjectKey{Kind: k.Kind, Name: k.Name})
	}
	return list
}

// editError converts errors of package declarations to those of package operator.
func editError(edit operator.Edit, err error) error {
	var conflict *declarations.ConflictError
	var problems inifile.Problems
	switch {
	case errors.As(err, &conflict):
		return &operator.ConflictError{
			Author:   conflict.Author,
			Revision: cmp.Or(conflict.WinningRevision, conflict.Revision),
			Base:     conflict.BasedOn,
		}
	case errors.As(err, &problems):
		return &operator.InvalidError{Places: configProblems(problems)}
	case errors.Is(err, declarations.ErrNotDeclared):
		return errors.Wrap(operator.ErrNotFound, err.Error())
	case errors.Is(err, declarations.ErrInvalid):
		return &operator.InvalidError{Places: []operator.ConfigProblem{{Problem: err.Error()}}}
	case errors.Is(err, declarations.ErrOutcomeUnknown):
		return &operator.OutcomeUnknownError{OperationID: edit.OperationID, Reason: err.Error()}
	default:
		return &operator.UnavailableError{Reason: err.Error(), RetryAfter: minRetryAfter}
	}
}

func configProblems(problems inifile.Problems) []operator.ConfigProblem {
	var list []operator.ConfigProblem
	for _, p := range problems {
		list = append(list, operator.ConfigProblem{
			File:    p.File,
			Line:    p.Line,
			Section: p.Section,
			Key:     p.Key,
			Problem: p.Text,
			Allowed: p.Allowed,
		})
	}
	return list
}

// operationStates maps operation states of package declarations to those of package operator.
var operationStates = map[declarations.OperationState]operator.OperationState{
	declarations.OperationCommitted:    operator.OperationApplied,
	declarations.OperationNotCommitted: operator.OperationNotCommitted,
	declarations.OperationUnknown:      operator.OperationUnknown,
}

// Operation implements operator.Backend.
func (o *Operator) Operation(ctx context.Context, id string) (operator.Operation, error) {
	state, revision, err := o.entry.store.Operation(ctx, id, 0)
	if err != nil {
		return operator.Operation{}, &operator.UnavailableError{Reason: err.Error(), RetryAfter: minRetryAfter}
	}
	return operator.Operation{OperationID: id, State: operationStates[state], Revision: revision}, nil
}

// Objects implements operator.Backend.
func (o *Operator) Objects(_ context.Context, q operator.ObjectQuery) (operator.Objects, error) {
	set := o.entry.store.Current()
	answer := operator.Objects{Revision: set.Revision()}
	for _, object := range set.Objects() {
		key := declarations.KeyOf(object)
		if q.Kind != "" && q.Kind != key.Kind || q.Name != "" && q.Name != key.Name {
			continue
		}
		answer.Objects = append(answer.Objects, describe(key, object))
	}
	if q.Name != "" && len(answer.Objects) == 0 {
		return answer, errors.Wrapf(operator.ErrNotFound, "%s %q", q.Kind, q.Name)
	}
	return answer, nil
}

// describe returns a declaration both as INI and as JSON.
func describe(key *pb.ObjectKey, object *pb.Object) operator.Object {
	text, err := protojson.Marshal(object)
	if err != nil {
		text = nil
	}
	return operator.Object{
		ObjectKey:   operator.ObjectKey{Kind: key.Kind, Name: key.Name},
		Labels:      labelsOf(object),
		INI:         string(declarations.Format([]*pb.Object{object})),
		Declaration: json.RawMessage(text),
	}
}

func labelsOf(object *pb.Object) map[string]string {
	switch k := object.Kind.(type) {
	case *pb.Object_Model:
		return k.Model.Labels
	case *pb.Object_Adapter:
		return k.Adapter.Labels
	case *pb.Object_Engine:
		return k.Engine.Labels
	case *pb.Object_Service:
		return k.Service.Labels
	default:
		return nil
	}
}
