package gateway

import (
	"context"
	"time"

	"balsamsail/internal/fleet"
	"balsamsail/internal/streams"
)

const (
	// versionWait is how long a request waits for the news of the stream that it takes up. The news is on its way for some
	// 100 ms, longer to a gateway that has just started.
	versionWait = 400 * time.Millisecond
	// returnSlack is by how much later than its first request's deadline a client may come back for a stream.
	returnSlack = 5 * time.Second
)

// bindVersion lets a request that takes up a stream be served only by engines of the version that began it. It returns false if
// that version is not known.
func (g *Gateway) bindVersion(ctx context.Context, q *request) bool {
	if q.call.LastEventID == "" || q.fleetRequest.Model == "" {
		return true
	}
	version, known := g.versionOf(ctx, q)
	if !known {
		q.refusedFor, q.servableIn = reasonUnknownVersion, retryAfterBase
		return false
	}
	q.fleetRequest.OneVersion, q.fleetRequest.OnlyVersion = true, version
	return true
}

// versionOf returns the version that began the stream that a request takes up. Of a client that does not name the request that
// began it, this is known only where there is just one version.
func (g *Gateway) versionOf(ctx context.Context, q *request) (version string, known bool) {
	if q.call.Resumes == "" {
		return g.fleet.SingleVersion(q.fleetRequest.Service)
	}
	key := streams.KeyOf(q.call.Resumes)
	for {
		now := time.Now()
		if version, known = g.options.Streams.Version(now, key); known || now.Sub(q.arrived) >= versionWait {
			return version, known
		}
		if !waitForChange(ctx, nil, versionRecheck) {
			return "", false
		}
	}
}

// versionRecheck is the time between two looks for the news of a stream.
const versionRecheck = 20 * time.Millisecond

// recordStream records, before the client gets the first event, which version began the stream; the rest of it may come only from
// the same version.
func (g *Gateway) recordStream(q *request, choice fleet.Choice) {
	if q.call.LastEventID != "" || q.fleetRequest.Model == "" {
		return
	}
	q.fleetRequest.OneVersion, q.fleetRequest.OnlyVersion = true, choice.Version
	q.begunBy.Store(&choice.Version)
	if q.call.ID != "" {
		expires := q.arrived.Add(max(q.call.Timeout, q.route.Timeout) + returnSlack)
		g.options.Streams.Add(time.Now(), streams.KeyOf(q.call.ID), choice.Version, expires)
	}
}
