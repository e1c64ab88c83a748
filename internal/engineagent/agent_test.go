package engineagent

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/control/controlpb"
)

func newTestAgent(t *testing.T, engine Engine) *Agent {
	t.Helper()
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	return New(Options{ReportInterval: 100 * time.Millisecond, Timeout: time.Second}, engine, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics)
}

// Guards against a state that is changed while it is sent to gateways: they get a wrong age of the command or bytes that are no message.
func TestPublishedStateDoesNotChange(t *testing.T) {
	a := newTestAgent(t, nil)
	a.core.HandleReport(start, &Report{Models: map[string]map[string]bool{"a": {}}})
	sendGatewayMessage(a.core, start, GatewayMessage{Command: &Command{ID: 1, EndpointID: "i1", Load: "b"}})
	a.publish(start.Add(time.Second))
	published := a.state
	var stop atomic.Bool
	var reader sync.WaitGroup
	reader.Go(func() {
		for !stop.Load() {
			bytes, err := proto.Marshal(published)
			sent := &controlpb.EngineState{}
			if err == nil {
				err = proto.Unmarshal(bytes, sent)
			}
			if err != nil || sent.CommandAgeMs != 1000 {
				t.Errorf("sent age of the command %d ms, want 1000, error %v", sent.CommandAgeMs, err)
				return
			}
		}
	})
	for range 100_000 {
		a.publish(start.Add(1200 * time.Millisecond))
	}
	stop.Store(true)
	reader.Wait()
}

// Guards against a gateway that connects during a load and takes the age that its command had when it was published for its present age.
func TestStateOfANewStreamHasTheCommandsAge(t *testing.T) {
	a := newTestAgent(t, nil)
	a.core.HandleReport(start, &Report{Models: map[string]map[string]bool{"a": {}}})
	sendGatewayMessage(a.core, start, GatewayMessage{Command: &Command{ID: 1, EndpointID: "i1", Load: "b"}})
	a.publish(start.Add(100 * time.Millisecond))
	if got := a.stateAsOf(start.Add(3 * time.Second)); got.CommandAgeMs != 3000 || a.state.CommandAgeMs != 100 {
		t.Errorf("age of the command %d ms after 3 s, published as %d, want 3000 and 100", got.CommandAgeMs, a.state.CommandAgeMs)
	}
}
