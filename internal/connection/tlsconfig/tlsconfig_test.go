package tlsconfig

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLoadNamesTheFile guards against an error that does not name the file that cannot be
// used.
func TestLoadNamesTheFile(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing.cert")
	_, _, err := Load(Files{Cert: missing, Key: missing, CA: missing})
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, missing, e.File)
}
