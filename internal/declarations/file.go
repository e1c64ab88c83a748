package declarations

import (
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/settings/inifile"
)

// ParseFile reads a file of declarations that refer to nothing outside it. See Set.ParseFile.
func ParseFile(name string, data []byte) ([]*pb.Object, error) {
	return Empty().ParseFile(name, data)
}

// ParseFile reads a file of declarations to be put over the set: an adapter in it may be for a model that the set
// declares, and what the file changes must agree with what the set keeps. Each section replaces the declaration of its
// name whole, keys that it leaves out by their defaults. The name is for messages. The error is an inifile.Problems with
// all faults of the file.
func (s *Set) ParseFile(name string, data []byte) ([]*pb.Object, error) {
	file := fileSchema{base: s}
	if err := inifile.Decode(inifile.Parse(name, data), &file); err != nil {
		return nil, err
	}
	return file.objects(), nil
}

// Format writes objects as a file that ParseFile reads back, by kind and in the order given. Limits stand once, the last
// ones given.
func Format(objects []*pb.Object) []byte {
	var file fileSchema
	for _, object := range objects {
		file.add(object)
	}
	return inifile.Format(&file)
}

// DescribeFile writes all sections and keys of a file of declarations, with what is allowed and their defaults.
func DescribeFile() string { return inifile.Describe(&fileSchema{}) }

// formatName is the file name in messages about objects that come from no file.
const formatName = "declarations"

// check returns an error that wraps ErrInvalid unless putting and deleting the objects leaves a set without faults.
// Objects are valid exactly if the file that Format writes reads back as them, so that one set of rules holds for edits
// from files and from elsewhere; a name that would break out of its line reads back as something else.
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
	parsed, err := base.ParseFile(formatName, Format(put))
	if err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	if !slices.EqualFunc(sortedByKind(put), parsed, equalObject) {
		return errors.Wrap(ErrInvalid, "an object holds characters that are not allowed, or stands twice")
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
