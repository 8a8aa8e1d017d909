package process

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// VM is an entry VM: its addresses, its settings file and its daemon process.
type VM struct {
	*Process
	ID                       string
	Caller, Peer, Operator   string // addresses
	bin, settings, logPrefix string
	starts                   int
}

// Settings holds the values of a settings file by section and key.
type Settings map[string]map[string]string

// Set sets a value.
func (s Settings) Set(section, key, value string) {
	if s[section] == nil {
		s[section] = map[string]string{}
	}
	s[section][key] = value
}

// String returns the settings in the format of the settings file.
func (s Settings) String() string {
	var b strings.Builder
	for _, section := range slices.Sorted(maps.Keys(s)) {
		fmt.Fprintf(&b, "[%s]\n", section)
		for _, key := range slices.Sorted(maps.Keys(s[section])) {
			fmt.Fprintf(&b, "%s = %s\n", key, s[section][key])
		}
	}
	return b.String()
}

// NewVM chooses free addresses for a VM. Its settings file and logs go to dir.
func NewVM(bin, dir, id string) (*VM, error) {
	v := &VM{ID: id, bin: bin, settings: filepath.Join(dir, id+".ini"), logPrefix: filepath.Join(dir, id)}
	for _, address := range []*string{&v.Caller, &v.Peer, &v.Operator} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return v, nil
}

// PlaintextSettings returns settings for this VM on loopback, without TLS.
func (v *VM) PlaintextSettings(dataCentre, platform, advertise, operatorKey string) Settings {
	s := Settings{}
	s.Set("vm", "id", v.ID)
	s.Set("vm", "data_centre", dataCentre)
	s.Set("vm", "region", "jm-north")
	s.Set("caller", "listen", v.Caller)
	s.Set("peer", "listen", v.Peer)
	s.Set("peer", "advertise", advertise)
	s.Set("operator", "listen", v.Operator)
	s.Set("operator", "key_sha256", digestOf(operatorKey))
	s.Set("platform", "url", "http://"+platform)
	for _, section := range []string{"caller", "peer", "operator", "platform"} {
		s.Set(section, "plaintext", "true")
	}
	s.Set("shutdown", "drain_delay", "0s")
	return s
}

// Configure writes the settings file.
func (v *VM) Configure(s Settings) error {
	return os.WriteFile(v.settings, []byte(s.String()), 0o600)
}

// Start starts the daemon. It may be called again after the daemon has ended.
func (v *VM) Start() error {
	v.starts++
	log, err := os.Create(fmt.Sprintf("%s-%d.log", v.logPrefix, v.starts))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(v.bin, "hornbeamvaled"), "--config", v.settings)
	cmd.Stderr = log
	v.Process, err = launch(cmd)
	return err
}

// Logs returns the logs of all starts, oldest first.
func (v *VM) Logs() string {
	var b strings.Builder
	for n := 1; n <= v.starts; n++ {
		text, err := os.ReadFile(fmt.Sprintf("%s-%d.log", v.logPrefix, n))
		if err == nil {
			fmt.Fprintf(&b, "--- %s, start %d\n%s", v.ID, n, text)
		}
	}
	return b.String()
}

// Ready reports whether the readiness check of the VM succeeds.
func (v *VM) Ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Operator+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

// WaitUntil polls a condition until it holds. It returns ctx.Err() if ctx ends first.
func WaitUntil(ctx context.Context, holds func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// The ports of VMs are below the kernel's range for outgoing connections. A port in that
// range could be taken by a connection before the VM starts, or between two starts.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// nextPort counts the ports tried by this process. freeAddress adds a multiple of the
// process id, so that concurrent test processes try different ports.
var nextPort atomic.Int64

// freeAddress returns a loopback address whose port is currently free. It does not return
// an address twice.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		n := nextPort.Add(1) + int64(os.Getpid())*97
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%(lastPort-firstPort))
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, lastPort-1)
}

// digestOf returns the SHA-256 digest of a key in hexadecimal.
func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
