// Package backing holds the clients of the services that the platform runs: the transactional table, the object store
// and the host list.
//
// Every call may fail in one of three ways that callers must tell apart: it certainly had no effect (ErrUnavailable,
// ErrRateLimited, *ConflictError), its outcome is unknown (ErrOutcomeUnknown: the answer was lost, the write may have
// taken effect or may still do so), or it is malformed (ErrInvalid).
package backing

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrNotFound says that a row or an object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable says that the service did not take the call; it had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrRateLimited says that the service refused the call over its rate; it had no effect.
	ErrRateLimited = errors.New("platform: rate limited")
	// ErrOutcomeUnknown says that the answer to a write was lost: read back before claiming either outcome.
	ErrOutcomeUnknown = errors.New("platform: outcome unknown")
	// ErrInvalid says that the service found the call malformed.
	ErrInvalid = errors.New("platform: invalid call")
)

// ConflictError says that a transaction's condition did not hold; it had no effect.
type ConflictError struct {
	// Key is the first row whose condition failed and Revision the revision it has (0: absent).
	Key      string
	Revision uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: conflict on %q, which is at revision %d", e.Key, e.Revision)
}

// Row is one row of the table.
type Row struct {
	Key string `json:"key"`
	// Revision is the table's commit revision at which the row was last written. Revisions rise by commit over the
	// whole table, so that of two commits the later has the greater one.
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
}

// Condition must hold for a transaction to commit: the row's revision equals Revision (0: the row is absent).
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction: all conditions hold and all writes happen, or nothing does.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// Listing is the answer to List: rows in key order as of one revision.
type Listing struct {
	Revision uint64 `json:"revision"`
	Rows     []Row  `json:"rows"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns one row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns all rows whose keys begin with prefix and whose revision is above after, read at one revision.
	List(ctx context.Context, prefix string, after uint64) (Listing, error)
	// Commit runs a transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (uint64, error)
}

// ObjectStore keeps immutable blobs by name.
type ObjectStore interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// HostRole says what a host runs.
type HostRole string

// The roles that a host of the list may have.
const (
	RoleEntry    HostRole = "entry"
	RoleEndpoint HostRole = "endpoint"
)

// HostState is a host's state in the list.
type HostState string

// The states of a listed host. A host that is gone (terminated by the platform) is listed as HostGone for a while and
// then no longer; a host never seen may just not be listed yet.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostGone    HostState = "gone"
)

// Host is one line of the host list.
type Host struct {
	// ID names the host for its lifetime; a replacement has another one.
	ID            string    `json:"id"`
	Role          HostRole  `json:"role"`
	State         HostState `json:"state"`
	FailureDomain string    `json:"failure_domain"`
	// Address is the IP address and port at which the system's process on the host listens.
	Address string `json:"address"`
	// Endpoint is the name of the endpoint on the host, empty on entry hosts.
	Endpoint string `json:"endpoint,omitempty"`
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	// Hosts returns the list and its version, which rises with each change.
	Hosts(ctx context.Context) ([]Host, uint64, error)
}

// Options are the settings of the platform's clients.
type Options struct {
	// TableURL, ObjectsURL and HostsURL are the base URLs of the services.
	TableURL, ObjectsURL, HostsURL string
	// Timeout bounds one call.
	Timeout time.Duration
}
