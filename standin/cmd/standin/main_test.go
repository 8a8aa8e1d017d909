package main

import (
	"bufio"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStopEndsRunningStream guards against a stand-in that cuts a streamed answer when
// it is stopped. Other tests would report the cut as a fault of the system.
func TestStopEndsRunningStream(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "standin")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	cmd := exec.Command(binary, "engine", "--step-time", "20ms")
	stdout, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // no effect after Wait
	line, err := bufio.NewReader(stdout).ReadString('\n')
	require.NoError(t, err)
	address := strings.TrimSpace(strings.TrimPrefix(line, "listening "))

	body := `{"stream":true,"messages":[{"role":"user","content":"hello"}]}`
	response, err := http.Post("http://"+address+"/v1/chat/completions", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer response.Body.Close()
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(text), "data: [DONE]\n\n"), "%s", text)
	require.NoError(t, cmd.Wait())
}
