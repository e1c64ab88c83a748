// Package experiment compares placement policies on a simulation of a site: its engines, its weight store, and its
// demand. The policies run in the production placement.Manager, for which the simulation looks like a real site.
// Hundreds of days can be simulated in a minute, and a policy that uses the future requests shows how much can still be
// gained.
package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"balsamsail/internal/settings"
)

// request is one request of a day.
type request struct {
	kind  *settings.ExperimentRequests
	model string
	// at is the arrival time since the start of the day.
	at             time.Duration
	prompt, events int

	// cold is set if no engine had the model loaded on arrival.
	cold bool
	// firstEvent and lastEvent are the times of the first and the latest event; longestPause is the longest time
	// between two events.
	firstEvent, lastEvent time.Duration
	longestPause          time.Duration
	promptLeft            float64
	tokensLeft            float64
	done                  bool
}

// moveDuration is the time that demand takes to move from one model to the next.
const moveDuration = 5 * time.Second

// drawDay returns random requests for a day, in order of arrival.
func drawDay(params *settings.Experiment, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 11))
	var day []*request
	for i := range params.Requests {
		kind := &params.Requests[i]
		moves := drawMoves(kind, params.Run.Length, random)
		for at := time.Duration(0); kind.PerSecond > 0; {
			at += time.Duration(random.ExpFloat64() / kind.PerSecond * float64(time.Second))
			if at >= params.Run.Length {
				break
			}
			day = append(day, &request{
				kind: kind, at: params.Run.Lead + at, model: modelName(kind.First + drawModel(kind, moves, at, random)),
				prompt: logNormal(kind.Prompt, random), events: logNormal(kind.Events, random),
			})
		}
	}
	slices.SortStableFunc(day, func(a, b *request) int { return cmp.Compare(a.at, b.at) })
	return day
}

// logNormal returns a log-normally distributed length of at least 1 with the given mean.
func logNormal(mean int, random *rand.Rand) int {
	const spread = 0.7
	return max(1, int(float64(mean)*math.Exp(spread*random.NormFloat64()-spread*spread/2)))
}

// drawMoves returns random times at which the demand of a kind moves on by one model.
func drawMoves(kind *settings.ExperimentRequests, length time.Duration, random *rand.Rand) []time.Duration {
	var moves []time.Duration
	if kind.Active == 0 {
		return nil
	}
	for at := time.Duration(random.ExpFloat64() * float64(kind.Move)); at < length; at += moveDuration + time.Duration(random.ExpFloat64()*float64(kind.Move)) {
		moves = append(moves, at)
	}
	return moves
}

// drawModel returns the random index of a kind's model that a request asks for.
func drawModel(kind *settings.ExperimentRequests, moves []time.Duration, at time.Duration, random *rand.Rand) int {
	if kind.Active == 0 {
		return random.IntN(kind.Models)
	}
	position := 0
	for _, m := range moves {
		// During a move, a growing fraction of the requests asks for the next model.
		if moved := float64(at-m) / float64(moveDuration); moved > 0 && (moved >= 1 || random.Float64() < moved) {
			position++
		}
	}
	return (position + random.IntN(kind.Active)) % kind.Models
}

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }
