// Package settings reads the INI settings of the system's processes, checked strictly: an unknown section or key, a value
// without its unit or out of range, a missing key or a contradictory pair is refused with its file, line, section, key
// and what is allowed.
//
// A key's value is taken from an override "section.key=value" if there is one, else from the environment variable
// BALSAMSAIL__SECTION__KEY, else from the file, else it is the default.
package settings
