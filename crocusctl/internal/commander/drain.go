package commander

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"crocustack/core/informer"
)

const drainUsage = `Asks the node at an admin address to drain: it takes no new work, completes what is running and stops, at the latest after its DrainTimeout. With --wait the command returns once the node has stopped, and exits with 1 when it has not stopped within that time.

Example: crocusctl drain 10.0.1.7:7103 --wait 40s`

// drainPollInterval is the interval between status requests to a draining node.
const drainPollInterval = 200 * time.Millisecond

type drainCommand struct {
	Wait    time.Duration `long:"wait" description:"Wait until the node has stopped, at most this long"`
	Timeout time.Duration `long:"timeout" default:"5s" description:"Time for one request to the node"`
	Args    struct {
		Address string `positional-arg-name:"ADDRESS" required:"yes"`
	} `positional-args:"yes"`
}

func (c *drainCommand) run(ctx context.Context, env *environment) error {
	o := NodeOptions{Timeout: c.Timeout}
	address := c.Args.Address
	if _, err := o.adminRequest(ctx, env, http.MethodPost, address, "/drain"); err != nil {
		return exitf(exitUnreachable, "%s: %v", address, err)
	}
	printf(env.stdout, "%s: draining\n", address)
	if c.Wait <= 0 {
		return nil
	}
	var s informer.Status
	for end := env.now().Add(c.Wait); env.now().Before(end); {
		b, err := o.adminRequest(ctx, env, http.MethodGet, address, "/status")
		if err != nil {
			printf(env.stdout, "%s: stopped\n", address)
			return nil
		}
		if err := json.Unmarshal(b, &s); err != nil {
			return exitf(exitUnreachable, "%s: %v", address, err)
		}
		if err := env.sleep(ctx, drainPollInterval); err != nil {
			return err
		}
	}
	return exitf(exitFindings, "%s: not stopped after %v, %d requests running, %d queued", address, c.Wait, s.Limits.InFlight, s.Limits.Queued)
}
