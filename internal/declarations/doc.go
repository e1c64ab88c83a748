// Package declarations holds what operators declare: models and their versions, adapters, engine labels, plain services
// and limits, as one set with one global revision.
//
// Set is an immutable view of one revision. ParseFile and Format read and write the operators' INI form. Store keeps a
// process at the newest revision in the platform's table and commits edits; Receiver keeps a process at the newest
// revision received from its peers.
package declarations
