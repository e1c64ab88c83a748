package declarations

import (
	"sync"

	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/settings/inifile"
)

// defaultLimits returns the limits that an empty section decodes to.
var defaultLimits = sync.OnceValue(func() *pb.Limits {
	var file fileSchema
	if err := inifile.Decode(inifile.Parse("defaults", []byte("[limits]\n")), &file); err != nil {
		panic(err)
	}
	return file.Limits.limits()
})

// Limits returns the declared limits, or the defaults if none are declared.
func (s *Set) Limits() *pb.Limits {
	if s.limits == nil {
		return defaultLimits()
	}
	return s.limits
}
