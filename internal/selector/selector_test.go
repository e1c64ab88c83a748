package selector

import (
	"reflect"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"
)

func TestMatches(t *testing.T) {
	h100 := map[string]string{"gpu": "h100", "zone": "amman-a"}
	cases := []struct {
		name     string
		selector string
		labels   map[string]string
		want     bool
	}{
		{"empty matches all", "", h100, true},
		{"blank matches all", " \t", nil, true},
		{"exists", "gpu", h100, true},
		{"exists on absent", "role", h100, false},
		{"does not exist", "!role", h100, true},
		{"does not exist on present", "! gpu", h100, false},
		{"equal", "gpu=h100", h100, true},
		{"double equal", "gpu == h100", h100, true},
		{"equal on other", "gpu=a100", h100, false},
		{"equal on absent", "role=x", h100, false},
		{"not equal", "gpu != a100", h100, true},
		{"not equal on same", "gpu!=h100", h100, false},
		{"not equal on absent", "role!=x", h100, true},
		{"in", "gpu in (a100, h100)", h100, true},
		{"in on other", "gpu in (a100)", h100, false},
		{"in on absent", "role in (x)", h100, false},
		{"notin", "gpu notin (a100,b200)", h100, true},
		{"notin on same", "gpu notin (h100)", h100, false},
		{"notin on absent", "role notin (x)", h100, true},
		{"all must hold", "gpu=h100,zone in (amman-a,salt-a),!role", h100, true},
		{"one fails", "gpu=h100,zone=salt-a", h100, false},
		{"word operator as value", "gpu in (in,h100)", h100, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, err := Parse(c.selector)
			if err != nil {
				t.Fatal(err)
			}
			if got := s.Matches(c.labels); got != c.want {
				t.Errorf("Matches = %v, want %v", got, c.want)
			}
		})
	}
}

func TestParseReportsColumn(t *testing.T) {
	cases := []struct {
		name     string
		selector string
		column   int
		found    string
		allowed  string
	}{
		{"no operator", "gpu h100", 5, "h100", `"in"`},
		{"no value", "gpu=", 5, "", "a value"},
		{"no key", "=h100", 1, "=", "a key"},
		{"trailing comma", "gpu,", 5, "", "a key"},
		{"double comma", "gpu,,zone", 5, ",", "a key"},
		{"no parenthesis", "gpu in h100", 8, "h100", `"("`},
		{"empty set", "gpu in ()", 9, ")", "a value"},
		{"open set", "gpu in (a", 10, "", `")"`},
		{"text after set", "gpu in (a) b", 12, "b", `","`},
		{"invalid character", "gpu=ü", 5, "ü", "a value"},
		{"column counts characters", "é", 1, "é", "a key"},
		{"key ends in dash", "gpu- = a", 1, "gpu-", "ending with"},
		{"slash in value", "gpu=a/b", 5, "a/b", "a value"},
		{"key is an operator", "in in (a)", 1, "in", `not "in"`},
		{"not before set", "!gpu in (a)", 6, "in", `","`},
		{"greater than", "gpu>3", 4, ">", `"="`},
		{"value too long", "gpu=" + strings.Repeat("a", 64), 5, strings.Repeat("a", 64), "at most 63"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse(c.selector)
			var syntax *SyntaxError
			if !errors.As(err, &syntax) {
				t.Fatalf("error = %v, want a *SyntaxError", err)
			}
			if syntax.Column != c.column || syntax.Found != c.found || !strings.Contains(syntax.Allowed, c.allowed) {
				t.Errorf("error = %+v, want column %d, found %q, allowed %q", syntax, c.column, c.found, c.allowed)
			}
		})
	}
}

func TestCheckLabel(t *testing.T) {
	cases := []struct {
		name, key, value string
		ok               bool
	}{
		{"plain", "gpu", "h100", true},
		{"prefixed key", "example.org/gpu", "h100", true},
		{"empty key", "", "a", false},
		{"empty value", "gpu", "", false},
		{"operator as key", "notin", "a", false},
		{"space", "gpu", "a b", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := CheckLabel(c.key, c.value)
			if (err == nil) != c.ok {
				t.Errorf("CheckLabel = %v, want ok %v", err, c.ok)
			}
			if err != nil && !errors.Is(err, ErrInvalidLabel) {
				t.Errorf("error %v does not wrap ErrInvalidLabel", err)
			}
		})
	}
}

func genWord(limit int) gopter.Gen {
	alphabet := gen.OneConstOf("a", "Z", "7", "-", "_", ".")
	return gen.SliceOfN(limit, alphabet).Map(func(parts []string) string {
		return "k" + strings.Join(parts, "") + "0"
	})
}

func genRequirement() gopter.Gen {
	return gopter.CombineGens(
		genWord(4),
		gen.OneConstOf(Exists, DoesNotExist, Equals, NotEquals, In, NotIn),
		gen.SliceOfN(3, genWord(2)),
	).Map(func(v []any) string {
		key, operator, values := v[0].(string), v[1].(Operator), v[2].([]string)
		return Requirement{Key: key, Operator: operator, Values: values}.String()
	})
}

func TestStringParsesBackToEqual(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4711)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("Parse(s.String()) is s", prop.ForAll(func(requirements []string) bool {
		first, err := Parse(strings.Join(requirements, " , "))
		if err != nil {
			return false
		}
		second, err := Parse(first.String())
		return err == nil && reflect.DeepEqual(first, second)
	}, gen.SliceOf(genRequirement())))
	properties.TestingRun(t)
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "a", "!a", "a=b", "a==b,c!=d", "a in (b,c)", "a notin (b) , !c", "in in (in)", "a in (", "ü"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		first, err := Parse(text)
		if err != nil {
			var syntax *SyntaxError
			if !errors.As(err, &syntax) || syntax.Column < 1 || syntax.Column > len(text)+1 {
				t.Fatalf("Parse(%q) gave %v", text, err)
			}
			return
		}
		second, err := Parse(first.String())
		if err != nil || !reflect.DeepEqual(first, second) {
			t.Fatalf("Parse(%q) = %v, read back as %v, %v", text, first, second, err)
		}
	})
}
