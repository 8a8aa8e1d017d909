package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/platform/platformtest"
	"hornbeamvale.example/hornbeamvale/standin/fleet/connection"
)

const (
	stopWithin = 3 * time.Second // the time to stop in the settings
	// settleAfter is how long after the last disturbance a planned stop must cut
	// nothing; the platform's rules use the same figure.
	settleAfter = 3 * time.Second
)

const settingsFile = `node_name = %q
ip = "127.0.0.1"
zone = "a"
region = "r"
internal_ports = [%d,%d]
[listen]
frontend = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
memory_mb = 200
[bounds]
grace_s = %d
[platform]
address = %q
`

// vm is one VM: its process, which is started again after each end, and its link to
// the store.
type vm struct {
	name, binary, file string
	base               int
	link               *connection.Link
	log                *os.File

	mu      sync.Mutex
	process *os.Process
	done    chan struct{} // closed when the process has ended
	ending  time.Time     // when a planned stop began; zero if none
}

func (v *vm) address() string { return fmt.Sprintf("127.0.0.1:%d", v.base+2) }

// freePorts returns the first of four consecutive ports that are free. Each VM has a
// range of its own: the process of another VM may not listen yet.
func freePorts(t *testing.T, random *rand.Rand, i int) int {
	const firstPort, portsPerVM = 20000, 2000
	for range 1000 {
		base := firstPort + i*portsPerVM + random.IntN(portsPerVM-4)
		free := true
		for i := range 4 {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			if err != nil {
				free = false
				break
			}
			require.NoError(t, l.Close())
		}
		if free {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}

// newVM prepares a VM and starts its process.
func newVM(t *testing.T, binary, folder string, i int, store *platformtest.Store) *vm {
	link, err := connection.NewLink(store.Address().String(), "vm")
	require.NoError(t, err)
	// Ports do not depend on the seed, since other processes use some.
	random := rand.New(rand.NewPCG(uint64(os.Getpid()), uint64(i)))
	v := &vm{name: fmt.Sprintf("vm%d", i), binary: binary, base: freePorts(t, random, i), link: link}
	v.file = filepath.Join(folder, v.name+".toml")
	content := fmt.Appendf(nil, settingsFile, v.name, v.base, v.base+1, v.base+2, v.base+3, int(stopWithin.Seconds()), link.Address())
	require.NoError(t, os.WriteFile(v.file, content, 0o600))
	v.log, err = os.Create(filepath.Join(folder, v.name+".log"))
	require.NoError(t, err)
	require.NoError(t, v.start())
	t.Cleanup(func() {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		<-v.ended()
		link.Close()
		require.NoError(t, v.log.Close())
	})
	return v
}

func (v *vm) start() error {
	cmd := exec.CommandContext(context.Background(), v.binary, "--platform")
	cmd.Env = append(os.Environ(), "HORNBEAMVALE_NODE_FILE="+v.file)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.process, v.done, v.ending = cmd.Process, done, time.Time{}
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the exit status of a killed process says nothing
		close(done)
	}()
	return nil
}

func (v *vm) ended() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.done
}

// signal sends a signal to the process that this VM started.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.done:
	default:
		_ = v.process.Signal(s) // it may end meanwhile
	}
}

// stopping says whether a planned stop of the VM is under way.
func (v *vm) stopping() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.ending.IsZero()
}
