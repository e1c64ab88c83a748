// Package balsamsail is the module root; it holds only the directive that regenerates the protobuf code.
package balsamsail

//go:generate ./tools/generate.sh
