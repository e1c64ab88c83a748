package inifile

import (
	"fmt"
	"reflect"
	"strings"
)

// Checker is a section or a target that checks what its fields' tags can't express, such as pairs that contradict each
// other.
type Checker interface {
	Check(r *Reporter)
}

// Decode decodes a document into the target, a pointer to a struct as described in the package comment. The error is a
// Problems with all problems of the document, including its syntax errors; the target must not be used if there is one.
func Decode(d *Document, target any) error {
	v := reflect.ValueOf(target).Elem()
	dec := &decoder{document: d, problems: append(Problems(nil), d.Problems...)}
	specs := schemaOf(v.Type())
	dec.rejectUnknownSections(specs)
	for i := range specs {
		dec.section(&specs[i], v.Field(specs[i].field))
	}
	dec.check(target, nil)
	return dec.problems.Err()
}

type decoder struct {
	document *Document
	problems Problems
}

func (d *decoder) rejectUnknownSections(specs []sectionSpec) {
	for i := range d.document.Sections {
		section := &d.document.Sections[i]
		text, allowed := checkSection(section, specs)
		if text != "" {
			d.report(section, nil, "", text, allowed)
		}
	}
}

func checkSection(section *Section, specs []sectionSpec) (text, allowed string) {
	var titles []string
	for _, spec := range specs {
		titles = append(titles, "["+spec.title()+"]")
		if spec.kind != section.Kind {
			continue
		}
		if (spec.form == namedSections) == (section.Name != "") {
			return "", ""
		}
		return "the section's title has or lacks a name", "[" + spec.title() + "]"
	}
	return "unknown section", strings.Join(titles, ", ")
}

func (d *decoder) section(spec *sectionSpec, field reflect.Value) {
	if spec.form == namedSections {
		d.namedSections(spec, field)
		return
	}
	section := d.document.Find(spec.kind, "")
	if spec.form == optionalSection {
		if section == nil {
			return
		}
		field.Set(reflect.New(spec.typ))
		field = field.Elem()
	}
	if section == nil {
		section = &Section{Kind: spec.kind}
	}
	d.fill(spec, section, field)
}

func (d *decoder) namedSections(spec *sectionSpec, field reflect.Value) {
	for i := range d.document.Sections {
		section := &d.document.Sections[i]
		if section.Kind != spec.kind || section.Name == "" {
			continue
		}
		element := reflect.New(spec.typ).Elem()
		element.Field(spec.nameField).SetString(section.Name)
		d.fill(spec, section, element)
		field.Set(reflect.Append(field, element))
	}
}

func (d *decoder) fill(spec *sectionSpec, section *Section, target reflect.Value) {
	for i := range section.Keys {
		if key := &section.Keys[i]; spec.key(key.Name) == nil {
			d.report(section, key, key.Name, "unknown key", strings.Join(spec.keyNames(), ", "))
		}
	}
	for i := range spec.keys {
		d.key(&spec.keys[i], section, target.Field(spec.keys[i].field))
	}
	d.check(target.Addr().Interface(), section)
}

func (d *decoder) key(spec *keySpec, section *Section, field reflect.Value) {
	key := section.find(spec.name)
	if key == nil {
		d.missingKey(spec, section, field)
		return
	}
	err := setValue(field, key.Value)
	if err == nil {
		err = spec.check(field, key.Value)
	}
	if err != nil {
		d.report(section, key, key.Name, valueText(err), spec.allowed())
	}
}

func (d *decoder) missingKey(spec *keySpec, section *Section, field reflect.Value) {
	if spec.hasDefault {
		if err := setValue(field, spec.defaultValue); err != nil {
			panic(fmt.Sprintf("inifile: default of %s: %v", spec.name, err))
		}
		return
	}
	if !spec.optional {
		d.report(section, nil, spec.name, "the key is missing", spec.allowed())
	}
}

// valueText strips the sentinel from an error, because the message already names the key.
func valueText(err error) string {
	return strings.TrimSuffix(err.Error(), ": "+ErrValue.Error())
}

func (d *decoder) report(section *Section, key *Key, name, text, allowed string) {
	p := Problem{File: d.document.Name, Key: name, Text: text, Allowed: allowed}
	if section != nil {
		p.Line, p.Section = section.Line, section.Title()
	}
	if key != nil {
		p.File, p.Line = key.Position.File, key.Position.Line
	}
	d.problems = append(d.problems, p)
}

func (d *decoder) check(target any, section *Section) {
	if checker, ok := target.(Checker); ok {
		checker.Check(&Reporter{decoder: d, section: section})
	}
}

// Reporter collects the problems found by a Checker.
type Reporter struct {
	decoder *decoder
	section *Section
}

// Report adds a problem with a key of the section; if the file lacks the key, the problem is located at the section's
// title.
func (r *Reporter) Report(key, text, allowed string) {
	var found *Key
	if r.section != nil {
		found = r.section.find(key)
	}
	r.decoder.report(r.section, found, key, text, allowed)
}

// Section returns the reporter of a section, for problems that involve several sections.
func (r *Reporter) Section(kind, name string) *Reporter {
	section := r.decoder.document.Find(kind, name)
	if section == nil {
		section = &Section{Kind: kind, Name: name}
	}
	return &Reporter{decoder: r.decoder, section: section}
}

// Valid reports whether no problem with any of the keys has been found so far, so that a check of a pair does not use a
// value that could not be read.
func (r *Reporter) Valid(keys ...string) bool {
	for _, p := range r.decoder.problems {
		for _, key := range keys {
			if r.section != nil && p.Section == r.section.Title() && p.Key == key {
				return false
			}
		}
	}
	return true
}

// Clean reports whether no problem with the section has been found so far.
func (r *Reporter) Clean() bool {
	for _, p := range r.decoder.problems {
		if r.section != nil && p.Section == r.section.Title() {
			return false
		}
	}
	return true
}

// Value returns the key's text in the file and whether the file sets the key.
func (r *Reporter) Value(key string) (string, bool) {
	if r.section == nil {
		return "", false
	}
	if found := r.section.find(key); found != nil {
		return found.Value, true
	}
	return "", false
}
