package app

import (
	"log/slog"
	"net"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"

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

// newBudget returns the budget of a process and registers its metrics.
func newBudget(r settings.Resources, l *slog.Logger, registerer prometheus.Registerer) (*inbound.Budget, error) {
	metrics, err := inbound.NewMetrics(registerer)
	if err != nil {
		return nil, err
	}
	budget := inbound.NewBudget(hostResources(r), l, metrics)
	return budget, inbound.RegisterBudget(registerer, budget)
}

// listenForLinks returns a listener for at most so many links; nil if the listener is nil.
func listenForLinks(l net.Listener, budget *inbound.Budget, most int) net.Listener {
	if l == nil {
		return nil
	}
	return budget.Listen(l, inbound.Options{Name: "links", MaxConnections: most, Links: true})
}

// auxiliary returns the options of a listener of readiness, metrics or operators.
func auxiliary(name string, r settings.Resources, budget *inbound.Budget, logger *slog.Logger) process.ServeOptions {
	return process.ServeOptions{
		Budget:   budget,
		Listener: inbound.Options{Name: name, MaxConnections: hostResources(r).AuxiliaryConnections()},
		Logger:   logger,
	}
}
