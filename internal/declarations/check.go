package declarations

import (
	"fmt"
	"slices"
	"strings"

	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/settings/inifile"
)

func checkName(r *inifile.Reporter, name string) {
	if !validName(name) {
		r.Report("", fmt.Sprintf("name %q is not allowed", name), nameAllowed)
	}
}

// Check implements inifile.Checker.
func (s *modelSection) Check(r *inifile.Reporter) {
	checkName(r, s.Name)
	s.checkVersions(r)
	s.checkReplicas(r)
}

func (s *modelSection) checkVersions(r *inifile.Reporter) {
	if !r.Valid("versions") {
		return
	}
	if len(s.Versions) == 0 {
		r.Report("versions", "no version is named", "at least one version")
		return
	}
	for i, version := range s.Versions {
		if !validVersion(version) {
			r.Report("versions", fmt.Sprintf("version %q is not allowed", version), versionAllowed)
		}
		if slices.Contains(s.Versions[:i], version) {
			r.Report("versions", fmt.Sprintf("version %q is listed twice", version), "each version once")
		}
	}
	if s.DefaultVersion == "" && len(s.Versions) == 1 {
		s.DefaultVersion = s.Versions[0]
	}
	if !slices.Contains(s.Versions, s.DefaultVersion) {
		r.Report("default_version", fmt.Sprintf("%q is not among the versions", s.DefaultVersion), strings.Join(s.Versions, ", "))
	}
}

// checkReplicas checks the replica bounds. It also adjusts the default of a bound that is left out to the one that is
// given: max_replicas = 1 alone implies min_replicas = 1.
func (s *modelSection) checkReplicas(r *inifile.Reporter) {
	if !r.Valid("min_replicas", "max_replicas", "warm_replicas") {
		return
	}
	if _, given := r.Value("min_replicas"); !given {
		s.MinReplicas = min(s.MinReplicas, s.MaxReplicas)
	}
	if _, given := r.Value("max_replicas"); !given {
		s.MaxReplicas = max(s.MaxReplicas, s.MinReplicas)
	}
	atMost := fmt.Sprintf("at most max_replicas, which is %d", s.MaxReplicas)
	if s.MinReplicas > s.MaxReplicas {
		r.Report("min_replicas", fmt.Sprintf("%d is above max_replicas", s.MinReplicas), atMost)
	}
	if s.WarmReplicas > s.MaxReplicas {
		r.Report("warm_replicas", fmt.Sprintf("%d is above max_replicas", s.WarmReplicas), atMost)
	}
}

// Check implements inifile.Checker.
func (s *adapterSection) Check(r *inifile.Reporter) { checkName(r, s.Name) }

// Check implements inifile.Checker.
func (s *engineSection) Check(r *inifile.Reporter) { checkName(r, s.Name) }

// reservedPrefixes are the path prefixes that the entries serve themselves.
var reservedPrefixes = []string{"/v1/", "/healthz/", "/readyz/", "/metrics/"}

const prefixAllowed = `a path of letters, digits, ".", "_", "~", "-" and "/" that begins and ends with "/", at most 256 long, ` +
	`not "/" itself, without empty or dot segments, not within /v1/, /healthz/, /readyz/ or /metrics/`

const maxPrefixLength = 256

// Check implements inifile.Checker.
func (s *serviceSection) Check(r *inifile.Reporter) {
	checkName(r, s.Name)
	if r.Valid("path_prefix") && !validPrefix(s.PathPrefix) {
		r.Report("path_prefix", fmt.Sprintf("%q is not allowed", s.PathPrefix), prefixAllowed)
	}
	for i, method := range s.IdempotentMethods {
		if method == "" || strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" {
			r.Report("idempotent_methods", fmt.Sprintf("%q is not a method", method), "methods in capitals, such as GET, PUT")
		}
		if slices.Contains(s.IdempotentMethods[:i], method) {
			r.Report("idempotent_methods", fmt.Sprintf("%q is listed twice", method), "each method once")
		}
	}
}

func validPrefix(prefix string) bool {
	if len(prefix) > maxPrefixLength || len(prefix) < 3 || prefix[0] != '/' || prefix[len(prefix)-1] != '/' {
		return false
	}
	for _, reserved := range reservedPrefixes {
		if strings.HasPrefix(prefix, reserved) {
			return false
		}
	}
	for segment := range strings.SplitSeq(prefix[1:len(prefix)-1], "/") {
		if segment == "" || segment == "." || segment == ".." || !isPathSegment(segment) {
			return false
		}
	}
	return true
}

func isPathSegment(segment string) bool {
	for i := range len(segment) {
		if !isAlphanumeric(segment[i]) && !strings.Contains("._~-", segment[i:i+1]) {
			return false
		}
	}
	return true
}

// Check implements inifile.Checker.
func (s *limitsSection) Check(r *inifile.Reporter) {
	if r.Valid("interactive_deadline", "batch_deadline") && s.InteractiveDeadline > s.BatchDeadline {
		r.Report("interactive_deadline", "it is longer than batch_deadline", "at most batch_deadline")
	}
}

// Check implements inifile.Checker. It reports contradictions between the file's declarations and the base set.
func (f *fileSchema) Check(r *inifile.Reporter) {
	f.setAdapterVersions()
	base := f.base
	if base == nil {
		base = Empty()
	}
	merged, err := base.Apply(&pb.Delta{Revision: base.revision + 1, Put: f.objects()})
	if err != nil {
		// Only a selector can fail here, and a malformed selector has already been reported at its key.
		return
	}
	for _, c := range merged.contradictions() {
		if r.Section(c.kind, c.name).Clean() && r.Section(c.otherKind, c.otherName).Clean() {
			r.Section(c.kind, c.name).Report(c.key, c.text, c.allowed)
		}
	}
}

// setAdapterVersions gives adapters without a version the default version of their model, so that a later change of the
// default does not move the adapter to weights that it was not made for.
func (f *fileSchema) setAdapterVersions() {
	defaults := map[string]string{}
	if f.base != nil {
		for _, model := range f.base.models {
			defaults[model.Name] = model.DefaultVersion
		}
	}
	for _, model := range f.Models {
		defaults[model.Name] = model.DefaultVersion
	}
	for i := range f.Adapters {
		if f.Adapters[i].Version == "" {
			f.Adapters[i].Version = defaults[f.Adapters[i].Model]
		}
	}
}

// contradiction is an inconsistency between two declarations: kind, name and key locate where to report it, and
// otherKind and otherName identify the declaration that it contradicts.
type contradiction struct {
	kind, name, key      string
	otherKind, otherName string
	text, allowed        string
}

// contradictions returns all contradictions between the set's declarations.
func (s *Set) contradictions() []contradiction {
	var found []contradiction
	for _, adapter := range s.adapters {
		found = append(found, s.adapterContradictions(adapter)...)
	}
	for i, service := range s.byPrefix {
		if i > 0 && s.byPrefix[i-1].PathPrefix == service.PathPrefix {
			found = append(found, contradiction{
				kind: KindService, name: service.Name, key: "path_prefix", otherKind: KindService, otherName: s.byPrefix[i-1].Name,
				text:    fmt.Sprintf("service %q has the same prefix", s.byPrefix[i-1].Name),
				allowed: "a prefix that no other service has",
			})
		}
	}
	return found
}

func (s *Set) adapterContradictions(adapter *pb.Adapter) []contradiction {
	var found []contradiction
	c := contradiction{kind: KindAdapter, name: adapter.GetName(), otherKind: KindModel, otherName: adapter.GetModel()}
	model, declared := s.models.find(adapter.GetModel())
	switch {
	case !declared:
		c.key, c.text = "model", fmt.Sprintf("model %q is not declared", adapter.GetModel())
		c.allowed = "a declared model"
		found = append(found, c)
	case !slices.Contains(model.Versions, adapter.GetVersion()):
		c.key, c.text = "version", fmt.Sprintf("model %q has no version %q", adapter.GetModel(), adapter.GetVersion())
		c.allowed = strings.Join(model.Versions, ", ")
		found = append(found, c)
	}
	if _, taken := s.models.find(adapter.GetName()); taken {
		found = append(found, contradiction{
			kind: KindAdapter, name: adapter.GetName(), otherKind: KindModel, otherName: adapter.GetName(),
			text: "a model has the same name, so requests would be ambiguous", allowed: "a name that no model has",
		})
	}
	return found
}
