// Package operator is the operators' HTTP API: its requests and answers, the handler that an entry serves them with over
// a Backend, the client that the operators' commands use, and what those commands print.
//
// An edit of the declarations ends in one of four ways that are told apart over HTTP, by the client's errors and by the
// commands' exit codes: accepted, certainly not applied (invalid, conflict, unavailable), or outcome unknown. In the last
// case the operation's identifier, which the client chooses, leads to the outcome later.
package operator
