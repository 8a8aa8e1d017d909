package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"

	"hornbeamvale.example/hornbeamvale/internal/version/configcheck"
	"hornbeamvale.example/hornbeamvale/platform/connection"
	"hornbeamvale.example/hornbeamvale/platform/version"
)

// errFindings ends a check that has printed findings.
var errFindings = errors.New("the configuration has findings")

type checkCommand struct {
	app     *app
	Against string `long:"against" value-name:"FILE" description:"configuration to compare with"`
	InForce bool   `long:"in-force" description:"compare with the configuration in the store; the replicas registered there count for the limits of customers"`
	Store   string `long:"store" value-name:"ADDRESS" description:"IP:port of the platform's store"`
	Form    string `short:"o" choice:"text" choice:"json" default:"text" description:"form of the result"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"JSON configuration; - reads standard input"`
	} `positional-args:"yes" required:"yes"`
}

// checkResult is the result of a check. Findings and differences contain no keys.
type checkResult struct {
	Findings    []configcheck.Finding    `json:"findings"`
	Differences []configcheck.Difference `json:"differences"`
}

func (c *checkCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	base, replicas, err := c.base()
	if err != nil {
		return err
	}
	value, err := c.app.readFile(c.Args.File)
	if err != nil {
		return err
	}
	result := checkResult{Findings: version.CheckConfiguration(value, replicas), Differences: []configcheck.Difference{}}
	if result.Findings == nil {
		result.Findings = []configcheck.Finding{}
	}
	refused := false
	for _, f := range result.Findings {
		refused = refused || f.Kind == configcheck.Invalid
	}
	if base != nil && !refused {
		if result.Differences, err = version.CompareConfigurations(base, value); err != nil {
			return usagef("compare: %w", err)
		}
	}
	if err := c.print(result); err != nil {
		return err
	}
	if len(result.Findings) > 0 {
		return errFindings
	}
	return nil
}

// base returns the configuration to compare with, nil if there is none, and the number of
// replicas by service, nil if it is not known.
func (c *checkCommand) base() (value []byte, replicas map[string]int, err error) {
	switch {
	case c.Against != "" && c.InForce:
		return nil, nil, usagef("--against and --in-force exclude each other")
	case c.Against == "-" && c.Args.File == "-":
		return nil, nil, usagef("only one of the configurations can be read from standard input")
	case c.InForce != (c.Store != ""):
		return nil, nil, usagef("--in-force and --store go together")
	case c.Against != "":
		value, err = c.app.readFile(c.Against)
		return value, nil, err
	case !c.InForce:
		return nil, nil, nil
	}
	address, err := netip.ParseAddrPort(c.Store)
	if err != nil {
		return nil, nil, usagef("--store: %w", err)
	}
	ctx, cancel := context.WithTimeout(c.app.ctx, c.app.global.Timeout)
	defer cancel()
	value, replicas, err = version.InForce(ctx, connection.NewStoreClient(address, c.app.global.Timeout))
	var missing *version.Error
	if errors.As(err, &missing) {
		err = usagef("--in-force: %w", err)
	}
	return value, replicas, err
}

func (a *app) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(a.stdin)
	}
	value, err := os.ReadFile(name)
	if err != nil {
		return nil, usagef("%w", err)
	}
	return value, nil
}

func (c *checkCommand) print(r checkResult) error {
	if c.Form == outputJSON {
		e := json.NewEncoder(c.app.stdout)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(c.app.stdout, cellText(fmt.Sprintf("%s %s: %s", f.Kind, cmp.Or(f.Path, "document"), f.Message))); err != nil {
			return err
		}
	}
	for _, d := range r.Differences {
		if _, err := fmt.Fprintln(c.app.stdout, cellText(fmt.Sprintf("changed %s: %s: %s", d.Entry, d.Change, d.Effect))); err != nil {
			return err
		}
	}
	return nil
}
