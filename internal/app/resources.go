package app

import (
	"log/slog"
	"runtime/debug"

	"balsamsail/internal/inbound"
	"balsamsail/internal/process"
	"balsamsail/internal/settings"
)

// runtimeShare is the part of the host's memory up to which the Go runtime lets garbage grow. The rest is for what the runtime does
// not count: the program itself, the C library and the buffers of sockets.
const runtimeShare = 0.75

// limitRuntimeMemory makes the runtime collect garbage more often when the process comes near its memory. It bounds garbage only: what
// clients make the process hold is bounded by inbound.Budget.
func limitRuntimeMemory(r settings.Resources) {
	debug.SetMemoryLimit(int64(float64(r.Memory) * runtimeShare))
}

func hostResources(r settings.Resources) inbound.Resources {
	return inbound.Resources{Memory: int64(r.Memory), Sockets: r.Descriptors - r.FileDescriptors}
}

// auxiliary returns the options of a listener that is not one of clients.
func auxiliary(name string, r settings.Resources, budget *inbound.Budget, logger *slog.Logger) process.ServeOptions {
	return process.ServeOptions{
		Budget:   budget,
		Listener: inbound.Options{Name: name, MaxConnections: hostResources(r).AuxiliaryConnections()},
		Logger:   logger,
	}
}
