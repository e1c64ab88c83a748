package operator

import (
	"fmt"
	"io"
	"strings"

	"balsamsail/internal/texttable"
)

// cells are the letters that stand for states in the grid.
var cells = map[ReplicaState]string{
	ReplicaGranted:   "g",
	ReplicaReleasing: "r",
	ReplicaLoading:   "l",
	ReplicaLoaded:    "L",
	ReplicaIdle:      "i",
	ReplicaUnloading: "u",
	ReplicaUnknown:   "?",
}

// emptyCell stands for an engine without a slot.
const emptyCell = "."

const matrixLegend = "L loaded  i idle  l loading  g granted and asleep  u unloading  r releasing  ? unknown  . none"

// kindEngine is the Kind of an EndpointStatus that can hold models.
const kindEngine = "engine"

// WriteMatrix writes the grid of models by engines, one letter a cell; engines are numbered and named below.
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
		states[replica.Engine] = cells[replica.State]
	}
	row := make([]string, len(engines))
	for i, engine := range engines {
		row[i] = states[engine]
		if row[i] == "" {
			row[i] = emptyCell
		}
	}
	return row
}
