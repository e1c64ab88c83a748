package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
	"balsamsail/internal/httpstrict"
	"balsamsail/internal/operator"
)

const (
	// SelfPath is the path at which an entry reports the revision that it has in force.
	SelfPath = operator.PathPrefix + "/self"
	// peerTimeout bounds a request to another entry.
	peerTimeout = time.Second
	// maxPeerResponse bounds another entry's response in bytes.
	maxPeerResponse = 64 << 10
)

// errPeer means that another entry did not return a valid response.
var errPeer = errors.New("entry: query of peer entry failed")

// ServeSelf serves SelfPath.
func (e *Entry) ServeSelf(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.self())
}

func (e *Entry) self() operator.ProcessRevision {
	return operator.ProcessRevision{
		Process:       e.options.ID,
		Role:          string(backing.RoleEntry),
		FailureDomain: e.options.FailureDomain,
		Revision:      e.store.Current().Revision(),
	}
}

// InForce implements operator.Backend. It queries the other entries and takes the agents' revisions from their reports.
// A listed process that does not answer is included as unreachable, because it may still act on an older revision.
func (o *Operator) InForce(ctx context.Context, revision uint64) (operator.InForce, error) {
	e := o.entry
	answer := operator.InForce{Revision: revision}
	if revision == 0 {
		answer.Revision = e.store.Current().Revision()
	}
	answer.Processes = append(e.entryRevisions(ctx), e.agentRevisions()...)
	slices.SortFunc(answer.Processes, func(a, b operator.ProcessRevision) int { return strings.Compare(a.Process, b.Process) })
	return answer, nil
}

// entryRevisions queries all listed entries concurrently.
func (e *Entry) entryRevisions(ctx context.Context) []operator.ProcessRevision {
	list := []operator.ProcessRevision{e.self()}
	var mu sync.Mutex
	var queries sync.WaitGroup
	for _, peer := range e.members.Entries() {
		if peer.ID == e.options.ID {
			continue
		}
		queries.Go(func() {
			answer, err := fetchPeerRevision(ctx, peer.Address)
			if err != nil {
				answer.Unreachable = true
			}
			answer.Process = peer.ID
			answer.Role = string(backing.RoleEntry)
			answer.FailureDomain = peer.FailureDomain
			answer.Address = peer.Address
			mu.Lock()
			defer mu.Unlock()
			list = append(list, answer)
		})
	}
	queries.Wait()
	return list
}

// peerClient makes the calls to other entries.
var peerClient = &http.Client{Transport: httpstrict.Wrap(nil)}

func fetchPeerRevision(ctx context.Context, address string) (operator.ProcessRevision, error) {
	var answer operator.ProcessRevision
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+SelfPath, http.NoBody)
	if err != nil {
		return answer, errors.Wrap(errPeer, err.Error())
	}
	// Queries are rare.
	request.Close = true
	response, err := peerClient.Do(request)
	if err != nil {
		return answer, errors.Wrap(errPeer, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, errors.Wrap(errPeer, response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPeerResponse))
	if err != nil {
		return answer, errors.Wrap(errPeer, err.Error())
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, errors.Wrap(errPeer, err.Error())
	}
	return answer, nil
}

// agentRevisions returns the revisions last reported by agents whose endpoints are not gone.
func (e *Entry) agentRevisions() []operator.ProcessRevision {
	var list []operator.ProcessRevision
	for _, ep := range e.members.Endpoints() {
		if ep.Gone {
			continue
		}
		list = append(list, operator.ProcessRevision{
			Process:       ep.Name,
			Role:          agentRole,
			FailureDomain: ep.FailureDomain,
			Address:       ep.Address,
			Revision:      ep.Status.GetDeclarationsRevision(),
			Unreachable:   !ep.Connected,
		})
	}
	return list
}

// agentRole is the role of agents in responses to operators.
const agentRole = "agent"

// Processes implements operator.Backend.
func (o *Operator) Processes(context.Context) (operator.ProcessList, error) {
	e := o.entry
	var list operator.ProcessList
	for _, peer := range e.members.Entries() {
		list.Processes = append(list.Processes, operator.Process{
			Name:          peer.ID,
			Role:          string(backing.RoleEntry),
			FailureDomain: peer.FailureDomain,
			URL:           "http://" + peer.Address,
		})
	}
	for _, ep := range e.members.Endpoints() {
		address := ep.Status.GetOperatorAddress()
		if ep.Gone || address == "" {
			continue
		}
		list.Processes = append(list.Processes, operator.Process{
			Name:          ep.Name,
			Role:          agentRole,
			FailureDomain: ep.FailureDomain,
			URL:           "http://" + address,
		})
	}
	slices.SortFunc(list.Processes, func(a, b operator.Process) int { return strings.Compare(a.Name, b.Name) })
	return list, nil
}
