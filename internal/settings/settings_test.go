package settings

import (
	"testing"

	"balsamsail/internal/settings/inifile"
)

func TestDescriptionsDecode(t *testing.T) {
	for _, target := range []any{&Entry{}, &Agent{}, &StandinPlatform{}, &StandinEngine{}, &StandinService{}} {
		text := inifile.Describe(target)
		if err := inifile.Decode(inifile.Parse("x", []byte(text)), target); err != nil {
			t.Log(err)
		}
	}
	t.Log(inifile.Describe(&Agent{}))
}
