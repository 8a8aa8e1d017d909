package control_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/configuration"
	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/operator"
)

// propagationBound is the bound in design.md for a version to be in force at every member.
const propagationBound = 4 * time.Second

// watchVersions samples the version in force at a member and reports a violation if it
// decreases.
func watchVersions(ctx context.Context, f *fleet, v *vm) {
	var highest uint64
	for ctx.Err() == nil {
		number := v.loop.Snapshot().Version.Number
		if number < highest {
			f.mu.Lock()
			f.recordViolation("%s went from version %d to %d", v.name, highest, number)
			f.mu.Unlock()
		}
		highest = max(highest, number)
		time.Sleep(5 * time.Millisecond)
	}
}

// TestVersionsOnlyGrowAtEveryMember guards against a configuration that reverts at a
// member when answers are lost or versions arrive out of order, and against a version
// that does not reach a member.
func TestVersionsOnlyGrowAtEveryMember(t *testing.T) {
	const processes, versions = 3, 40
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		ctx, cancel := context.WithCancel(context.Background())
		for range processes {
			v := f.start()
			v.link.set(false, 0.2, 0.2)
			go watchVersions(ctx, f, v)
		}
		var old []configuration.LoadedVersion
		for n := range versions {
			v := f.randomVM()
			head, err := configuration.ReadHead(ctx, f.platform)
			require.NoError(t, err)
			doc := &operator.Document{Fleet: operator.Fleet{Seats: 10}}
			loaded, err := configuration.Submit(ctx, v.link, head.Version, doc, fmt.Sprint("s", n))
			if err == nil {
				require.NoError(t, v.loop.Post(ctx, control.VersionAccepted{Loaded: loaded, ReadAt: time.Now()}))
				old = append(old, loaded)
			}
			if len(old) > 3 { // an older version arrives late
				require.NoError(t, f.randomVM().loop.Post(ctx, control.VersionAccepted{Loaded: old[len(old)-3]}))
			}
			time.Sleep(f.between(time.Millisecond, time.Second))
		}
		for _, v := range f.members() {
			v.link.set(false, 0, 0)
		}
		head, err := configuration.ReadHead(ctx, f.platform)
		require.NoError(t, err)
		require.Greater(t, head.Version, uint64(versions/2))
		time.Sleep(propagationBound)
		for _, v := range f.members() {
			require.Equal(t, head.Version, v.loop.Snapshot().Version.Number)
			require.True(t, v.loop.Snapshot().ConfigurationFresh(time.Now()))
		}
		cancel()
		time.Sleep(time.Second)
		for _, v := range f.members() {
			f.kill(v)
			<-v.done
		}
		require.Empty(t, f.violations)
	})
}
