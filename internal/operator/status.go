package operator

import (
	"fmt"
	"io"
	"strings"
	"time"

	"balsamsail/internal/texttable"
)

// placeholder fills an empty cell, so that scripts can split columns by white space.
const placeholder = "-"

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

// WriteStatus writes the models with their replicas and reasons, the endpoints, and the grid of WriteMatrix.
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
			table.Row("%s\t%s\t%s\t%s\t%s\t%s", head, placeholder, placeholder, placeholder, placeholder, orPlaceholder(model.Why))
		}
		for _, replica := range model.Replicas {
			table.Row("%s\t%s\t%s\t%d\t%d\t%s", head, replica.Engine, stateText(status.At, replica),
				replica.Running, replica.Queued, orPlaceholder(joinReasons(replica.Why, model.Why)))
			head = strings.Repeat("\t", strings.Count(head, "\t"))
			model.Why = ""
		}
	}
	return outputError(table.Flush())
}

// stateText formats a replica's state, for an idle replica with the time since it became idle.
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
		table.Row("%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s", e.Endpoint, e.Kind, orPlaceholder(e.FailureDomain), e.state(),
			memoryText(e.ReservedBytes, e.MemoryBytes), e.Running, e.Queued, e.Revision,
			orPlaceholder(labelText(e.Labels)), orPlaceholder(e.Why))
	}
	return outputError(table.Flush())
}

// state returns the most significant state of an endpoint.
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

// memoryText formats reserved and total memory in GiB.
func memoryText(reserved, whole int64) string {
	if whole == 0 {
		return placeholder
	}
	const gib = 1 << 30
	return fmt.Sprintf("%.1f/%.1f GiB", float64(reserved)/gib, float64(whole)/gib)
}

func joinReasons(reasons ...string) string {
	var nonEmpty []string
	for _, reason := range reasons {
		if reason != "" {
			nonEmpty = append(nonEmpty, reason)
		}
	}
	return strings.Join(nonEmpty, "; ")
}

func orPlaceholder(s string) string {
	if s == "" {
		return placeholder
	}
	return s
}

// age formats the time since an instant, rounded to seconds below a minute and to minutes above.
func age(now, since time.Time) string {
	d := now.Sub(since)
	if d < time.Minute {
		return d.Round(time.Second).String()
	}
	return strings.TrimSuffix(d.Round(time.Minute).String(), "0s")
}
