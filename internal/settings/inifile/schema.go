package inifile

import (
	"fmt"
	"reflect"
)

// sectionSpec describes one field of a target.
type sectionSpec struct {
	kind, doc string
	field     int
	form      sectionForm
	typ       reflect.Type
	nameField int
	nameDoc   string
	keys      []keySpec
}

type sectionForm int

const (
	singleSection sectionForm = iota
	optionalSection
	namedSections
)

// keySpec describes one field of a section.
type keySpec struct {
	name, doc        string
	field            int
	typ              reflect.Type
	defaultValue     string
	hasDefault       bool
	optional         bool
	minimum, maximum string
	oneOf            string
	// step, if not empty, must divide the value.
	step string
}

const noField = -1

// schemaOf reads the tags of a target's type. It panics on a malformed type, which is a programming error.
func schemaOf(target reflect.Type) []sectionSpec {
	var specs []sectionSpec
	for i := range target.NumField() {
		field := target.Field(i)
		kind, ok := field.Tag.Lookup("section")
		if !ok {
			continue
		}
		spec := sectionSpec{kind: kind, doc: field.Tag.Get("doc"), field: i, typ: field.Type, nameField: noField}
		switch field.Type.Kind() {
		case reflect.Pointer:
			spec.form, spec.typ = optionalSection, field.Type.Elem()
		case reflect.Slice:
			spec.form, spec.typ = namedSections, field.Type.Elem()
		}
		spec.readFields()
		specs = append(specs, spec)
	}
	return specs
}

func (s *sectionSpec) readFields() {
	for i := range s.typ.NumField() {
		field := s.typ.Field(i)
		if doc, ok := field.Tag.Lookup("name"); ok {
			s.nameField, s.nameDoc = i, doc
		}
		name, ok := field.Tag.Lookup("ini")
		if !ok {
			continue
		}
		key := keySpec{
			name: name, doc: field.Tag.Get("doc"), field: i, typ: field.Type,
			optional: field.Tag.Get("optional") == "true",
			minimum:  field.Tag.Get("min"), maximum: field.Tag.Get("max"), oneOf: field.Tag.Get("oneof"), step: field.Tag.Get("step"),
		}
		key.defaultValue, key.hasDefault = field.Tag.Lookup("default")
		s.keys = append(s.keys, key)
	}
	if (s.form == namedSections) != (s.nameField != noField) {
		panic(fmt.Sprintf("inifile: section %q must be a slice exactly if its type has a name", s.kind))
	}
}

func (s *sectionSpec) key(name string) *keySpec {
	for i := range s.keys {
		if s.keys[i].name == name {
			return &s.keys[i]
		}
	}
	return nil
}

func (s *sectionSpec) keyNames() []string {
	names := make([]string, len(s.keys))
	for i, key := range s.keys {
		names[i] = key.name
	}
	return names
}

// title returns the section's title as it is written in a file.
func (s *sectionSpec) title() string {
	if s.form == namedSections {
		return s.kind + ` "..."`
	}
	return s.kind
}
