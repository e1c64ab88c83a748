package control

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"balsamsail/internal/watch"
)

// Guards against rows of another writer that make the message with the whole table too long, so that no gateway can use its hub.
func TestLargeOddRowsLeaveTheHubInUse(t *testing.T) {
	gateways, agent := startSite(t, 10)
	hub := gateways[9]
	for i, g := range gateways[:9] {
		eventually(t, fmt.Sprintf("gateway %d has a hub", i), g.engineReported)
	}
	hub.table.OmitUnusable(func(r watch.Row) bool { return r.Value[0] != '[' })
	rows := []watch.Row{{Key: "good", Value: []byte("1"), Revision: 1}}
	for i := range 40 {
		rows = append(rows, watch.Row{Key: fmt.Sprint("odd", i), Value: bytes.Repeat([]byte("["), 64<<10), Revision: 2})
	}
	hub.table.Apply(watch.Change{Replace: true, Rows: rows, Revision: 2, ConfirmedAt: time.Now()})
	newcomer := startNewcomer(t, gateways, agent)
	for i, g := range append(gateways[:9], newcomer) {
		eventually(t, fmt.Sprintf("gateway %d has the table", i), func() bool { return g.rows.value("good") == "1" })
	}
	hub.table.Apply(watch.Change{Rows: []watch.Row{{Key: "later", Value: []byte("3"), Revision: 3}}, Base: 2, Revision: 3, ConfirmedAt: time.Now()})
	for i, g := range append(gateways[:9], newcomer) {
		eventually(t, fmt.Sprintf("gateway %d has the next change", i), func() bool { return g.rows.value("later") == "3" })
	}
	if hub.hub.Subscribers() != 10 {
		t.Errorf("%d of 10 gateways use the hub", hub.hub.Subscribers())
	}
}
