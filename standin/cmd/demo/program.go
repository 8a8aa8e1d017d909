package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/operator"
	"hornbeamvale.example/hornbeamvale/standin/fleet/process"
	"hornbeamvale.example/hornbeamvale/standin/fleet/request"
)

const (
	callerKey  = "demo-caller-key"
	customer   = "growers-st-mary"
	programRun = "booking:4711"
	// retryInterval is the pause before a call is repeated because the configuration
	// version is not yet in force at the VM.
	retryInterval = 200 * time.Millisecond
)

// document returns the configuration of the demo.
func (d *demo) document() *operator.Document {
	return &operator.Document{
		Fleet: operator.Fleet{Seats: 4},
		Customers: []operator.Customer{{
			Name: customer, Keys: []operator.Key{operator.NewKey("demo", callerKey)},
			Rate: 50, Burst: 20, Weight: 1, Endpoints: []string{"*"}, Programs: []string{"*"},
		}},
		Programs: []operator.Program{{Name: "booking", Budget: operator.Budget{Turns: 20, Tokens: 100_000}}},
		Endpoints: []operator.Endpoint{
			{Name: "cacao-agents", Kind: operator.KindModel, Replicas: []string{d.engine1, d.engine2}},
			{Name: "batch-ledger", Kind: operator.KindService, Replicas: []string{d.service}, Routes: []operator.Route{
				{Method: http.MethodGet, Prefix: "/", Idempotent: true},
			}},
		},
	}
}

// runProgram makes four dependent calls, each through the next entry VM, and prints
// the answers and the time line. It checks that the booking ran once.
func (d *demo) runProgram(ctx context.Context) error {
	steps := []struct {
		name string
		call func(ctx context.Context, v *process.VM, turn int) (string, error)
	}{
		{"ask for a conching slot", func(ctx context.Context, v *process.VM, turn int) (string, error) {
			return callModel(ctx, v, turn, "which conching slot is free for lot 88")
		}},
		{"check the lot", func(ctx context.Context, v *process.VM, turn int) (string, error) {
			return callService(ctx, v, turn, http.MethodGet, "/lots/88")
		}},
		{"book the slot", func(ctx context.Context, v *process.VM, turn int) (string, error) {
			return callService(ctx, v, turn, http.MethodPost, "/bookings")
		}},
		{"confirm", func(ctx context.Context, v *process.VM, turn int) (string, error) {
			return callModel(ctx, v, turn, "tell the grower that the slot is booked")
		}},
	}
	for n, step := range steps {
		v := d.VMs[n%len(d.VMs)]
		answer, err := retryUntilInForce(ctx, func() (string, error) { return step.call(ctx, v, n+1) })
		if err != nil {
			return fmt.Errorf("turn %d through %s: %w", n+1, v.ID, err)
		}
		fmt.Printf("turn %d through %s: %s: %s\n", n+1, v.ID, step.name, strings.TrimSpace(answer))
	}
	fmt.Println("time line:")
	if err := d.RunCtl(ctx, "events", "--program", customer+"/"+programRun); err != nil {
		return err
	}
	return d.checkBookingRanOnce(ctx)
}

// checkBookingRanOnce asks the service how often the booking ran and fails unless it
// ran once.
func (d *demo) checkBookingRanOnce(ctx context.Context) error {
	n, err := request.RunCount(ctx, d.service, "/bookings")
	if err != nil {
		return err
	}
	if n != 1 {
		return fmt.Errorf("the booking ran %d times, expected once", n)
	}
	fmt.Println("the booking ran once")
	return nil
}

// retryUntilInForce repeats a call as long as the VM refuses it because the
// configuration version is not yet in force there. The refusal is then unauthenticated
// or rate_limited.
func retryUntilInForce(ctx context.Context, call func() (string, error)) (string, error) {
	for {
		answer, err := call()
		var refused *request.Refused
		if err == nil || !errors.As(err, &refused) || refused.Code != "unauthenticated" && refused.Code != "rate_limited" {
			return answer, err
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return "", err
		}
	}
}

func callModel(ctx context.Context, v *process.VM, turn int, text string) (string, error) {
	return request.Chat(ctx, v.Caller, callForTurn(turn), "cacao-agents", text, 0, nil)
}

func callService(ctx context.Context, v *process.VM, turn int, method, path string) (string, error) {
	return request.Service(ctx, v.Caller, callForTurn(turn), "batch-ledger", method, path)
}

func callForTurn(turn int) request.Call {
	return request.Call{Key: callerKey, Program: programRun, Turn: turn}
}
