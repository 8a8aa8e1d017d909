// Command bench simulates routing and queueing in virtual time. It models callers, one
// queue for each VM and endpoint, and replicas with a service rate, a prefix cache and
// delayed load reports. It compares the default policy with a baseline of FIFO queues
// and round-robin routing on the same workload.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

func main() {
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 3, "number of seeds")
	duration := flag.Duration("duration", 10*time.Minute, "virtual time during which programs start")
	causes := flag.Bool("causes", false, "print why prompt tokens were computed again")
	only := flag.String("deployment", "", "run only the deployment with this model endpoint")
	o := options{faultAt: defaultFaultAt}
	flag.BoolVar(&o.cacheEvents, "cache-events", false, "VMs read the replicas' cache events, as those of the daemon do")
	flag.StringVar((*string)(&o.fault), "fault", "", "what a model replica does after four minutes: fail, leave or leave-exported")
	flag.Parse()
	for _, d := range deployments() {
		if *only != "" && *only != d.model {
			continue
		}
		if err := compare(d, *seed, *seeds, *duration, *causes, o); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// compare simulates the deployment under every policy, for each seed, and prints the
// measures side by side.
func compare(d deployment, seed uint64, seeds int, duration time.Duration, causes bool, o options) error {
	for s := seed; s < seed+uint64(seeds); s++ {
		var base result
		var simulations []*simulation
		for i, p := range policies() {
			sim, err := newSimulation(d, p, s, duration, o)
			if err != nil {
				return err
			}
			sim.run()
			r := sim.result()
			simulations = append(simulations, sim)
			if i == 0 {
				base = r
				fmt.Printf("\n%s, seed %d, %d programs, in flight for %.2f s per model call in the baseline\n", d.name, s, sim.started, sim.busySeconds/sim.modelCalls)
				fmt.Printf("%-28s %12s %12s %8s\n", "measure", "baseline", "default", "ratio")
				continue
			}
			base.print(r)
		}
		if causes {
			for i, p := range policies() {
				simulations[i].printCauses(p.name)
			}
		}
	}
	return nil
}

// result holds the measures of one simulation (section 2.2).
type result struct{ measures []measure }

type measure struct {
	name  string
	value float64
}

func (sim *simulation) result() result {
	slices.Sort(sim.latencies)
	quantile := func(q float64) float64 { return stat.Quantile(q, stat.Empirical, sim.latencies, nil) }
	worstMean, worstP95, worstOther := 0.0, 0.0, 0.0
	for name, s := range sim.slowdowns {
		slices.Sort(s)
		if name != "customer-0" {
			worstOther = max(worstOther, stat.Mean(s, nil))
		}
		worstMean = max(worstMean, stat.Mean(s, nil))
		worstP95 = max(worstP95, stat.Quantile(0.95, stat.Empirical, s, nil))
	}
	all := sum(sim.refusals)
	others := all - sim.refusals["customer-0"]
	return result{[]measure{
		{"latency median, s", quantile(0.5)},
		{"latency p95, s", quantile(0.95)},
		{"latency p99, s", quantile(0.99)},
		{"wasted cache, % of prompt", 100 * float64(sim.wastedTokens) / float64(max(1, sim.promptTokens))},
		{"recomputed, % of prompt", 100 * float64(sim.recomputedTokens) / float64(max(1, sim.promptTokens))},
		{"worst customer, mean slowdown", worstMean},
		{"same, without customer-0", worstOther},
		{"worst customer, p95 slowdown", worstP95},
		{"refusals", float64(all)},
		{"refusals, without customer-0", float64(others)},
		{"refusals within the rate", float64(sum(sim.conformingRefusals))},
		{"retries", float64(sim.retries)},
		{"programs not ended", float64(sim.started - sim.finished)},
	}}
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// print prints the measures of r and other and the ratio of other to r.
func (r result) print(other result) {
	for i, m := range r.measures {
		ratio := "-"
		if m.value != 0 {
			ratio = fmt.Sprintf("%.3f", other.measures[i].value/m.value)
		}
		fmt.Printf("%-30s %10.2f %12.2f %8s\n", m.name, m.value, other.measures[i].value, ratio)
	}
}
