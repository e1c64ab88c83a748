package declarations

import (
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/settings/inifile"
)

// ParseFile reads a declarations file that refers to nothing outside itself. See Set.ParseFile.
func ParseFile(name string, data []byte) ([]*pb.Object, error) {
	return Empty().ParseFile(name, data)
}

// ParseFile reads a declarations file to be applied on top of the set: an adapter in it may refer to a model of the
// set, and the file's declarations must be consistent with those of the set that remain. Each section replaces the
// whole declaration of the same name; keys that it leaves out take their defaults. The name is used in error messages.
// The error is an inifile.Problems with all problems of the file.
func (s *Set) ParseFile(name string, data []byte) ([]*pb.Object, error) {
	file := fileSchema{base: s}
	if err := inifile.Decode(inifile.Parse(name, data), &file); err != nil {
		return nil, err
	}
	return file.objects(), nil
}

// Format formats objects as a file that ParseFile reads back, grouped by kind and otherwise in the given order. If
// limits occur more than once, only the last ones are written.
func Format(objects []*pb.Object) []byte {
	var file fileSchema
	for _, object := range objects {
		file.add(object)
	}
	return inifile.Format(&file)
}

// DescribeFile returns a commented file of all sections and keys of a declarations file, with allowed values and
// defaults.
func DescribeFile() string { return inifile.Describe(&fileSchema{}) }

// messageFileName is the file name in error messages about objects that do not come from a file.
const messageFileName = "declarations"

// check returns an error that wraps ErrInvalid unless putting and deleting the objects leaves a consistent set. Objects
// are valid if and only if the file that Format writes parses back to the same objects, so that edits from files and
// from other sources follow the same rules; a name that would break out of its line parses back to something else.
func (s *Set) check(put []*pb.Object, deleted []*pb.ObjectKey) error {
	base, err := s.Apply(&pb.Delta{Revision: s.revision + 1, Deleted: deleted})
	if err != nil {
		return err
	}
	for _, object := range put {
		if object.GetKind() == nil {
			return errors.Wrap(ErrInvalid, "an object has no kind")
		}
	}
	parsed, err := base.ParseFile(messageFileName, Format(put))
	if err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	if !slices.EqualFunc(sortedByKind(put), parsed, equalObject) {
		return errors.Wrap(ErrInvalid, "an object contains characters that are not allowed, or is listed twice")
	}
	return nil
}

func equalObject(a, b *pb.Object) bool { return proto.Equal(a, b) }

var kindOrder = []string{KindModel, KindAdapter, KindEngine, KindService, KindLimits}

func sortedByKind(objects []*pb.Object) []*pb.Object {
	sorted := slices.Clone(objects)
	slices.SortStableFunc(sorted, func(a, b *pb.Object) int {
		return slices.Index(kindOrder, KeyOf(a).Kind) - slices.Index(kindOrder, KeyOf(b).Kind)
	})
	return sorted
}
