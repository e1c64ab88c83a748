package inifile

import (
	"bytes"
	"fmt"
	"sort"
	"strings"

	"gopkg.in/ini.v1"
)

// Position is the source of a key's value.
type Position struct {
	File string
	Line int
}

// Key is one setting of a section.
type Key struct {
	Name, Value string
	Position    Position
}

// Section is one section of a file; `[model "x"]` has the kind "model" and the name "x".
type Section struct {
	Kind, Name string
	Line       int
	Keys       []Key
}

// Title returns the text between the section's brackets.
func (s *Section) Title() string { return title(s.Kind, s.Name) }

func title(kind, name string) string {
	if name == "" {
		return kind
	}
	return fmt.Sprintf(`%s "%s"`, kind, name)
}

// Document is a parsed file.
type Document struct {
	Name     string
	Sections []Section
	// Problems are the syntax errors; Sections holds whatever could be parsed.
	Problems Problems

	// index maps a section's kind and name to the index in Sections of the first such section.
	index map[sectionID]int
}

type sectionID struct{ kind, name string }

var loadOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	SkipUnrecognizableLines:    true,
	KeyValueDelimiters:         "=",
}

const sectionSyntax = `[kind] or [kind "name"]`

// Parse parses the sections and keys of a file; name is for messages.
func Parse(name string, data []byte) *Document {
	d := &Document{Name: name, index: map[sectionID]int{}}
	lines := scanLines(data)
	for _, line := range lines.unrecognized {
		d.report(Problem{Line: line, Text: "the line is neither a section, a key nor a comment", Allowed: "key = value"})
	}
	file, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		d.report(Problem{Line: firstInvalidLine(data), Text: err.Error(), Allowed: sectionSyntax + " and key = value"})
		return d
	}
	for i, section := range file.Sections() {
		if i == 0 {
			d.rejectKeysBeforeSections(section, lines.at(0))
			continue
		}
		d.add(section, lines.at(i))
	}
	return d
}

func (d *Document) report(p Problem) {
	if p.File == "" {
		p.File = d.Name
	}
	d.Problems = append(d.Problems, p)
}

func (d *Document) rejectKeysBeforeSections(section *ini.Section, lines sectionLines) {
	for _, key := range section.Keys() {
		d.report(Problem{
			Line: lines.line(key.Name(), 0), Key: key.Name(), Text: "the key stands before the first section",
			Allowed: sectionSyntax,
		})
	}
}

func (d *Document) add(parsed *ini.Section, lines sectionLines) {
	kind, name, ok := splitTitle(parsed.Name())
	if !ok {
		d.report(Problem{Line: lines.header, Section: parsed.Name(), Text: "the section's title is malformed", Allowed: sectionSyntax})
		return
	}
	section := Section{Kind: kind, Name: name, Line: lines.header}
	for _, key := range parsed.Keys() {
		for n, value := range key.ValueWithShadows() {
			position := Position{File: d.Name, Line: lines.line(key.Name(), n)}
			d.checkKey(&section, key.Name(), value, n, position)
			section.Keys = append(section.Keys, Key{Name: key.Name(), Value: value, Position: position})
		}
	}
	d.checkDuplicate(&section)
	d.append(section)
}

func (d *Document) append(section Section) {
	id := sectionID{section.Kind, section.Name}
	if _, exists := d.index[id]; !exists {
		d.index[id] = len(d.Sections)
	}
	d.Sections = append(d.Sections, section)
}

func (d *Document) checkKey(section *Section, name, value string, n int, position Position) {
	p := Problem{File: position.File, Line: position.Line, Section: section.Title(), Key: name}
	if n > 0 {
		p.Text, p.Allowed = "the key stands twice in the section", "once"
		d.report(p)
	}
	if strings.Contains(value, "\n") {
		p.Text, p.Allowed = "the value goes over several lines", "one line"
		d.report(p)
	}
}

func (d *Document) checkDuplicate(section *Section) {
	if first := d.Find(section.Kind, section.Name); first != nil {
		d.report(Problem{
			Line: section.Line, Section: section.Title(), Allowed: "once",
			Text: fmt.Sprintf("the section stands twice, first on line %d", first.Line),
		})
	}
}

// Find returns the first section of a kind and name, or nil.
func (d *Document) Find(kind, name string) *Section {
	if i, ok := d.index[sectionID{kind, name}]; ok {
		return &d.Sections[i]
	}
	return nil
}

// Override sets a key of a section, which is added if the file does not have it. Origin is the flag or variable, for
// messages.
func (d *Document) Override(origin, sectionTitle, key, value string) {
	kind, name, ok := splitTitle(sectionTitle)
	if !ok {
		d.report(Problem{File: origin, Section: sectionTitle, Key: key, Text: "the section's title is malformed", Allowed: sectionSyntax})
		return
	}
	section := d.Find(kind, name)
	if section == nil {
		d.append(Section{Kind: kind, Name: name})
		section = d.Find(kind, name)
	}
	section.set(Key{Name: key, Value: value, Position: Position{File: origin}})
}

func (s *Section) find(name string) *Key {
	for i := range s.Keys {
		if s.Keys[i].Name == name {
			return &s.Keys[i]
		}
	}
	return nil
}

func (s *Section) set(key Key) {
	if old := s.find(key.Name); old != nil {
		*old = key
		return
	}
	s.Keys = append(s.Keys, key)
}

// splitTitle splits a title into kind and name.
func splitTitle(text string) (kind, name string, ok bool) {
	kind, quoted, named := strings.Cut(strings.TrimSpace(text), " ")
	if kind == "" || strings.ContainsAny(kind, `"[]`) {
		return "", "", false
	}
	if !named {
		return kind, "", true
	}
	quoted = strings.TrimSpace(quoted)
	if len(quoted) < 3 || quoted[0] != '"' || quoted[len(quoted)-1] != '"' {
		return "", "", false
	}
	name = quoted[1 : len(quoted)-1]
	return kind, name, !strings.ContainsAny(name, "\"[]\\")
}

// firstInvalidLine returns the line at which the parsing of an invalid file fails: the last line of the shortest prefix
// that can't be parsed.
func firstInvalidLine(data []byte) int {
	lines := bytes.SplitAfter(data, []byte("\n"))
	invalid := func(i int) bool {
		_, err := ini.LoadSources(loadOptions, bytes.Join(lines[:i+1], nil))
		return err != nil
	}
	return min(sort.Search(len(lines), invalid)+1, len(lines))
}
