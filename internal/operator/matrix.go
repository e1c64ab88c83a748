package operator

import (
	"fmt"
	"io"
	"strings"

	"balsamsail/internal/texttable"
)

// stateLetters maps replica states to the letters in the grid.
var stateLetters = map[ReplicaState]string{
	ReplicaGranted:   "g",
	ReplicaReleasing: "r",
	ReplicaLoading:   "l",
	ReplicaLoaded:    "L",
	ReplicaIdle:      "i",
	ReplicaUnloading: "u",
	ReplicaUnknown:   "?",
}

// noSlotCell marks an engine without a slot for the model.
const noSlotCell = "."

const matrixLegend = "L loaded  i idle  l loading  g granted and asleep  u unloading  r releasing  ? unknown  . none"

// kindEngine is the EndpointStatus.Kind of engines, which can load models.
const kindEngine = "engine"

// WriteMatrix writes a grid of models by engines with one letter per cell, followed by the numbered engine names.
func WriteMatrix(w io.Writer, status Status) error {
	engines := engineNames(status)
	table := texttable.New(w)
	table.Row("%s", matrixHead(len(engines)))
	for _, model := range status.Models {
		table.Row("%s\t%s", model.Model, strings.Join(matrixRow(model, engines), "\t"))
	}
	table.Row("")
	for i, name := range engines {
		table.Row("%d\t%s", i+1, name)
	}
	table.Row("")
	table.Row("%s", matrixLegend)
	return outputError(table.Flush())
}

func engineNames(status Status) []string {
	var names []string
	for _, e := range status.Endpoints {
		if e.Kind == kindEngine {
			names = append(names, e.Endpoint)
		}
	}
	return names
}

func matrixHead(engines int) string {
	var b strings.Builder
	b.WriteString("MODEL")
	for i := range engines {
		fmt.Fprintf(&b, "\t%d", i+1)
	}
	return b.String()
}

func matrixRow(model ModelStatus, engines []string) []string {
	states := map[string]string{}
	for _, replica := range model.Replicas {
		states[replica.Engine] = stateLetters[replica.State]
	}
	row := make([]string, len(engines))
	for i, engine := range engines {
		row[i] = states[engine]
		if row[i] == "" {
			row[i] = noSlotCell
		}
	}
	return row
}
