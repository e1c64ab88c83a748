package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"

	"balsamsail/internal/settings/inifile"
)

// ErrRead reports that a settings file, or a file that it names, can't be read.
var ErrRead = errors.New("settings: cannot read file")

// Source is the input that settings are read from.
type Source struct {
	// File is the file name for messages, and Data is the file's content.
	File string
	Data []byte
	// Sets are overrides of the form "section.key=value", or `kind "name".key=value` for a named section.
	Sets []string
	// Environment holds "NAME=value" pairs, as os.Environ returns them.
	Environment []string
}

// ReadSource reads a file and adds the process's environment.
func ReadSource(path string, sets ...string) (Source, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Source{}, errors.Wrap(ErrRead, err.Error())
	}
	return Source{File: path, Data: data, Sets: sets, Environment: os.Environ()}, nil
}

// decode decodes the source into the target. The error is an inifile.Problems.
func (s Source) decode(target any) error {
	document := inifile.Parse(s.File, s.Data)
	for _, pair := range s.Environment {
		overrideFromEnvironment(document, pair)
	}
	for _, set := range s.Sets {
		overrideFromSet(document, set)
	}
	return inifile.Decode(document, target)
}

const (
	environmentPrefix    = "BALSAMSAIL__"
	environmentSeparator = "__"
)

func overrideFromEnvironment(document *inifile.Document, pair string) {
	name, value, _ := strings.Cut(pair, "=")
	rest, matched := strings.CutPrefix(name, environmentPrefix)
	if !matched {
		return
	}
	section, key, _ := strings.Cut(strings.ToLower(rest), environmentSeparator)
	document.Override("environment variable "+name, section, key, value)
}

func overrideFromSet(document *inifile.Document, set string) {
	target, value, assigned := strings.Cut(set, "=")
	dot := strings.LastIndex(target, ".")
	if !assigned || dot < 0 {
		document.Problems = append(document.Problems, inifile.Problem{
			File: "-set", Text: fmt.Sprintf("%q is malformed", set), Allowed: "section.key=value",
		})
		return
	}
	section, key := strings.TrimSpace(target[:dot]), strings.TrimSpace(target[dot+1:])
	document.Override(fmt.Sprintf("-set %s", target), section, key, strings.TrimSpace(value))
}

func load[T any](path string, sets []string) (*T, error) {
	source, err := ReadSource(path, sets...)
	if err != nil {
		return nil, err
	}
	return Parse[T](source)
}

// LoadEntry reads the settings of an entry.
func LoadEntry(path string, sets ...string) (*Entry, error) { return load[Entry](path, sets) }

// LoadAgent reads the settings of an agent, and the credentials from the file that they name.
func LoadAgent(path string, sets ...string) (*Agent, error) { return load[Agent](path, sets) }

// LoadStandinPlatform reads the settings of the platform's stand-in.
func LoadStandinPlatform(path string, sets ...string) (*StandinPlatform, error) {
	return load[StandinPlatform](path, sets)
}

// LoadStandinEngine reads the settings of an engine's stand-in, and the credentials from the file that they name.
func LoadStandinEngine(path string, sets ...string) (*StandinEngine, error) {
	return load[StandinEngine](path, sets)
}

// LoadStandinService reads the settings of a plain service's stand-in.
func LoadStandinService(path string, sets ...string) (*StandinService, error) {
	return load[StandinService](path, sets)
}
