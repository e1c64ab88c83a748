// Package settings reads the INI settings of the system's processes. Validation is strict: an unknown section or key, a
// value out of range or without its unit, a missing key and a contradictory pair of keys are errors that give the file,
// line, section, key and allowed values.
//
// The value of a key comes from, in order of precedence, an override "section.key=value", the environment variable
// BALSAMSAIL__SECTION__KEY, the file, and the default.
package settings
