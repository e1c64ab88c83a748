package inifile

import (
	"fmt"
	"reflect"
	"strings"
)

// Format formats a target, a struct or a pointer to one, as a file that Decode reads back. Optional keys that are zero
// are omitted.
func Format(target any) []byte {
	v := reflect.Indirect(reflect.ValueOf(target))
	var b strings.Builder
	for _, spec := range schemaOf(v.Type()) {
		for _, section := range sectionsOf(&spec, v.Field(spec.field)) {
			formatSection(&b, &spec, section)
		}
	}
	return []byte(b.String())
}

// sectionsOf returns the section values that a field contains.
func sectionsOf(spec *sectionSpec, field reflect.Value) []reflect.Value {
	switch {
	case spec.form == singleSection:
		return []reflect.Value{field}
	case spec.form == optionalSection && field.IsNil():
		return nil
	case spec.form == optionalSection:
		return []reflect.Value{field.Elem()}
	}
	values := make([]reflect.Value, field.Len())
	for i := range values {
		values[i] = field.Index(i)
	}
	return values
}

func formatSection(b *strings.Builder, spec *sectionSpec, section reflect.Value) {
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	name := ""
	if spec.nameField != noField {
		name = section.Field(spec.nameField).String()
	}
	fmt.Fprintf(b, "[%s]\n", title(spec.kind, name))
	for _, key := range spec.keys {
		value := section.Field(key.field)
		if key.optional && isEmpty(value) {
			continue
		}
		fmt.Fprintln(b, strings.TrimRight(key.name+" = "+quote(formatValue(value)), " "))
	}
}

// quote quotes a value from which the parser would otherwise strip quotes, surrounding white space or a part that looks
// like a comment.
func quote(text string) string {
	switch {
	case !strings.ContainsAny(text, "#;`'\"") && strings.TrimSpace(text) == text:
		return text
	case strings.Contains(text, "`"):
		return `"""` + text + `"""`
	default:
		return "`" + text + "`"
	}
}

func isEmpty(v reflect.Value) bool {
	if v.Kind() == reflect.Map || v.Kind() == reflect.Slice {
		return v.Len() == 0
	}
	return v.IsZero()
}

// Describe returns a commented file of all sections and keys of a target's type, with their meaning, allowed values and
// defaults.
func Describe(target any) string {
	var b strings.Builder
	for _, spec := range schemaOf(reflect.Indirect(reflect.ValueOf(target)).Type()) {
		describeSection(&b, &spec)
	}
	return b.String()
}

func describeSection(b *strings.Builder, spec *sectionSpec) {
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	if spec.doc != "" {
		fmt.Fprintf(b, "# %s\n", spec.doc)
	}
	fmt.Fprintf(b, "[%s]\n", spec.title())
	if spec.nameDoc != "" {
		fmt.Fprintf(b, "# The title holds the %s.\n", spec.nameDoc)
	}
	for _, key := range spec.keys {
		fmt.Fprintf(b, "# %s\n# Allowed: %s.\n", key.doc, key.allowed())
		b.WriteString(key.assignment())
	}
}

// assignment returns the key's line in a description: its default, or whether it is required or optional.
func (k *keySpec) assignment() string {
	switch {
	case k.hasDefault && k.defaultValue == "":
		return fmt.Sprintf("%s =\n", k.name)
	case k.hasDefault:
		return fmt.Sprintf("%s = %s\n", k.name, k.defaultValue)
	case k.optional:
		return fmt.Sprintf("# %s = (optional)\n", k.name)
	default:
		return fmt.Sprintf("# %s = (required)\n", k.name)
	}
}
