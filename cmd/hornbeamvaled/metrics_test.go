package main

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/settings"
)

// TestMetricsAreDocumented guards against an exported metric that the operators' page
// does not list under its exported name.
func TestMetricsAreDocumented(t *testing.T) {
	s, err := settings.Load(filepath.Join("..", "..", "hornbeamvaled.ini"))
	require.NoError(t, err)
	d, err := newDaemon(s)
	require.NoError(t, err)
	defer d.peers.Close()
	d.counters.Served.Add(1)
	recorder := httptest.NewRecorder()
	d.operators.Handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	require.NoError(t, err)

	names := regexp.MustCompile(`(?m)^hornbeamvale_[a-z_]+`)
	exported := names.FindAllString(recorder.Body.String(), -1)
	require.Contains(t, exported, "hornbeamvale_requests_served_total")
	for _, name := range exported {
		require.Contains(t, string(page), "`"+name+"`")
	}
}
