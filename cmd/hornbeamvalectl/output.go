package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/operatorhttp"
)

const (
	outputJSON = "json"
	// columnGap is the number of spaces between two columns of a table.
	columnGap = 2
)

// print writes a result as a table or as JSON, as chosen by --output.
func (a *app) print(result any) error {
	if a.global.Output == outputJSON {
		e := json.NewEncoder(a.stdout)
		e.SetIndent("", "  ")
		return e.Encode(result)
	}
	w := tabwriter.NewWriter(a.stdout, 0, 0, columnGap, ' ', 0)
	switch r := result.(type) {
	case operatorhttp.Accepted:
		row(w, "VERSION", "SUBMISSION ID")
		row(w, r.Version, r.SubmissionID)
	case operatorhttp.Configuration:
		printConfiguration(w, r)
	case operatorhttp.Status:
		printStatus(w, r)
	case operatorhttp.EventPage:
		printEvents(w, r)
	case operatorhttp.Settlement:
		row(w, "RUN", "REQUEST ID", "OUTCOME")
		row(w, r.Run, r.RequestID, r.Outcome)
	default:
		return fmt.Errorf("no table for %T", result)
	}
	return w.Flush()
}

// cellText replaces control characters, which would break the table or act as control
// sequences on the terminal.
func cellText(value any) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || (c >= 0x7f && c < 0xa0) {
			return ' '
		}
		return c
	}, fmt.Sprint(value))
}

// row writes one line of a table with its cells separated by tabs.
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = cellText(c)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

func printConfiguration(w io.Writer, c operatorhttp.Configuration) {
	row(w, "VERSION", c.Version)
	if c.Document == nil {
		return
	}
	row(w)
	row(w, "CUSTOMER", "RATE/S", "BURST", "WEIGHT", "KEYS", "ENDPOINTS", "PROGRAMS")
	for _, cu := range c.Document.Customers {
		var ids []string
		for _, k := range cu.Keys {
			ids = append(ids, k.ID)
		}
		row(w, cu.Name, cu.Rate, cu.Burst, cu.Weight, strings.Join(ids, ","),
			strings.Join(cu.Endpoints, ","), strings.Join(cu.Programs, ","))
	}
	row(w)
	row(w, "ENDPOINT", "KIND", "REPLICAS", "DRAINED")
	for _, e := range c.Document.Endpoints {
		row(w, e.Name, e.Kind, len(e.Replicas), e.Drained)
	}
	row(w)
	row(w, "PROGRAM", "TURNS", "TOKENS", "WALL SECONDS", "MICRO COST")
	for _, p := range c.Document.Programs {
		row(w, p.Name, p.Budget.Turns, p.Budget.Tokens, p.Budget.WallSeconds, p.Budget.MicroCost)
	}
}

func printStatus(w io.Writer, s operatorhttp.Status) {
	row(w, "ANSWERED BY", s.VM)
	row(w, "VERSION", s.Version)
	row(w)
	row(w, "VM", "DATA CENTRE", "VERSION", "SLOTS", "PROGRAMS", "LEASE", "STALE", "DRAINED", "FAULT")
	for _, v := range s.VMs {
		row(w, v.VM, v.DataCentre, v.Version, v.Slots, v.Programs, v.LeaseValid, v.Stale, v.Drained, v.Fault)
	}
	row(w)
	row(w, "ENDPOINT", "REPLICA", "LIVE", "LEAVING", "DRAINED", "IN FLIGHT", "WAITING")
	for _, e := range s.Endpoints {
		for _, r := range e.Replicas {
			row(w, e.Name, r.Address, r.Live, r.Leaving, e.Drained, r.InFlight, r.Waiting)
		}
	}
}

func printEvents(w io.Writer, p operatorhttp.EventPage) {
	row(w, "TIME", "VM", "KIND", "RUN", "TURN", "EPOCH", "DETAIL")
	for _, e := range p.Events {
		row(w, e.Time.UTC().Format(time.RFC3339Nano), e.VM, e.Kind, e.Run, e.Turn, e.Epoch, e.Detail)
	}
	for _, vm := range p.MissingVMs {
		row(w, "missing", vm, "the VM did not answer")
	}
}
