package main

import (
	"context"
	"fmt"

	"hornbeamvale.example/hornbeamvale/standin/internal/process/fleet"
)

// demo is the fleet of the demo and the addresses of its replicas.
type demo struct {
	fleet.Fleet
	engine1, engine2, service string
}

// start starts the stand-ins and three daemons, waits until they are ready, and prints
// their addresses.
func (d *demo) start(ctx context.Context) error {
	for _, s := range []struct {
		address *string
		args    []string
	}{
		{&d.Platform, []string{"platform"}},
		{&d.engine1, []string{"engine", "--answer-tokens", "12"}},
		{&d.engine2, []string{"engine", "--answer-tokens", "12"}},
		{&d.service, []string{"service"}},
	} {
		var err error
		if *s.address, err = d.StartStandIn(s.args...); err != nil {
			return err
		}
	}
	for n, dataCentre := range []string{"annotto-bay", "port-maria", "highgate"} {
		if err := d.StartDaemon(fmt.Sprintf("entry-%02d", n+1), dataCentre); err != nil {
			return err
		}
	}
	if err := d.WaitReady(ctx); err != nil {
		return err
	}
	for _, v := range d.VMs {
		fmt.Printf("%s is ready: callers %s, operators %s\n", v.ID, v.Caller, v.Operator)
	}
	return nil
}
