package operator

import (
	"fmt"
	"io"
	"strings"
	"time"

	"balsamsail/internal/texttable"
)

// none stands in for an empty cell, so that columns stay easy to split.
const none = "-"

// StateCount counts a model's replicas by state.
type StateCount struct {
	Granted, Releasing, Loading, Loaded, Idle, Unloading, Unknown int
}

// Count counts the replicas by state.
func (m ModelStatus) Count() StateCount {
	var c StateCount
	for _, r := range m.Replicas {
		switch r.State {
		case ReplicaGranted:
			c.Granted++
		case ReplicaReleasing:
			c.Releasing++
		case ReplicaLoading:
			c.Loading++
		case ReplicaLoaded:
			c.Loaded++
		case ReplicaIdle:
			c.Idle++
		case ReplicaUnloading:
			c.Unloading++
		default:
			c.Unknown++
		}
	}
	return c
}

// WriteStatus writes the models, each with its replicas and the reason, the endpoints, and the grid of WriteMatrix.
func WriteStatus(w io.Writer, status Status) error {
	if err := writeSummary(w, status); err != nil {
		return err
	}
	if err := writeModels(w, status); err != nil {
		return err
	}
	if err := writeEndpoints(w, status); err != nil {
		return err
	}
	if _, err := io.WriteString(w, "\n"); err != nil {
		return outputError(err)
	}
	return WriteMatrix(w, status)
}

func writeSummary(w io.Writer, status Status) error {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d as seen by %s at %s\n", status.Revision, status.Entry, status.At.Format(time.RFC3339))
	if !status.Outage.IsZero() {
		fmt.Fprintf(&b, "the platform's table has not answered for %s: edits are refused, granted slots go on\n",
			age(status.At, status.Outage))
	}
	_, err := io.WriteString(w, b.String())
	return outputError(err)
}

func writeModels(w io.Writer, status Status) error {
	table := texttable.New(w)
	table.Row("\nMODEL\tMIN/MAX/WARM\tELIGIBLE\tSLOTS\tLOADED\tQUEUED\tENGINE\tSTATE\tRUNNING\tWAITING\tWHY")
	for _, model := range status.Models {
		count := model.Count()
		head := fmt.Sprintf("%s\t%d/%d/%d\t%d\t%d\t%d\t%d", model.Model, model.MinReplicas, model.MaxReplicas,
			model.WarmReplicas, model.Eligible, len(model.Replicas), count.Loaded+count.Idle, model.Queued)
		if len(model.Replicas) == 0 {
			table.Row("%s\t%s\t%s\t%s\t%s\t%s", head, none, none, none, none, orNone(model.Why))
		}
		for _, replica := range model.Replicas {
			table.Row("%s\t%s\t%s\t%d\t%d\t%s", head, replica.Engine, stateText(status.At, replica),
				replica.Running, replica.Queued, orNone(joinReasons(replica.Why, model.Why)))
			head = strings.Repeat("\t", strings.Count(head, "\t"))
			model.Why = ""
		}
	}
	return outputError(table.Flush())
}

// stateText adds to an idle replica for how long it has been so.
func stateText(now time.Time, replica ReplicaStatus) string {
	if replica.State != ReplicaIdle || replica.IdleSince.IsZero() {
		return string(replica.State)
	}
	return fmt.Sprintf("%s %s", replica.State, age(now, replica.IdleSince))
}

func writeEndpoints(w io.Writer, status Status) error {
	table := texttable.New(w)
	table.Row("\nENDPOINT\tKIND\tDOMAIN\tSTATE\tMEMORY\tRUNNING\tWAITING\tREVISION\tLABELS\tWHY")
	for _, e := range status.Endpoints {
		table.Row("%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s", e.Endpoint, e.Kind, orNone(e.FailureDomain), e.state(),
			memoryText(e.ReservedBytes, e.MemoryBytes), e.Running, e.Queued, e.Revision,
			orNone(labelText(e.Labels)), orNone(e.Why))
	}
	return outputError(table.Flush())
}

// state names the state of an endpoint that matters most.
func (e EndpointStatus) state() string {
	switch {
	case !e.Reachable:
		return "unreachable"
	case e.Leaving:
		return "leaving"
	case e.Drained:
		return "drained"
	case !e.Ready:
		return "not ready"
	default:
		return "ready"
	}
}

// memoryText writes reserved memory against the whole, in GiB.
func memoryText(reserved, whole int64) string {
	if whole == 0 {
		return none
	}
	const gib = 1 << 30
	return fmt.Sprintf("%.1f/%.1f GiB", float64(reserved)/gib, float64(whole)/gib)
}

func joinReasons(reasons ...string) string {
	var given []string
	for _, reason := range reasons {
		if reason != "" {
			given = append(given, reason)
		}
	}
	return strings.Join(given, "; ")
}

func orNone(s string) string {
	if s == "" {
		return none
	}
	return s
}

// age rounds a time span to what an operator reads at a glance.
func age(now, since time.Time) string {
	d := now.Sub(since)
	if d < time.Minute {
		return d.Round(time.Second).String()
	}
	return strings.TrimSuffix(d.Round(time.Minute).String(), "0s")
}
