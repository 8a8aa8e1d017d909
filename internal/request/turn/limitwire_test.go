package turn

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/limit"
)

// TestLimitMessagesKeepTheirValues guards against a field that is lost or changed by
// the encoding, and against grants that reach the limiter of another customer.
func TestLimitMessagesKeepTheirValues(t *testing.T) {
	asks := []control.CustomerAsk{
		{Customer: "a", Ask: limit.Ask{VM: "vm", Incarnation: 1, Sequence: 300, Epoch: 70000, Held: 0.1, Returned: 2, Want: 3.25, Settled: true}},
		{Customer: "b", Ask: limit.Ask{VM: "vm", Incarnation: 2, Sequence: 1, Want: 1, Brief: true}},
	}
	payload, err := encodeAsks(asks)
	require.NoError(t, err)
	decoded, err := decodeAsks(payload)
	require.NoError(t, err)
	require.Equal(t, asks, decoded)
	grants := []control.CustomerGrant{{Customer: "b", Grant: limit.Grant{Sequence: 1, Epoch: 3, Tokens: 1, Lifetime: 500 * time.Millisecond, Registered: true, Keep: true}}}
	payload, err = encodeGrants(asks, grants)
	require.NoError(t, err)
	got, err := decodeGrants(payload, asks)
	require.NoError(t, err)
	require.Equal(t, grants, got)
	_, err = decodeGrants(payload, asks[:1])
	require.Error(t, err, "a grant without an ask")
	page := accountPage{Accounts: []control.CustomerAccount{{Customer: "a", Account: limit.Account{
		Level:   1.5,
		Members: []limit.MemberAccount{{VM: control.ShortMemberID("vm"), Incarnation: 1, Sequence: 2, Epoch: 3, Counted: time.Second}},
		Tokens:  []limit.TokenAccount{{Tokens: 2, Left: time.Second}},
	}}}}
	payload, err = encodeCompact(&page)
	require.NoError(t, err)
	var gotPage accountPage
	require.NoError(t, peer.Decode(payload, &gotPage))
	require.Equal(t, page, gotPage)
}

const (
	trafficVMs       = 410
	trafficCustomers = 630
	trafficRequests  = 29_000.0 // per second
	// frameBytes is the size of a frame without its payload: length, array, type, array,
	// stream number (below 65,536, since a pair of VMs exchanges one ask each 6 s here),
	// token and the header of the payload.
	frameBytes = 4 + 1 + 1 + 1 + 3 + 9 + 2
	// trafficBound is how much of the 18 KB/s that a VM may send asks and grants may take,
	// in bytes/s.
	trafficBound = 6_000.0
	delay        = 3 * time.Millisecond // of a message between two VMs, one way
)

// trafficEvent is a request, a grant or a timer at one limiter.
type trafficEvent struct {
	at       time.Time
	limiter  int // vm*trafficCustomers + customer; -1 for a request, which chooses one
	grant    *limit.Grant
	askedAt  time.Time
	deadline bool // true for the timer of the limiter's next deadline
}

// trafficQueue is a heap of events, ordered by time.
type trafficQueue []trafficEvent

func (q trafficQueue) Len() int           { return len(q) }
func (q trafficQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q trafficQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *trafficQueue) Push(x any)        { *q = append(*q, x.(trafficEvent)) }
func (q *trafficQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// TestLimitTrafficAtTargetSize guards against asks and grants that exceed their bound
// within a VM's control traffic at the size of section 2.4: 410 VMs, 630 customers and
// 29,000 requests/s, spread evenly. Each customer's rate is 1.25 times its demand and
// its burst is two seconds of its rate. Each frame carries one ask, which is the worst
// case.
func TestLimitTrafficAtTargetSize(t *testing.T) {
	const duration, warm = 4 * time.Second, 1500 * time.Millisecond
	start := time.Unix(1_000_000, 0)
	rate := trafficRequests / trafficCustomers * 1.25
	p := limit.Policy{Rate: rate, Burst: 2 * rate, Seats: trafficVMs}
	limiters := make([]*limit.Limiter, trafficVMs*trafficCustomers)
	names := make([]string, trafficCustomers)
	owners := make([]*limit.Owner, trafficCustomers)
	for c := range owners {
		names[c] = fmt.Sprintf("customer-%03d", c)
		owners[c] = limit.NewOwner(p, start.Add(-time.Hour), start.Add(-time.Minute))
		owners[c].SetEpoch(uint64(c + 1))
	}
	for i := range limiters {
		limiters[i] = limit.NewLimiter(p, start.Add(-time.Hour), start.Add(-time.Hour))
		limiters[i].VM, limiters[i].Incarnation = control.ShortMemberID(fmt.Sprint("vm-", i/trafficCustomers)), 1
	}
	rng := rand.New(rand.NewSource(7))
	var q trafficQueue
	arrival := func(after time.Time) {
		at := after.Add(time.Duration(rng.ExpFloat64() / trafficRequests * float64(time.Second)))
		heap.Push(&q, trafficEvent{at: at, limiter: -1})
	}
	arrival(start)
	requests, admitted, asks, bytes := 0, 0, 0, 0
	run := func(i int, now time.Time, count bool) {
		limiter, c := limiters[i], i%trafficCustomers
		admitted += len(limiter.Admit(now))
		if a, ok := limiter.NextAsk(now); ok {
			list := []control.CustomerAsk{{Customer: names[c], Ask: a}}
			sent, err := encodeAsks(list)
			require.NoError(t, err)
			g := owners[c].Ask(now.Add(delay), a)
			answer, err := encodeGrants(list, []control.CustomerGrant{{Customer: names[c], Grant: g}})
			require.NoError(t, err)
			if count {
				asks++
				bytes += len(sent) + len(answer) + 2*frameBytes
			}
			heap.Push(&q, trafficEvent{at: now.Add(2 * delay), limiter: i, grant: &g, askedAt: now})
		}
		if at := limiter.NextDeadline(); at.Sub(now) < duration {
			heap.Push(&q, trafficEvent{at: at, limiter: i, deadline: true})
		}
	}
	for len(q) > 0 {
		e := heap.Pop(&q).(trafficEvent)
		now := e.at
		if now.Sub(start) > duration {
			break
		}
		count := now.Sub(start) >= warm
		i := e.limiter
		switch {
		case i < 0:
			arrival(now)
			i = rng.Intn(len(limiters))
			if count {
				requests++
			}
			if ok, _ := limiters[i].Take(now, 1); ok {
				admitted++
			} else {
				limiters[i].Wait(now, 1, now.Add(limit.MaxWait))
			}
		case e.grant != nil:
			limiters[i].Granted(now, e.askedAt, *e.grant)
		case limiters[i].NextDeadline().After(now):
			continue // the deadline has moved
		}
		if now.Sub(start) < warm {
			admitted = 0
		}
		run(i, now, count)
	}
	seconds := (duration - warm).Seconds()
	perVM := float64(bytes) / seconds / trafficVMs
	t.Logf("requests %.0f/s, admitted %.4f, asks %.0f/s, asks and grants %.1f B each pair, sent %.0f B/s per VM",
		float64(requests)/seconds, float64(admitted)/float64(requests), float64(asks)/seconds, float64(bytes)/float64(max(1, asks)), perVM)
	require.Less(t, perVM, trafficBound)
	require.InDelta(t, 1, float64(admitted)/float64(requests), 0.01)
}
