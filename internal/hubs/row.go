package hubs

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// ErrRow is returned for a row that is not the registration of a gateway.
var ErrRow = errors.New("hubs: not a registration of a gateway")

// registration is the value of a gateway's row in the store; the key is its address.
type registration struct {
	FailureDomain string  `json:"failure_domain"`
	Processor     float64 `json:"processor"`
}

// EncodeRow returns the value of a gateway's row.
func EncodeRow(g Gateway) ([]byte, error) {
	value, err := json.Marshal(registration{FailureDomain: g.FailureDomain, Processor: g.Processor})
	return value, errors.Wrap(err, "hubs: encoding a registration")
}

// DecodeRow decodes a row.
func DecodeRow(key string, value []byte) (Gateway, error) {
	var r registration
	if err := json.Unmarshal(value, &r); err != nil {
		return Gateway{}, errors.Wrapf(ErrRow, "%q: %v", key, err)
	}
	if key == "" || r.FailureDomain == "" || r.Processor < 0 {
		return Gateway{}, errors.Wrapf(ErrRow, "%q: a field is missing or out of range", key)
	}
	return Gateway{Address: key, FailureDomain: r.FailureDomain, Processor: r.Processor}, nil
}
