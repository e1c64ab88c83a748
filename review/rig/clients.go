package rig

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"balsamsail/platform/standin"
)

// Recovery is the bound recovery_s of the small sites.
const Recovery = 12 * time.Second

// Period counts the requests of a part of the run, and those of them that were served.
type Period struct{ asked, served atomic.Int64 }

// String returns the counts.
func (p *Period) String() string { return fmt.Sprintf("%d of %d", p.served.Load(), p.asked.Load()) }

// servedLittle reports whether less than a quarter of the requests was served.
func (p *Period) servedLittle() bool { return 4*p.served.Load() < p.asked.Load() }

// Clients send requests to gateways in turn.
type Clients struct {
	*Site
	// First is the number of the first gateway, and Gateways that of all.
	First, Gateways int

	sent atomic.Int64
	done sync.WaitGroup
}

// Ask sends a call, which gets an ID and the site's host, and counts it for a period. It does not wait for the answer.
func (c *Clients) Ask(period *Period, call standin.Call) {
	n := c.sent.Add(1)
	call.ID, call.Host = fmt.Sprintf("c%015x", n), SiteHost
	c.done.Go(func() {
		status, body := c.Send(context.Background(), call, c.ClientsAddress(c.First+int(n)%c.Gateways))
		period.asked.Add(1)
		if status == http.StatusOK && len(body) > 0 {
			period.served.Add(1)
		}
	})
}

// Sent returns the number of requests so far.
func (c *Clients) Sent() int64 { return c.sent.Load() }

// AskEach sends a call for each of some models, again and again, for some time.
func (c *Clients) AskEach(period *Period, length, interval time.Duration, call func(model string) standin.Call, models ...string) {
	c.Printf("clients ask for %v", models)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
		for _, model := range models {
			c.Ask(period, call(model))
		}
	}
}

// JudgeRecovery waits for all answers and judges by RECOVER the requests sent later than Recovery after the machines were back.
func (c *Clients) JudgeRecovery(before, after *Period) error {
	c.done.Wait()
	c.Printf("served: %v requests before, %v after", before, after)
	if before.servedLittle() {
		return errors.New("less than a quarter was served before the fault")
	}
	if after.servedLittle() {
		c.Broken("%v requests were served that were sent later than %v after the machines were back", after, Recovery)
	}
	return nil
}
