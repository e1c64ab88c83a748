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
// A key without a default is required unless it is optional. Sections and keys that the target doesn't have, values
// without their unit, values out of range and repeated sections and keys are problems; all problems of a file are
// reported together, each with its file, line, section, key and what is allowed.
//
// gopkg.in/ini.v1 does the parsing. Its own mapping to structs is not used since it passes over unknown keys and values
// that it can't read, and since it gives no lines.
package inifile
