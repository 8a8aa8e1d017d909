package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/standin/fleet/process"
	"hornbeamvale.example/hornbeamvale/standin/internal/process/fleet"
)

// usage holds values of the daemons' metrics, summed over the VMs.
type usage struct {
	cpu, control  float64 // seconds
	events, turns float64 // control events and served requests
	mallocs       float64
	allocated     float64 // bytes
	resident      float64 // bytes, the largest value of any VM
}

func (u usage) minus(v usage) usage {
	return usage{
		cpu: u.cpu - v.cpu, control: u.control - v.control, events: u.events - v.events, turns: u.turns - v.turns,
		mallocs: u.mallocs - v.mallocs, allocated: u.allocated - v.allocated, resident: u.resident,
	}
}

// readUsage reads the metrics of the VMs and sums them.
func readUsage(ctx context.Context, vms []*process.VM) (usage, error) {
	var sum usage
	for _, v := range vms {
		m, err := readMetrics(ctx, v)
		if err != nil {
			return usage{}, err
		}
		sum.cpu += m["process_cpu_seconds_total"]
		sum.control += m["hornbeamvale_control_cpu_seconds_total"]
		sum.events += m["hornbeamvale_control_events_total"]
		sum.turns += m["hornbeamvale_requests_served_total"]
		sum.mallocs += m["go_memstats_mallocs_total"]
		sum.allocated += m["go_memstats_alloc_bytes_total"]
		sum.resident = max(sum.resident, m["process_resident_memory_bytes"])
	}
	return sum, nil
}

// readMetrics reads the metrics of a VM. It returns the sum of the series of each name.
func readMetrics(ctx context.Context, v *process.VM) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Operator+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.OperatorKey)
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read metrics of %s: status %d", v.ID, response.StatusCode)
	}
	series := map[string]float64{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || name == "#" {
			continue
		}
		name, _, _ = strings.Cut(name, "{")
		_, value, _ = cutLast(" "+value, " ") // label values may contain spaces
		if f, err := strconv.ParseFloat(value, 64); err == nil {
			series[name] += f
		}
	}
	return series, lines.Err()
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// printComparison prints the measures of the direct load and of the load through the
// VMs side by side, and what the latter cost the VMs and the platform.
func printComparison(w io.Writer, vms int, direct, through *loadGenerator, u usage, p platformCounts) {
	fmt.Fprintf(w, "\n%d VMs, %d callers, %d tokens an answer, %s a token at the engine, %d turns a program\n",
		vms, through.Callers, through.Tokens, through.StepTime, turnsPerProgram)
	fmt.Fprintf(w, "%-34s %12s %12s %12s %8s\n", "", "direct", "through", "added", "ratio")
	row := func(name string, d, t time.Duration) {
		fmt.Fprintf(w, "%-34s %12s %12s %12s %8.3f\n", name, round(d), round(t), round(t-d), float64(t)/float64(max(1, d)))
	}
	for _, q := range []float64{0.5, 0.95} {
		row(fmt.Sprintf("first token, p%.0f", 100*q), quantile(direct.firstTokenTimes, q), quantile(through.firstTokenTimes, q))
	}
	for _, q := range []float64{0.5, 0.95} {
		row(fmt.Sprintf("between tokens, p%.0f", 100*q), quantile(direct.tokenGaps, q), quantile(through.tokenGaps, q))
	}
	row("between tokens, mean", mean(direct.tokenGaps), mean(through.tokenGaps))
	for _, q := range []float64{0.5, 0.95} {
		row(fmt.Sprintf("last token to end, p%.0f", 100*q), quantile(direct.endDelays, q), quantile(through.endDelays, q))
	}
	perSecond := func(l *loadGenerator) float64 { return float64(len(l.endDelays)) / l.elapsed.Seconds() }
	fmt.Fprintf(w, "%-34s %12.1f %12.1f %12s %8.3f\n", "turns/s", perSecond(direct), perSecond(through), "", perSecond(through)/perSecond(direct))
	fmt.Fprintf(w, "%-34s %12d %12d\n", "turns that failed", direct.failedTurns, through.failedTurns)
	if through.lastError != nil {
		fmt.Fprintf(w, "last failure: %v\n", through.lastError)
	}
	turns := float64(len(through.endDelays))
	fmt.Fprintf(w, "%-34s %25.0f\n", "turns/s per core of the VMs", turns/u.cpu)
	fmt.Fprintf(w, "%-34s %22.0f µs\n", "CPU per turn, all threads", 1e6*u.cpu/turns)
	fmt.Fprintf(w, "%-34s %22.0f µs\n", "CPU per turn, control threads", 1e6*u.control/turns)
	fmt.Fprintf(w, "%-34s %25.1f\n", "control events per turn", u.events/turns)
	fmt.Fprintf(w, "%-34s %25.0f\n", "allocations per turn", u.mallocs/turns)
	fmt.Fprintf(w, "%-34s %22.0f kB\n", "allocated per turn", u.allocated/turns/1000)
	fmt.Fprintf(w, "%-34s %22.1f MB\n", "resident memory, largest VM", u.resident/1e6)
	fmt.Fprintf(w, "platform: %.1f writes/s, %.1f reads/s, %.1f object writes/s, %.1f object reads/s; %.0f bytes sent and %.0f received a turn\n",
		float64(p.writes)/through.elapsed.Seconds(), float64(p.reads)/through.elapsed.Seconds(), float64(p.puts)/through.elapsed.Seconds(),
		float64(p.gets)/through.elapsed.Seconds(), float64(p.bytesOut)/turns, float64(p.bytesIn)/turns)
}

func round(d time.Duration) time.Duration { return d.Round(time.Microsecond) }

// quantile returns the q-quantile of values, or 0 if there are none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func mean(values []time.Duration) time.Duration {
	var sum time.Duration
	for _, v := range values {
		sum += v
	}
	return sum / time.Duration(max(1, len(values)))
}
