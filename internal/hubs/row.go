package hubs

import (
	"encoding/json"
	"net/netip"

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

const (
	// maxDomainBytes bounds the name of a failure domain.
	maxDomainBytes = 1024
	// maxProcessor bounds the processor time that a host may give a gateway, in cores.
	maxProcessor = 1 << 16
)

// DecodeRow decodes a row. It returns ErrRow for one that no gateway writes.
func DecodeRow(key string, value []byte) (Gateway, error) {
	var r registration
	if err := json.Unmarshal(value, &r); err != nil {
		return Gateway{}, errors.Wrapf(ErrRow, "%.60q: %.200s in %.40q", key, err, value)
	}
	address, err := netip.ParseAddrPort(key)
	if err != nil || address.Port() == 0 || address.Addr().Unmap().IsUnspecified() || address.Addr().IsMulticast() {
		return Gateway{}, errors.Wrapf(ErrRow, "%.60q is not the address of a gateway", key)
	}
	if r.FailureDomain == "" || len(r.FailureDomain) > maxDomainBytes || r.Processor < 0 || r.Processor > maxProcessor {
		return Gateway{}, errors.Wrapf(ErrRow, "%.60q: a field is missing or out of range: %.40q, %g", key, r.FailureDomain, r.Processor)
	}
	return Gateway{Address: key, FailureDomain: r.FailureDomain, Processor: r.Processor}, nil
}
