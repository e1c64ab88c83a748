// Command genproto generates the Go code of protobuf files with a protoc-gen-go plugin, as protoc does.
//
//	genproto PLUGIN FILE.proto...
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/pluginpb"
)

// pluginOptions make the plugin name the files by their paths below the module, not by their import paths.
const pluginOptions = "module=balsamsail"

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: genproto PLUGIN FILE.proto...")
		os.Exit(2)
	}
	if err := generate(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "genproto:", err)
		os.Exit(1)
	}
}

// generate writes the code of the given files below the working directory.
func generate(plugin string, files []string) error {
	request, err := compile(files)
	if err != nil {
		return err
	}
	input, err := proto.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encoding the request")
	}
	command := exec.Command(plugin)
	command.Stdin, command.Stderr = bytes.NewReader(input), os.Stderr
	output, err := command.Output()
	if err != nil {
		return errors.Wrap(err, plugin)
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(output, response); err != nil {
		return errors.Wrap(err, "decoding the response")
	}
	if response.Error != nil {
		return errors.New(response.GetError())
	}
	for _, f := range response.File {
		path := filepath.FromSlash(f.GetName())
		if err := os.WriteFile(path, []byte(f.GetContent()), 0o644); err != nil {
			return errors.Wrap(err, "writing the code")
		}
	}
	return nil
}

// compile returns the plugin's request for the given files, with the files that they import before them.
func compile(files []string) (*pluginpb.CodeGeneratorRequest, error) {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := compiler.Compile(context.Background(), files...)
	if err != nil {
		return nil, errors.Wrap(err, "compiling")
	}
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: files, Parameter: proto.String(pluginOptions)}
	added := make(map[string]bool)
	var add func(f protoreflect.FileDescriptor)
	add = func(f protoreflect.FileDescriptor) {
		if added[f.Path()] {
			return
		}
		added[f.Path()] = true
		for i := range f.Imports().Len() {
			add(f.Imports().Get(i).FileDescriptor)
		}
		request.ProtoFile = append(request.ProtoFile, protodesc.ToFileDescriptorProto(f))
	}
	for _, f := range compiled {
		add(f)
	}
	return request, nil
}
