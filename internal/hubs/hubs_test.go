package hubs

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"balsamsail/platform/standin"
)

var start = time.Unix(1000, 0)

func site(domains, perDomain int) []Gateway {
	var list []Gateway
	for d := range domains {
		for i := range perDomain {
			g := Gateway{Address: fmt.Sprintf("10.%d.0.%02d:1", d, i), FailureDomain: fmt.Sprint("d", d), Processor: 0.144}
			if i%6 == 5 {
				g.Processor = 0.8
			}
			list = append(list, g)
		}
	}
	return list
}

// hubsOf returns the hubs of a site, each with the number of gateways that choose it, when some gateways are down.
func hubsOf(gateways []Gateway, down map[string]bool) map[string]int {
	chosen := make(map[string]int)
	for _, g := range gateways {
		if down[g.Address] {
			continue
		}
		s := NewSelector(g)
		s.SetGateways(gateways)
		hub := s.Choose(start)
		for down[hub] {
			s.Failed(start, hub)
			hub = s.Choose(start)
		}
		chosen[hub]++
	}
	return chosen
}

// The links of a site grow with its gateways: one hub for each failure domain, on its largest host.
func TestOneHubForEachFailureDomain(t *testing.T) {
	gateways := site(6, 17)
	chosen := hubsOf(gateways, nil)
	if len(chosen) != 6 {
		t.Errorf("hubs %v, want one for each of 6 failure domains", chosen)
	}
	for _, g := range gateways {
		if n := chosen[g.Address]; n > 0 && (n != 17 || g.Processor != 0.8) {
			t.Errorf("hub %+v serves %d gateways, want 17 on a large host", g, n)
		}
	}
}

// On a small site the loss of a hub must cost nothing: every gateway has links of its own.
func TestSmallSitesNeedNoHubs(t *testing.T) {
	if chosen := hubsOf(site(4, 2), nil); len(chosen) != 8 {
		t.Errorf("hubs %v, want all 8 gateways", chosen)
	}
	s := NewSelector(Gateway{Address: "a"})
	if s.Choose(start) != "a" || s.Gateways() != 1 {
		t.Error("a gateway that knows no other is not its own hub")
	}
}

// Whatever gateways are down, each live one finds a live hub, and those of a domain with live gateways stay within it:
// only the gateways of the lost hubs move.
func TestLostGatewaysMoveOnlyTheirOwnShare(t *testing.T) {
	gateways := site(6, 17)
	domainOf := make(map[string]string)
	for _, g := range gateways {
		domainOf[g.Address] = g.FailureDomain
	}
	before := hubsOf(gateways, nil)
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 1))
		down := make(map[string]bool)
		for _, g := range gateways {
			if r.IntN(3) == 0 {
				down[g.Address] = true
			}
		}
		after := hubsOf(gateways, down)
		if len(after) != 6 {
			t.Fatalf("seed %d: %d hubs, want 6: %v", seed, len(after), after)
		}
		for hub := range after {
			if down[hub] {
				t.Fatalf("seed %d: hub %s is down", seed, hub)
			}
		}
		for hub := range before {
			if !down[hub] && after[hub] == 0 {
				t.Fatalf("seed %d: hub %s is up and has lost its gateways", seed, hub)
			}
		}
	}
}

// A whole failure domain is lost but for one gateway, which becomes the hub; its own hub's return brings it back.
func TestReturnToThePreferredHub(t *testing.T) {
	gateways := site(2, 10)
	s := NewSelector(gateways[0])
	s.SetGateways(gateways)
	preferred := s.Choose(start)
	s.Failed(start, preferred)
	if s.Choose(start) == preferred {
		t.Fatal("a hub that has just failed is chosen again")
	}
	if got := s.Choose(start.Add(minRetryDelay)); got != preferred {
		t.Errorf("after the retry delay %s is chosen, want %s", got, preferred)
	}
	for range 20 {
		s.Failed(start, preferred)
	}
	if got := s.Choose(start.Add(maxRetryDelay)); got != preferred {
		t.Errorf("after many failures %s is chosen, want %s again after the longest delay", got, preferred)
	}
}

// Another writer puts rows into the table: each is refused, and names no gateway.
func TestForeignRows(t *testing.T) {
	g := Gateway{Address: "10.0.0.1:1", FailureDomain: "d", Processor: 0.8}
	value, err := EncodeRow(g)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeRow(g.Address, value); err != nil || got != g {
		t.Errorf("decoded %+v, %v, want %+v", got, err, g)
	}
	for _, bad := range []string{"", "\xff", "[]", `{"processor":1}`, `{"failure_domain":7}`, `{"failure_domain":"d","processor":-1}`} {
		if got, err := DecodeRow(g.Address, []byte(bad)); !errors.Is(err, ErrRow) {
			t.Errorf("row %q: %+v, %v, want ErrRow", bad, got, err)
		}
	}
}

// Guards against odd rows that end the process, and against a key to which no gateway can connect and that is preferred as hub for its
// large host.
func TestOddRowsNameNoGateway(t *testing.T) {
	good := `{"failure_domain":"d","processor":64}`
	for _, key := range []string{
		"", "a", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:65536", "10.0.0.1:http", ":80", "host:80", "0.0.0.0:80", "[::]:80", "[::ffff:0.0.0.0]:80", "224.0.0.1:80", "10.0.0.1:80\x00", strings.Repeat("1", 100_000) + ":80",
	} {
		if _, err := DecodeRow(key, []byte(good)); !errors.Is(err, ErrRow) || len(err.Error()) > 400 {
			t.Errorf("key %.40q: %.100v, want a short ErrRow", key, err)
		}
	}
	for _, value := range []string{
		standin.NestedArrays(100), standin.NestedObjects(10_000), standin.NestedArrays(1_000_000), `{"failure_domain":` + standin.NestedArrays(1_000_000) + `}`,
		`{"failure_domain":"d","processor":1e400}`, `{"failure_domain":"d","processor":1e300}`, `{"failure_domain":"d","processor":"1"}`, `{"failure_domain":null,"processor":1}`,
		`{"failure_domain":"` + strings.Repeat("d", 100_000) + `","processor":1}`, `{"failure_domain":"d","processor":` + strings.Repeat("9", 100_000) + `}`,
	} {
		if _, err := DecodeRow("10.0.0.1:80", []byte(value)); !errors.Is(err, ErrRow) || len(err.Error()) > 400 {
			t.Errorf("row %.60q: %.100v, want a short ErrRow", value, err)
		}
	}
}
