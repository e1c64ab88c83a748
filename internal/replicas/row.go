package replicas

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
)

// KeyPrefix is the key prefix of all rows.
const KeyPrefix = "grants/"

// Key returns the table key of a model version's row.
func Key(model string) string { return KeyPrefix + model }

// DecodeRow decodes a table row and sets its revision.
func DecodeRow(r backing.Row) (*replicaspb.Row, error) {
	row := &replicaspb.Row{}
	if r.Err != nil || proto.Unmarshal(r.Value, row) != nil {
		return nil, ErrCorruptRow
	}
	if row.Model == "" || Key(row.Model) != r.Key {
		return nil, ErrCorruptRow
	}
	row.Revision = r.Revision
	return row, nil
}

// EncodeRow encodes a row for the table. The revision is assigned by the table and not part of the value.
func EncodeRow(row *replicaspb.Row) ([]byte, error) {
	stored := proto.CloneOf(row)
	stored.Revision = 0
	return proto.Marshal(stored)
}

// ModelOfKey returns the model version that a row key names.
func ModelOfKey(key string) string { return strings.TrimPrefix(key, KeyPrefix) }

// SlotOf returns the slot that an engine on a host has in a row, or nil. An agent must look up its slot by host as well
// as by engine name: if its host replaced one that ran an engine of the same name, the old host's slot is not its own
// and may be removed at any moment because that host is gone.
func SlotOf(row *replicaspb.Row, engine, host string) *replicaspb.Slot {
	for _, s := range row.GetSlots() {
		if s.Engine == engine && s.Host == host {
			return s
		}
	}
	return nil
}

// Warm reports whether an engine's slot is one of those that keep the model loaded while idle: the first warm GRANTED
// slots of the row.
func Warm(row *replicaspb.Row, engine, host string, warm int) bool {
	for _, s := range row.GetSlots() {
		if s.State != replicaspb.SlotState_GRANTED {
			continue
		}
		if warm <= 0 {
			return false
		}
		if s.Engine == engine && s.Host == host {
			return true
		}
		warm--
	}
	return false
}

// releasingSince returns the revision at which a RELEASING slot of a row entered that state.
//
// A confirmation must have at least this revision. An older one may belong to an earlier slot of the same engine that
// was removed and granted again since; the engine may hold a replica under the new slot.
func releasingSince(row *replicaspb.Row, s *replicaspb.Slot) uint64 {
	if s.ReleasingRevision > 0 {
		return s.ReleasingRevision
	}
	return row.Revision
}
