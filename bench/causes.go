package main

import (
	"fmt"
	"maps"
	"slices"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/request/placement"
)

// cause is the reason why a call computes prompt tokens again, determined at its
// dispatch.
type cause string

// The causes. A holder is a replica that has the longest cached prefix of the call. It
// is full if the VM has its share of the holder's concurrency limit in flight.
const (
	firstTurn             cause = "first turn"
	evicted               cause = "evicted at every replica"
	evictedAtExpected     cause = "evicted where the view expects it"
	sentToHolder          cause = "sent to a holder"
	holderUnknown         cause = "the view does not know the holder"
	sentElsewhere         cause = "sent elsewhere by the scores"
	fullNoneWaiting       cause = "holder full, no call waits"
	fullSameCustomerFits  cause = "holder full, same customer's call fits"
	fullOtherCustomerFits cause = "holder full, other customer's call fits"
	fullNoneFits          cause = "holder full, no waiting call fits"
)

// recomputation counts the calls and tokens of one cause.
type recomputation struct {
	calls                          int
	recomputedTokens, wastedTokens int64 // wastedTokens were cached at some replica
}

// causeOf returns the cause for a model call that is dispatched to the chosen replica.
func (v *vm) causeOf(c *call, r placement.Request, cs []replica.Candidate, chosen string) cause {
	holder, longest := v.sim.holder(c)
	cachedAtChosen := v.sim.enginesByName[chosen].cache[c.run].tokens
	switch {
	case longest == 0 && c.program.turn <= 1:
		return firstTurn
	case longest == 0:
		return evicted
	case cachedAtChosen >= longest:
		return sentToHolder
	case r.CachedTokens[chosen] > cachedAtChosen:
		return evictedAtExpected
	case r.CachedTokens[holder] == 0:
		return holderUnknown
	}
	for _, k := range cs {
		if k.Replica == holder && (placement.Capacity{}).Keep(r, k) {
			return sentElsewhere
		}
	}
	return v.causeOfFullHolder(c, chosen)
}

// causeOfFullHolder returns the cause for a call whose holder is full. It tells whether
// another queued call has a prefix at the chosen replica and would thus fit there, and
// whether that call is of the same customer.
func (v *vm) causeOfFullHolder(c *call, chosen string) cause {
	found, waits := fullNoneFits, false
	for other := range v.waiting {
		if other.endpoint != c.endpoint {
			continue
		}
		waits = true
		if v.view.CachedTokens(other.run)[chosen] == 0 {
			continue
		}
		if other.customer == c.customer {
			return fullSameCustomerFits
		}
		found = fullOtherCustomerFits
	}
	if !waits {
		return fullNoneWaiting
	}
	return found
}

// holder returns the replica with the longest cached prefix of the call's prompt, and
// its length in tokens; an empty name and 0 if no replica has any.
func (sim *simulation) holder(c *call) (name string, longest int64) {
	for _, e := range sim.engines {
		if n := min(c.promptTokens, e.cache[c.run].tokens); n > longest {
			name, longest = e.name, n
		}
	}
	return name, longest
}

// countPrompt counts the call's prompt tokens at the start of an attempt, of which
// cachedTokens are cached at the chosen replica.
func (sim *simulation) countPrompt(c *call, cachedTokens int64) {
	if c.promptTokens == 0 {
		return
	}
	_, longest := sim.holder(c)
	sim.promptTokens += c.promptTokens
	sim.recomputedTokens += c.promptTokens - cachedTokens
	sim.wastedTokens += longest - cachedTokens
	k := sim.causes[c.cause]
	k.calls++
	k.recomputedTokens += c.promptTokens - cachedTokens
	k.wastedTokens += longest - cachedTokens
	sim.causes[c.cause] = k
}

// printCauses prints the causes in percent of all model calls and prompt tokens.
func (sim *simulation) printCauses(policy string) {
	fmt.Printf("%-42s %8s %12s %8s\n", "cause, "+policy, "calls, %", "computed, %", "waste, %")
	for _, name := range slices.Sorted(maps.Keys(sim.causes)) {
		k := sim.causes[name]
		percent := func(n int64) float64 { return 100 * float64(n) / float64(sim.promptTokens) }
		fmt.Printf("%-42s %8.2f %12.2f %8.2f\n", name, 100*float64(k.calls)/sim.modelCalls, percent(k.recomputedTokens), percent(k.wastedTokens))
	}
}
