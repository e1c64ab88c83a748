package control

import (
	"bytes"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/crashes"
	"balsamsail/internal/streams"
)

// oddMilliseconds are times that no build sends.
var oddMilliseconds = []int64{-1, math.MinInt64, -9_300_000_000_000, 9_300_000_000_000, math.MaxInt64 / 1000, math.MaxInt64}

// Guards against an odd time of another build that lies in the future or is negative once it is converted: a copy of a table that is
// confirmed for ever, an end that counts for ever.
func TestOddTimesInMessagesAreBounded(t *testing.T) {
	now := time.Now()
	past := func(name string, ms int64, at time.Time) {
		t.Helper()
		if at.After(now) || now.Sub(at) > 3*365*24*time.Hour {
			t.Errorf("%s of %d ms: %v from now", name, ms, at.Sub(now))
		}
	}
	for _, ms := range oddMilliseconds {
		past("confirmation", ms, decodeTable(now, &controlpb.TableChange{ConfirmedAgeMs: ms}).ConfirmedAt)
		past("limit", ms, decodeLimits(now, []*controlpb.EndpointLimit{{AgeMs: ms}})[0].ObservedAt)
		m := decodeDemand(&controlpb.Demand{Models: []*controlpb.ModelDemand{{OldestWaitMs: ms, TargetMs: ms}}}).Models[0]
		past("oldest wait", ms, now.Add(-m.OldestWait))
		past("target", ms, now.Add(-m.FirstEventTarget))
		past("command", ms, now.Add(-decodeState(&controlpb.EngineState{CommandAgeMs: ms}).CommandAge))

		f := NewFacts(crashes.New(), crashes.NewParts(mayHaveEnded), streams.New())
		f.apply(now, &controlpb.SiteFacts{
			Ended:         []*controlpb.EndedUnder{{Content: 1, AgeMs: ms}},
			PartsEnded:    []*controlpb.PartEnded{{Part: 1, AgeMs: ms}},
			PartsAnswered: []*controlpb.PartAnswered{{Part: 1, AgeMs: ms}},
			Streams:       []*controlpb.StreamsBegun{{ExpiresInMs: ms, Streams: []uint64{1}}},
		})
		ended, _ := f.Crashes.Since(now, 0, 9)
		for _, e := range ended {
			past("end", ms, e.Value)
		}
		parts, _ := f.Parts.Since(now, crashes.PartsPosition{}, 9)
		for _, e := range parts.Ends {
			past("end of a part", ms, e.Value)
		}
		for _, a := range parts.Answers {
			past("answer on a part", ms, a.Value)
		}
		begun, _ := f.Streams.Since(now, 0, 9)
		for _, s := range begun {
			if s.Expires.Sub(now) > 3*365*24*time.Hour {
				t.Errorf("a stream of %d ms expires in %v", ms, s.Expires.Sub(now))
			}
		}
		for _, written := range append(oddMilliseconds, now.UnixMilli()) {
			value, err := proto.Marshal(&controlpb.BlamedPart{WrittenUnixMs: written, Ends: []*controlpb.PartEnded{{Part: 1, AgeMs: ms}}})
			if err != nil {
				t.Fatal(err)
			}
			ends, _ := DecodeBlamedRow(now, BlamedKey(1), value)
			for _, e := range ends {
				past("stored end", ms, e.At)
			}
		}
	}
}

// Guards against a stored row or a message of another build that ends the process because it is nested too deeply.
func TestNestedMessagesAreRefusedOrIgnored(t *testing.T) {
	const unknownField = 1000
	for _, levels := range []int{100, 10_000, 1_000_000} {
		start := protowire.AppendTag(nil, unknownField, protowire.StartGroupType)
		end := protowire.AppendTag(nil, unknownField, protowire.EndGroupType)
		nested := append(bytes.Repeat(start, levels), bytes.Repeat(end, levels)...)
		for _, value := range [][]byte{nested, nested[:len(nested)/2], nested[len(nested)/2:]} {
			if ends, _ := DecodeBlamedRow(time.Now(), BlamedKey(1), value); len(ends) > 0 {
				t.Errorf("%d levels: ends %v", levels, ends)
			}
			for _, m := range []proto.Message{&controlpb.SiteUpdate{}, &controlpb.GatewayUpdate{}, &controlpb.Demand{}, &controlpb.FromAgent{}, &controlpb.ToAgent{}} {
				if err := proto.Unmarshal(value, m); err == nil && levels > 10_000 {
					t.Errorf("%d levels in %T: no error", levels, m)
				}
			}
		}
	}
}

// Guards against a limit that equals nothing, not even itself, and so counts as changed in every message.
func TestOddLimitsInMessagesAreDropped(t *testing.T) {
	for _, perSecond := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		if l := decodeLimits(time.Now(), []*controlpb.EndpointLimit{{EndpointId: "e", Named: true, PerSecond: perSecond}}); len(l) > 0 {
			t.Errorf("a limit of %v: %+v", perSecond, l)
		}
	}
}
