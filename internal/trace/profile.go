// Package trace generates synthetic request traces of a deployment and replays them with an idle policy. The results give
// the trade-off between cold starts and idle accelerator time, from which an operator chooses the weights.
//
// A trace models the demand that the deployments describe: sessions of a few requests with short gaps; half the demand at
// night and on holidays, when most models are hardly used and a few are used around the clock; a burst of first requests
// when the shift begins; and overnight batches whose callers can wait for hours.
package trace

import "time"

// Span is a range of durations.
type Span struct{ From, To time.Duration }

// Profile describes a deployment's models and demand.
type Profile struct {
	Name string
	// Models, Adapters and Engines are the numbers of each in the deployment.
	Models, Adapters, Engines int
	// Sessions is the number of interactive sessions on a working day, excluding the morning burst.
	Sessions int
	// SessionLength is the mean number of requests in a session.
	SessionLength float64
	// Gap is the range of the models' median times between two requests of a session.
	Gap Span
	// DayBegins and DayEnds are the times of day at which the shift begins and ends.
	DayBegins, DayEnds time.Duration
	// MorningSpread is the mean delay of a model's first request after the beginning of the shift.
	MorningSpread time.Duration
	// Overnight batch requests arrive within BatchWithin from the time of day BatchBegins. BatchDeadline is the range of
	// their deadlines.
	BatchBegins, BatchWithin time.Duration
	BatchDeadline            Span
	// BatchShare is the probability that a model has a batch in a given night.
	BatchShare float64
	// ColdStart is the range of the models' load times from the weight store. Loading a cached checkpoint takes a quarter
	// of that.
	ColdStart Span
	// MemoryShareFrom and MemoryShareTo are the range of the share of an accelerator's memory that a model takes.
	MemoryShareFrom, MemoryShareTo float64
	// Weekend reports whether demand is halved on a day of the week; index 0 is the first day of a trace.
	Weekend [7]bool
}

// Hashemite returns the profile of Hashemite Trenchworks Assurance: inspectors' requests during the day and batches of
// auditors' case files overnight.
func Hashemite() Profile {
	return Profile{
		Name: "Hashemite", Models: 50, Adapters: 55, Engines: 9,
		Sessions: 450, SessionLength: 6, Gap: Span{20 * time.Second, 6 * time.Minute},
		DayBegins: 6*time.Hour + 30*time.Minute, DayEnds: 19 * time.Hour, MorningSpread: 10 * time.Minute,
		BatchBegins: 21 * time.Hour, BatchWithin: 4 * time.Hour, BatchDeadline: Span{4 * time.Hour, 8 * time.Hour}, BatchShare: 0.6,
		ColdStart: Span{6 * time.Second, 45 * time.Second}, MemoryShareFrom: 0.1, MemoryShareTo: 0.4,
		Weekend: [7]bool{5: true, 6: true},
	}
}

// Tsagaan returns the profile of Tsagaan Wing Systems: advisories for waves of departures during the day and fluid logs at
// night.
func Tsagaan() Profile {
	return Profile{
		Name: "Tsagaan", Models: 105, Adapters: 100, Engines: 18,
		Sessions: 1100, SessionLength: 5, Gap: Span{15 * time.Second, 4 * time.Minute},
		DayBegins: 5*time.Hour + 30*time.Minute, DayEnds: 21 * time.Hour, MorningSpread: 5 * time.Minute,
		BatchBegins: 23 * time.Hour, BatchWithin: 3 * time.Hour, BatchDeadline: Span{2 * time.Hour, 4 * time.Hour}, BatchShare: 0.3,
		ColdStart: Span{6 * time.Second, 45 * time.Second}, MemoryShareFrom: 0.1, MemoryShareTo: 0.4,
		Weekend: [7]bool{5: true, 6: true},
	}
}

// Model is one model version of a trace.
type Model struct {
	Name string
	// ColdStart is the load time from the weight store.
	ColdStart   time.Duration
	MemoryShare float64
	// AroundTheClock is set if demand stays the same at night and on holidays; other models are hardly used then.
	AroundTheClock bool
	// Rate is the number of sessions on a working day.
	Rate float64
	// Gap is the median time between two requests of a session.
	Gap time.Duration
}

// Request is one request of a trace.
type Request struct {
	At time.Duration
	// Model is an index into Trace.Models; Adapter is an index below Profile.Adapters.
	Model, Adapter int
	// Interactive is set if a person waits for the answer. Other requests belong to the overnight batch.
	Interactive bool
	// Deadline is the time for which the caller waits, from At.
	Deadline time.Duration
	// ServiceTime is the time that a loaded model takes to serve the request.
	ServiceTime time.Duration
	// Cached is set if a load for this request would find the checkpoint cached on the host.
	Cached bool
}

// Trace holds a deployment's requests in order of arrival.
type Trace struct {
	Profile  Profile
	Models   []Model
	Requests []Request
	Length   time.Duration
}
