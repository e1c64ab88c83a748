// Package trace generates traces of a deployment's requests and replays them through an idle policy, so that the
// operator's weights of cold starts against idle accelerators can be chosen from a whole curve.
//
// A trace follows what the deployments say of their demand: sessions of a few requests with short gaps, demand halved at
// night and on holidays because most models sleep then and a few work around the clock, a burst of first requests when
// the shift begins, and a batch overnight whose callers can wait for hours.
package trace

import "time"

// Span is a range of durations.
type Span struct{ From, To time.Duration }

// Profile describes a deployment's models and demand.
type Profile struct {
	Name string
	// Models, Adapters and Engines are the deployment's sizes.
	Models, Adapters, Engines int
	// Sessions is the number of interactive sessions on a working day without the morning burst.
	Sessions int
	// SessionLength is the mean number of requests in a session.
	SessionLength float64
	// Gap is the range over models of the median time between two requests of a session.
	Gap Span
	// DayBegins and DayEnds bound the shift as times of the day.
	DayBegins, DayEnds time.Duration
	// MorningSpread is the mean delay of a model's first request after the shift began.
	MorningSpread time.Duration
	// BatchBegins is the time of day from which the overnight batch is handed in, BatchWithin the time that this takes,
	// and BatchDeadline the range of its deadlines.
	BatchBegins, BatchWithin time.Duration
	BatchDeadline            Span
	// BatchShare is the share of the models that have a batch in a night.
	BatchShare float64
	// ColdStart is the range over models of a load from the weight store; a cached checkpoint takes a quarter.
	ColdStart Span
	// MemoryShare is the range over models of the share of an accelerator's memory.
	MemoryShareFrom, MemoryShareTo float64
	// Weekend tells by day of the week, 0 for the first day of a trace, whether demand is halved.
	Weekend [7]bool
}

// Hashemite is the profile of Hashemite Trenchworks Assurance: inspectors who photograph layer after layer, and case
// files of auditors overnight.
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

// Tsagaan is the profile of Tsagaan Wing Systems: advisories in waves of departures, and fluid logs at night.
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
	// ColdStart is the time of a load from the weight store.
	ColdStart   time.Duration
	MemoryShare float64
	// AroundTheClock models keep their demand at night and on holidays; the others nearly sleep.
	AroundTheClock bool
	// Rate is the number of sessions on a working day.
	Rate float64
	// Gap is the median time between two requests of a session.
	Gap time.Duration
}

// Request is one request of a trace.
type Request struct {
	At time.Duration
	// Model is an index of Trace.Models; Adapter is an index below Profile.Adapters.
	Model, Adapter int
	// Interactive requests have a waiting person; the others are of the overnight batch.
	Interactive bool
	// Deadline is the time for which the caller waits.
	Deadline time.Duration
	// Work is the time for which a loaded model serves the request.
	Work time.Duration
	// Cached is set when a load for this request would find the checkpoint on the host.
	Cached bool
}

// Trace is a deployment's requests in the order of their arrival.
type Trace struct {
	Profile  Profile
	Models   []Model
	Requests []Request
	Length   time.Duration
}
