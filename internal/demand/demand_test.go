package demand

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func target(model string) Target { return Target{Service: "s", Model: model} }

func find(list []Model, model string) Model {
	for _, m := range list {
		if m.Model == model {
			return m
		}
	}
	return Model{}
}

// Rare models in a queue: a gateway that has had requests for many models sends only those whose demand has changed, so
// that a message does not grow with the number of models ever asked for.
func TestOnlyChangesAreSent(t *testing.T) {
	var all []Model
	for i := range 1000 {
		all = append(all, Model{Target: target(fmt.Sprint(i)), Arrived: 1})
	}
	var d Differ
	if n := len(d.Changes(start, all)); n != 1000 {
		t.Fatalf("first message has %d models, want all", n)
	}
	all[7].Waiting, all[7].Arrived = 1, 2
	changes := d.Changes(start.Add(time.Second), all)
	if len(changes) != 1 || changes[0].Model != "7" || changes[0].Arrived != 1 {
		t.Errorf("changes %+v, want one arrival of model 7", changes)
	}
	all[7].OldestWait = 500 * time.Millisecond
	if changes = d.Changes(start.Add(1500*time.Millisecond), all); len(changes) != 0 {
		t.Errorf("changes %+v for a request that only waits longer", changes)
	}
	all[7].OldestWait = 100 * time.Millisecond
	if changes = d.Changes(start.Add(2*time.Second), all); len(changes) != 1 {
		t.Errorf("changes %+v, want the younger request that is now the oldest", changes)
	}
	d.Reset()
	if changes = d.Changes(start.Add(2*time.Second), all); len(changes) != 1 || changes[0].Arrived != 0 {
		t.Errorf("changes %+v after a new connection, want the waiting request without arrivals counted before", changes)
	}
}

// The sum over two levels of boards equals the sum over the gateways, whatever the order and size of their changes, also
// when gateways change the board that they report to.
func TestSumsOfHubsEqualTheSumOfTheirGateways(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		const gateways, models = 7, 5
		var demand [gateways][]Model
		var differs [gateways]Differ
		var first [gateways]bool
		var hubOf [gateways]int
		for g := range gateways {
			for m := range models {
				demand[g] = append(demand[g], Model{Target: target(fmt.Sprint(m))})
			}
			hubOf[g], first[g] = r.IntN(2), true
		}
		hubs := [2]*Board{NewBoard(), NewBoard()}
		var upstream [2]Differ
		root := NewBoard()
		now := start
		send := func(g int) {
			hubs[hubOf[g]].Apply(now, fmt.Sprint(g), Message{Models: differs[g].Changes(now, demand[g]), Changes: true, First: first[g]})
			first[g] = false
		}
		for range 100 {
			now = now.Add(time.Duration(r.IntN(200)) * time.Millisecond)
			g := r.IntN(gateways)
			m := &demand[g][r.IntN(models)]
			m.Running = r.IntN(4)
			m.Arrived += int64(r.IntN(3))
			if r.IntN(10) == 0 {
				hubs[hubOf[g]].Remove(fmt.Sprint(g))
				hubOf[g], first[g] = 1-hubOf[g], true
				differs[g].Reset()
			}
			send(g)
		}
		for g := range gateways {
			send(g)
		}
		for h := range hubs {
			root.Apply(now, fmt.Sprint(h), Message{Models: upstream[h].Changes(now, hubs[h].Total(now)), Changes: true, First: true})
		}
		total := root.Total(now)
		for m := range models {
			want := Model{Target: target(fmt.Sprint(m))}
			for g := range gateways {
				want.Running += demand[g][m].Running
				want.Arrived += demand[g][m].Arrived
			}
			if got := find(total, want.Model); got.Running != want.Running || got.Arrived != want.Arrived {
				t.Fatalf("seed %d, model %d: running %d, arrived %d, want %d, %d", seed, m, got.Running, got.Arrived, want.Running, want.Arrived)
			}
		}
	}
}

// A gateway of an earlier build sends its complete demand each time, with arrivals counted since its start; it restarts.
func TestCompleteListsOfEarlierBuilds(t *testing.T) {
	b := NewBoard()
	list := func(arrived int64, waiting int) Message {
		return Message{Models: []Model{{Target: target("m"), Arrived: arrived, Waiting: waiting, OldestWait: time.Second}}}
	}
	if !b.Apply(start, "g", list(5, 1)) {
		t.Error("a request that begins to wait is not reported")
	}
	b.Apply(start, "g", list(8, 1))
	b.Apply(start, "g", list(2, 0))
	got := find(b.Total(start), "m")
	if got.Arrived != 1+3+1 || got.Waiting != 0 {
		t.Errorf("total %+v, want 5 arrivals and none waiting", got)
	}
	b.Apply(start, "g", Message{})
	b.Expire(start.Add(time.Second))
	if _, ok := b.HeardAt("g"); ok {
		t.Error("a silent gateway is still known")
	}
}
