// Package experiment compares policies of placement on a model of a site: its engines, the store of weights, and its demand.
// The policies run in the product's own placement.Manager, which sees the model as it would see a site. So hundreds of days can
// be played in a minute, and a policy that knows the demand to come says how much is left to gain.
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
	// at is when it arrives, from the day's start on.
	at             time.Duration
	prompt, events int

	// cold is set when no engine held its model when it came.
	cold bool
	// first is when its first event came and last the latest one; worst is the longest pause.
	first, last time.Duration
	worst       time.Duration
	promptLeft  float64
	tokensLeft  float64
	done        bool
}

// moveTime is how long demand takes to move from one model to the next.
const moveTime = 5 * time.Second

// drawDay draws the requests of a day, in the order of their arrival.
func drawDay(x *settings.Experiment, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 11))
	var day []*request
	for i := range x.Requests {
		kind := &x.Requests[i]
		moves := drawMoves(kind, x.Run.Length, random)
		for at := time.Duration(0); kind.PerSecond > 0; {
			at += time.Duration(random.ExpFloat64() / kind.PerSecond * float64(time.Second))
			if at >= x.Run.Length {
				break
			}
			day = append(day, &request{
				kind: kind, at: x.Run.Lead + at, model: modelName(kind.First + drawModel(kind, moves, at, random)),
				prompt: around(kind.Prompt, random), events: around(kind.Events, random),
			})
		}
	}
	slices.SortStableFunc(day, func(a, b *request) int { return cmp.Compare(a.at, b.at) })
	return day
}

// around draws a length with a long tail around a mean.
func around(mean int, random *rand.Rand) int {
	const spread = 0.7
	return max(1, int(float64(mean)*math.Exp(spread*random.NormFloat64()-spread*spread/2)))
}

// drawMoves draws when the demand of a kind moves on by a model.
func drawMoves(kind *settings.ExperimentRequests, length time.Duration, random *rand.Rand) []time.Duration {
	var moves []time.Duration
	if kind.Active == 0 {
		return nil
	}
	for at := time.Duration(random.ExpFloat64() * float64(kind.Move)); at < length; at += moveTime + time.Duration(random.ExpFloat64()*float64(kind.Move)) {
		moves = append(moves, at)
	}
	return moves
}

// drawModel draws which of a kind's models a request asks for.
func drawModel(kind *settings.ExperimentRequests, moves []time.Duration, at time.Duration, random *rand.Rand) int {
	if kind.Active == 0 {
		return random.IntN(kind.Models)
	}
	position := 0
	for _, m := range moves {
		// While demand moves, more and more of it has.
		if moved := float64(at-m) / float64(moveTime); moved > 0 && (moved >= 1 || random.Float64() < moved) {
			position++
		}
	}
	return (position + random.IntN(kind.Active)) % kind.Models
}

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }
