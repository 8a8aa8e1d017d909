package internal_test

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const modulePath = "hornbeamvale.example/hornbeamvale"

// lifeSpans lists the folders of the life spans from the shortest to the longest. A
// package may import only packages of its own life span and of longer ones.
var lifeSpans = []string{"request", "connection", "process", "version"}

// TestImportsFollowLifeSpans guards against a package that imports a package of a
// shorter life span. It could hold state for longer than that state is meant to live.
func TestImportsFollowLifeSpans(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}}{{range .Imports}} {{.}}{{end}}`, "./...").Output()
	require.NoError(t, err)
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	require.NotEmpty(t, lines)
	for _, line := range lines {
		fields := strings.Fields(line)
		from, ok := lifeSpanOf(fields[0])
		if !ok {
			continue
		}
		for _, path := range fields[1:] {
			to, ok := lifeSpanOf(path)
			require.False(t, ok && to < from, "%s imports %s, which has a shorter life span", fields[0], path)
		}
	}
}

// TestEveryInternalPackageHasALifeSpan guards against a package outside the folders of
// the life spans.
func TestEveryInternalPackageHasALifeSpan(t *testing.T) {
	out, err := exec.Command("go", "list", "./...").Output()
	require.NoError(t, err)
	for _, path := range strings.Fields(string(out)) {
		if path == modulePath+"/internal" {
			continue
		}
		_, ok := lifeSpanOf(path)
		require.True(t, ok, "%s is in no folder of a life span", path)
	}
}

// lifeSpanOf returns the index in lifeSpans of the folder that a package is in.
func lifeSpanOf(path string) (int, bool) {
	rest, ok := strings.CutPrefix(path, modulePath+"/internal/")
	if !ok {
		return 0, false
	}
	first, _, _ := strings.Cut(rest, "/")
	for i, span := range lifeSpans {
		if span == first {
			return i, true
		}
	}
	return 0, false
}

// TestAgesCountSuspendedTime guards against code that decides by the runtime's clock,
// which stands still while the VM is suspended: a lease, a rate share or a confirmed
// configuration would seem valid after it has expired.
func TestAgesCountSuspendedTime(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{$dir := .Dir}}{{range .GoFiles}}{{$dir}}/{{.}}{{"\n"}}{{end}}`, "./process/...", "./request/...", "../cmd/hornbeamvaled", "../platform/request").Output()
	require.NoError(t, err)
	files := strings.Fields(string(out))
	require.NotEmpty(t, files)
	for _, file := range files {
		if strings.Contains(file, "/process/clock/") || strings.Contains(file, "/platformtest/") {
			continue
		}
		source, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, call := range []string{"time.Now", "time.Since(", "time.Until(", "context.WithDeadline("} {
			require.NotContains(t, string(source), call, "%s uses %s instead of the clock package", file, call)
		}
	}
}
