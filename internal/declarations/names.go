package declarations

import (
	"fmt"
	"strings"

	pb "balsamsail/internal/declarations/declarationspb"
)

// The kinds of declarations, as they appear in section titles, object keys and table rows.
const (
	KindModel   = "model"
	KindAdapter = "adapter"
	KindEngine  = "engine"
	KindService = "service"
	KindLimits  = "limits"
)

// LimitsName is the name of the single limits object.
const LimitsName = "fleet"

const versionSeparator = "@"

const (
	maxNameLength  = 128
	nameAllowed    = `letters, digits, ".", "_", "-", ":" and "/", beginning and ending with a letter or digit, at most 128 long`
	versionAllowed = `letters, digits, ".", "_" and "-", beginning and ending with a letter or digit, at most 128 long`
)

// ModelVersion returns the name of one version of a model, "name@version".
func ModelVersion(name, version string) string { return name + versionSeparator + version }

// SplitModelVersion splits "name@version"; ok is false if the text is malformed.
func SplitModelVersion(modelVersion string) (name, version string, ok bool) {
	name, version, ok = strings.Cut(modelVersion, versionSeparator)
	return name, version, ok && name != "" && version != "" && !strings.Contains(version, versionSeparator)
}

// KeyOf returns the key of an object. An object of a kind unknown to this build has the zero key.
func KeyOf(o *pb.Object) *pb.ObjectKey {
	switch kind := o.GetKind().(type) {
	case *pb.Object_Model:
		return &pb.ObjectKey{Kind: KindModel, Name: kind.Model.GetName()}
	case *pb.Object_Adapter:
		return &pb.ObjectKey{Kind: KindAdapter, Name: kind.Adapter.GetName()}
	case *pb.Object_Engine:
		return &pb.ObjectKey{Kind: KindEngine, Name: kind.Engine.GetName()}
	case *pb.Object_Service:
		return &pb.ObjectKey{Kind: KindService, Name: kind.Service.GetName()}
	case *pb.Object_Limits:
		return &pb.ObjectKey{Kind: KindLimits, Name: LimitsName}
	default:
		return &pb.ObjectKey{}
	}
}

// keyText formats a key like a section title.
func keyText(key *pb.ObjectKey) string {
	if key.GetKind() == KindLimits {
		return KindLimits
	}
	return fmt.Sprintf("%s %q", key.GetKind(), key.GetName())
}

func validName(name string) bool { return validToken(name, "._-:/") }

func validVersion(version string) bool { return validToken(version, "._-") }

func validToken(text, punctuation string) bool {
	if text == "" || len(text) > maxNameLength {
		return false
	}
	for i := range len(text) {
		if !isAlphanumeric(text[i]) && !strings.Contains(punctuation, text[i:i+1]) {
			return false
		}
	}
	return isAlphanumeric(text[0]) && isAlphanumeric(text[len(text)-1])
}

func isAlphanumeric(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9'
}
