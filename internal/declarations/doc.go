// Package declarations holds what operators declare: models and their versions, adapters, engine labels, plain services
// and limits, as one set with one global revision.
//
// Set is an immutable view of one revision. ParseFile and Format read and write the operators' INI form. Store keeps a
// process at the newest revision in the platform's table and makes edits; Receiver keeps a process at the newest
// revision that its peers send.
package declarations
