package control

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/crashes"
)

// ErrBlamedRow is returned for a row that does not say what speaks against a part.
var ErrBlamedRow = errors.New("control: not the row of a blamed part")

// BlamedKey returns the key of a part's row in the table of blamed parts.
func BlamedKey(part crashes.Part) string { return strconv.FormatUint(uint64(part), 16) }

// EncodeBlamedRow returns the value of a blamed part's row.
func EncodeBlamedRow(now time.Time, ends []crashes.TimedEnd) ([]byte, error) {
	row := &controlpb.BlamedPart{WrittenUnixMs: now.UnixMilli()}
	for _, e := range ends {
		row.Ends = append(row.Ends, encodePartEnd(now, e.PartEnd, e.At))
	}
	value, err := proto.Marshal(row)
	return value, errors.Wrap(err, "control: encoding a blamed part")
}

// DecodeBlamedRow returns the ends in a row, at the times at which they happened by this host's clock.
func DecodeBlamedRow(now time.Time, key string, value []byte) ([]crashes.TimedEnd, error) {
	row := &controlpb.BlamedPart{}
	if err := proto.Unmarshal(value, row); err != nil {
		return nil, errors.Wrapf(ErrBlamedRow, "%q: %v", key, err)
	}
	if row.WrittenUnixMs < 0 {
		return nil, errors.Wrapf(ErrBlamedRow, "%q: written at %d", key, row.WrittenUnixMs)
	}
	written := milliseconds(now.UnixMilli() - row.WrittenUnixMs)
	var ends []crashes.TimedEnd
	for _, e := range row.Ends {
		end, age := decodePartEnd(e)
		if BlamedKey(end.Part) != key || e.AgeMs < 0 {
			return nil, errors.Wrapf(ErrBlamedRow, "%q: an end of another part, or in the future", key)
		}
		ends = append(ends, crashes.TimedEnd{PartEnd: end, At: now.Add(-age - written)})
	}
	return ends, nil
}
