package scenarios

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// restartCommand starts VMs whose processes have ended: restart VM...
func restartCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	for _, a := range args {
		v, _, err := f.vm(a)
		if err != nil {
			return err
		}
		if err := v.Start(); err != nil {
			return err
		}
	}
	return nil
}

// drainLimitMessage is in the log of a VM that reached its drain limit. Its exit status
// is 0 then as well, although requests or slots were left.
const drainLimitMessage = "at the drain limit"

// sigtermCommand stops VMs gracefully, one after another, and checks that each ended with
// status 0 and before its drain limit: sigterm VM...
func sigtermCommand(f *fleet, ts *testscript.TestScript, args []string) error {
	for _, a := range args {
		v, _, err := f.vm(a)
		if err != nil {
			return err
		}
		began := time.Now()
		if err := v.Stop(stopTimeout); err != nil {
			return err
		}
		ts.Logf("%s stopped in %s", v.ID, time.Since(began).Round(time.Millisecond))
		if strings.Contains(v.Logs(), drainLimitMessage) {
			return fmt.Errorf("%s ended at its drain limit", v.ID)
		}
	}
	return nil
}

// sigkillCommand kills VMs: sigkill VM...
func sigkillCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	for _, a := range args {
		v, _, err := f.vm(a)
		if err != nil {
			return err
		}
		v.Kill()
	}
	return nil
}

// freezeCommand suspends the process of a VM or of a stand-in with SIGSTOP:
// freeze VM|engineN
func freezeCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	return f.signal(args, syscall.SIGSTOP)
}

// thawCommand resumes a frozen process with SIGCONT: thaw VM|engineN
func thawCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	return f.signal(args, syscall.SIGCONT)
}

func (f *fleet) signal(args []string, s syscall.Signal) error {
	if len(args) != 1 {
		return errors.New("usage: freeze|thaw VM|engineN")
	}
	if standIns, err := f.standIns(args[0]); err == nil {
		for _, p := range standIns {
			p.Signal(s)
		}
		return nil
	}
	v, _, err := f.vm(args[0])
	if err == nil {
		v.Signal(s)
	}
	return err
}

// readyCommand waits until VMs report that they are ready for traffic: ready VM...
func readyCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	for _, a := range args {
		v, _, err := f.vm(a)
		if err != nil {
			return err
		}
		if err := waitFor(v.ID+" is ready", v.Ready); err != nil {
			return err
		}
	}
	return nil
}

// unreadyCommand waits until a VM does not report that it is ready: unready VM
func unreadyCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: unready VM")
	}
	v, _, err := f.vm(args[0])
	if err != nil {
		return err
	}
	return waitFor(v.ID+" is not ready", func(ctx context.Context) bool { return !v.Ready(ctx) })
}

// evictedCommand waits until a VM owns no slot and every slot is owned by a member:
// evicted VM
func evictedCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: evicted VM")
	}
	v, _, err := f.vm(args[0])
	if err != nil {
		return err
	}
	return waitFor(v.ID+" is evicted and members own all slots", func(ctx context.Context) bool {
		owners, err := f.owners(ctx)
		if err != nil {
			return false
		}
		for _, vm := range owners {
			if vm == v.ID || vm == "" {
				return false
			}
		}
		return len(owners) == ownership.SlotCount
	})
}

// owners returns the VM that owns each slot, or an empty name if the owner is not a
// member any more.
func (f *fleet) owners(ctx context.Context) (map[ownership.Slot]string, error) {
	// The limit is above the number of slots, so that a single page holds all rows.
	const limit = 2 * ownership.SlotCount
	r, err := f.store.Read(ctx, platform.Read{Since: []platform.Since{
		{Table: member.MembersTable, Limit: limit}, {Table: ownership.Table, Limit: limit},
	}})
	if err != nil {
		return nil, err
	}
	names := map[string]string{}
	for _, row := range r.Changes[0] {
		if row.Deleted {
			continue
		}
		info, err := member.DecodeInfo(row)
		if err != nil {
			return nil, err
		}
		names[row.Key.Key] = info.VM
	}
	owners := map[ownership.Slot]string{}
	for _, row := range r.Changes[1] {
		slot, ok := ownership.ParseSlot(row.Key.Key)
		if !ok || row.Deleted {
			continue
		}
		owner, err := ownership.DecodeOwner(row)
		if err != nil {
			return nil, err
		}
		owners[slot] = names[owner.Member]
	}
	return owners, nil
}

// epochsCommand checks that no slot changed its owner more often than expected, that is,
// that the highest epoch is at most N: epochs N
func epochsCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: epochs N")
	}
	limit, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	ctx, cancel := requestContext()
	defer cancel()
	r, err := f.store.Read(ctx, platform.Read{Since: []platform.Since{{Table: ownership.Table, Limit: 2 * ownership.SlotCount}}})
	if err != nil {
		return err
	}
	over, highest := 0, uint64(0)
	for _, row := range r.Changes[0] {
		owner, err := ownership.DecodeOwner(row)
		if err != nil {
			return err
		}
		if owner.Epoch > limit {
			over++
		}
		highest = max(highest, owner.Epoch)
	}
	if over > 0 {
		return fmt.Errorf("%d slots have an epoch above %d, the highest is %d", over, limit, highest)
	}
	return nil
}

// ownerCommand waits until the slots are balanced, that is, until no VM owns more than its
// share. It then sets the variable owner to the number of the VM that owns the program's
// slot, and other and third to the numbers of two other VMs.
//
//	owner CUSTOMER PROGRAM
func ownerCommand(f *fleet, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: owner CUSTOMER PROGRAM")
	}
	owner := ""
	err := waitFor("the slots are balanced", func(ctx context.Context) bool {
		owners, err := f.owners(ctx)
		if err != nil || len(owners) < ownership.SlotCount {
			return false
		}
		counts := map[string]int{}
		for _, vm := range owners {
			counts[vm]++
		}
		for _, n := range counts {
			if n > (ownership.SlotCount+len(counts)-1)/len(counts) {
				return false
			}
		}
		owner = owners[ownership.ProgramSlot(args[0], args[1])]
		return owner != "" && counts[""] == 0
	})
	if err != nil {
		return err
	}
	names := []string{"other", "third"}
	for i, v := range f.vms {
		switch {
		case v.ID == owner:
			ts.Setenv("owner", strconv.Itoa(i+1))
		case len(names) > 0:
			ts.Setenv(names[0], strconv.Itoa(i+1))
			names = names[1:]
		}
	}
	fmt.Fprintf(ts.Stdout(), "%s\n", owner)
	return nil
}
