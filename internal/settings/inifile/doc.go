// Package inifile reads strict INI files into tagged structs and writes them back.
//
// A target is a pointer to a struct whose fields are sections:
//
//	type File struct {
//		Server Server  `section:"server"` // [server]
//		Extra  *Extra  `section:"extra"`  // [extra], nil when absent
//		Hosts  []Host  `section:"host"`   // [host "a"], [host "b"], ...
//	}
//
// A section's fields are keys, and a field tagged `name:"..."` holds the name in the section's title:
//
//	type Host struct {
//		ID      string        `name:"identifier of the host"`
//		Timeout time.Duration `ini:"timeout" default:"2s" min:"1ms" max:"1m" doc:"Bound of one call."`
//		Role    string        `ini:"role" oneof:"entry endpoint" doc:"What the host runs."`
//		Labels  Labels        `ini:"labels" optional:"true" doc:"Labels of the host."`
//	}
//
// A key without a default is required unless it is optional. Unknown sections and keys, values without
// their unit, values out of range and duplicate sections and keys are errors. All problems of a file are reported
// together, each with its file, line, section, key and allowed values.
//
// gopkg.in/ini.v1 does the parsing. Its own struct mapping is not used because it ignores unknown keys and values
// that it can't parse, and because it reports no line numbers.
package inifile
