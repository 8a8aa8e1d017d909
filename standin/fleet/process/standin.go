package process

import (
	"bufio"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"strings"
)

// StandIn is the process of a stand-in.
type StandIn struct {
	*Process
	Address string
}

// StartStandIn runs the binary standin of the directory bin with args and waits until it
// listens. Its standard error goes to log.
func StartStandIn(bin string, log io.Writer, args ...string) (*StandIn, error) {
	cmd := exec.Command(filepath.Join(bin, "standin"), args...)
	cmd.Stderr = log
	reader, writer := io.Pipe()
	cmd.Stdout = writer
	p, err := launch(cmd)
	if err != nil {
		return nil, err
	}
	go func() {
		<-p.Ended()
		_ = writer.Close()
	}()
	lines := bufio.NewReader(reader)
	line, err := lines.ReadString('\n')
	if err != nil {
		return nil, fmt.Errorf("standin %s: %w", args[0], err)
	}
	go func() { _, _ = io.Copy(io.Discard, lines) }()
	return &StandIn{Process: p, Address: strings.TrimPrefix(strings.TrimSpace(line), "listening ")}, nil
}
