package relay

import (
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/overload"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

// beginProgram refuses a request that begins a program if its endpoint is overloaded. It
// comes before the request takes anything from rate, history or budget.
func (x *exchange) beginProgram() *refusal.Refusal {
	if x.route.Kind != routing.Stream {
		return nil
	}
	p := x.request.Program
	request := overload.Request{
		ID: x.request.ID, Program: p.ID, Customer: x.customerName(), Kind: x.route.Name,
		Priority:  x.table.Priority(x.customerName(), x.route),
		Continues: p.Parent != "", ContinuationKnown: x.route.KeepsHistory, TimeLeft: p.TimeLeft, Late: p.Late,
	}
	if x.customer != nil && x.customer.Rate < fleet.UnlimitedRate {
		request.Weight = x.customer.Rate
	}
	reply := make(chan overload.Decision, 1)
	if x.Loop.Post(x.ctx, fleet.BeginProgram{Endpoint: x.endpoint, Request: request, Reply: reply}) != nil {
		return x.timeLimitRefusal(refusal.NotRun)
	}
	select {
	case decision := <-reply:
		if !decision.Admitted {
			return refusal.New(refusal.Overloaded, "endpoint %q has more work than it can do in time", x.endpoint).After(decision.RetryAfter)
		}
		return nil
	case <-x.ctx.Done():
		return x.timeLimitRefusal(refusal.NotRun)
	}
}
