// Package operator implements the operators' HTTP API: its request and response types, the handler with which an entry
// serves it from a Backend, the client of the operators' commands, and the output of those commands.
//
// The outcome of an edit of the declarations is accepted, certainly not applied (invalid, conflict or unavailable), or
// unknown. HTTP statuses, the client's errors and the commands' exit codes distinguish these cases. An unknown outcome can
// be looked up later by the operation identifier that the client chose.
package operator
