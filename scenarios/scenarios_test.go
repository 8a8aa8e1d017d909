// Package scenarios runs scripts against real, separate processes on loopback: entry VMs
// and stand-ins for the platform, the engines and a service that counts the requests
// that ran. Each script in testdata says which failure it guards against. Scripts wait
// for conditions with a long timeout, so that the result does not depend on the speed of
// the machine.
package scenarios

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// maxParallel bounds the number of scripts that run at the same time. Each has up to
// eight processes.
const maxParallel = 5

// binaries is the directory of the compiled programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hornbeamvale-scenarios")
	if err == nil {
		defer func() { _ = os.RemoveAll(dir) }()
		binaries = dir
		err = build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// sources are the source directories of the programs under test.
var sources = []string{"../cmd", "../internal", "../operator", "../standin"}

// statSources calls stat for every source file. go test reuses a cached result if the
// files that the test itself opened or statted are unchanged. It does not know which
// files the "go build" that the test runs has read.
func statSources() error {
	for _, dir := range sources {
		err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			_, err = os.Stat(path)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// build compiles the programs under test, with the race detector if the test has it.
func build(dir string) error {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if raceEnabled {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "./cmd/hornbeamvaled", "./cmd/hornbeamvalectl", "./standin/cmd/standin")...)
	cmd.Dir = ".." // the module's root; the test runs in the package's directory
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}

// TestScenarios runs each script in testdata.
func TestScenarios(t *testing.T) {
	if err := statSources(); err != nil {
		t.Fatal(err)
	}
	running := make(chan struct{}, maxParallel)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			running <- struct{}{}
			env.Defer(func() { <-running })
			f := newFleet(env.WorkDir)
			env.Values[fleetKey{}] = f
			env.Defer(func() { f.close(env.T()) })
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":       command(fleetCommand),
			"restart":     command(restartCommand),
			"sigterm":     command(sigtermCommand),
			"sigkill":     command(sigkillCommand),
			"freeze":      command(freezeCommand),
			"thaw":        command(thawCommand),
			"ready":       command(readyCommand),
			"evicted":     command(evictedCommand),
			"owner":       command(ownerCommand),
			"link":        command(linkCommand),
			"faults":      command(faultsCommand),
			"vms":         command(vmsCommand),
			"document":    command(documentCommand),
			"ctl":         command(ctlCommand),
			"version":     command(versionCommand),
			"call":        command(callCommand),
			"await":       command(awaitCommand),
			"streaming":   command(streamingCommand),
			"endrun":      command(endRunCommand),
			"settle":      command(settleCommand),
			"ran":         command(ranCommand),
			"consistent":  command(consistentCommand),
			"idle":        command(idleCommand),
			"busy":        command(busyCommand),
			"epochs":      command(epochsCommand),
			"blocks":      command(blocksCommand),
			"leaving":     command(leavingCommand),
			"running":     command(runningCommand),
			"admitted":    command(admittedCommand),
			"started":     command(startedCommand),
			"unready":     command(unreadyCommand),
			"oneaccepted": command(oneAcceptedCommand),
		},
	})
}
