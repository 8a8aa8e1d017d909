package tlsconfig

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLoadMutualNamesTheFile guards against an error that does not name the file that
// cannot be used.
func TestLoadMutualNamesTheFile(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing.cert")
	_, _, err := LoadMutual(Files{Cert: missing, Key: missing, CA: missing})
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, missing, e.File)
}
