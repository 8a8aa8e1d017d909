// Package detour sends requests to replicas directly or, while this VM does not reach
// them, through another VM. The other VM only passes the request on: the choice of the
// replica and every decision on the request stay here.
package detour

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/replicapath"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

const (
	// silenceBeforeTest is how long a request waits for the head of its answer, while no
	// replica sends this VM anything, before the path is tested. A sound replica may be
	// silent for longer, so the request itself goes on.
	silenceBeforeTest = 400 * time.Millisecond
	// maxProxies bounds the VMs that are asked for one request.
	maxProxies = 4
	// proxyRetryDelay is how long a VM that could not help is not asked again.
	proxyRetryDelay = time.Second
)

// ErrCannotHelp is the error of a VM that does not reach the replica either, or must not
// send it anything. The request was not sent.
var ErrCannotHelp = errors.New("the other VM cannot send the request")

var (
	errNoProxy         = errors.New("this VM does not reach the replicas, and no other VM can help")
	errPermissionEnded = errors.New("this VM does not reach the replica, and its permission to send to it has ended")
)

// Sender sends a request to a replica. Errors are of type *call.ReplicaError.
type Sender interface {
	Send(ctx context.Context, r call.ReplicaRequest) (*call.ReplicaResponse, error)
}

// Direct is the client of replicas of this VM.
type Direct interface {
	Sender
	// LastReceived returns when any replica last sent this VM something, as
	// clock.Monotonic.
	LastReceived() time.Duration
}

// Proxy is another VM.
type Proxy interface {
	Sender
	// VM returns the VM's name, Region its region, which is empty if it is not known.
	VM() string
	Region() string
}

// Client sends requests on the way that is open. It implements relay.ReplicaClient and
// lives as long as the process.
type Client struct {
	Direct  Direct
	Path    *replicapath.Path
	Proxies func() []Proxy
	// Region is the region of this VM.
	Region string

	detours  atomic.Int64
	mu       sync.Mutex
	failedAt map[string]time.Time // when a VM could not help, by VM
}

// Detours returns the number of requests that were answered through another VM.
func (c *Client) Detours() int64 { return c.detours.Load() }

// Send implements Sender. A request of which nothing was sent, because no connection to its
// replica could be made, goes through another VM if the path is lost.
func (c *Client) Send(ctx context.Context, r call.ReplicaRequest) (*call.ReplicaResponse, error) {
	if c.Path.State() == replicapath.Direct {
		reply, err := c.sendDirect(ctx, r)
		var failed *call.ReplicaError
		if err == nil || ctx.Err() != nil || !errors.As(err, &failed) || failed.Run != refusal.NotRun || c.Path.Test(ctx) == replicapath.Direct {
			return reply, err
		}
	}
	return c.sendThroughProxy(ctx, r)
}

// sendDirect sends a request to its replica, and has the path tested if everything is
// silent.
func (c *Client) sendDirect(ctx context.Context, r call.ReplicaRequest) (*call.ReplicaResponse, error) {
	sent := clock.Monotonic()
	watch := time.AfterFunc(silenceBeforeTest, func() {
		if c.Direct.LastReceived() < sent {
			c.Path.Test(context.WithoutCancel(ctx))
		}
	})
	defer watch.Stop()
	return c.Direct.Send(ctx, r)
}

// sendThroughProxy asks other VMs one after another until one has sent the request.
func (c *Client) sendThroughProxy(ctx context.Context, r call.ReplicaRequest) (*call.ReplicaResponse, error) {
	begun := clock.Now()
	for _, proxy := range c.helpers(r) {
		attempt := r
		if attempt.TimeLeft = r.TimeLeft - clock.Since(begun); attempt.TimeLeft <= 0 || ctx.Err() != nil {
			break
		}
		if !r.SendBy.IsZero() && clock.Now().After(r.SendBy) {
			return nil, &call.ReplicaError{Replica: r.Replica, Run: refusal.NotRun, PathLost: true, Err: errPermissionEnded}
		}
		reply, err := proxy.Send(ctx, attempt)
		if errors.Is(err, ErrCannotHelp) {
			c.mu.Lock()
			c.failedAt[proxy.VM()] = clock.Now()
			c.mu.Unlock()
			continue
		}
		if err == nil {
			c.detours.Add(1)
		}
		return reply, err
	}
	return nil, &call.ReplicaError{Replica: r.Replica, Run: refusal.NotRun, PathLost: true, Err: errNoProxy}
}

// helpers returns the VMs to ask for a request, in random order. A VM in a region to which the
// request must not go is not asked.
func (c *Client) helpers(r call.ReplicaRequest) []Proxy {
	all := c.Proxies()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failedAt == nil {
		c.failedAt = map[string]time.Time{}
	}
	now := clock.Now()
	var out []Proxy
	for _, proxy := range all {
		if r.Allowed.AllowsVM(proxy.Region(), c.Region) && now.Sub(c.failedAt[proxy.VM()]) >= proxyRetryDelay && len(out) < maxProxies {
			out = append(out, proxy)
		}
	}
	return out
}
