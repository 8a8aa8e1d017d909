package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const reference = "../../../hornbeamvaled.ini"

// TestReferenceFile guards against a reference file that the daemon refuses or
// whose values differ from the defaults.
func TestReferenceFile(t *testing.T) {
	s, err := Load(reference)
	require.NoError(t, err)
	assert.Equal(t, "entry-01", s.VM.ID)
	assert.Equal(t, "127.0.0.1:7443", s.Caller.Listen.String())

	// Without the sections from [lease] on, the defaults apply.
	data, err := os.ReadFile(reference)
	require.NoError(t, err)
	head, _, found := strings.Cut(string(data), "\n[lease]")
	require.True(t, found)
	defaults, err := Parse(reference, []byte(head))
	require.NoError(t, err)
	assert.Equal(t, s, defaults)
	assert.Equal(t, 10*time.Second, s.Lease.TTL)
	assert.Equal(t, 500*time.Millisecond, s.Turns.RateWait)
}

// TestFaultsAreReportedAtOnce guards against a check that stops at the first
// fault, and against values that are accepted unchecked.
func TestFaultsAreReportedAtOnce(t *testing.T) {
	data, err := os.ReadFile(reference)
	require.NoError(t, err)
	text := string(data)
	for _, change := range [][2]string{
		{"id = entry-01", "id = a/b"},
		{"region = jm-north", ""},
		{"listen = 127.0.0.1:7443", "listen = localhost:7443"},
		{"advertise = 127.0.0.1:7444", "advertise = 0.0.0.0:7444"},
		{"ttl = 10s", "ttl = 61s"},
		{"bound = 3s", "bound = 5s"},
		{"interval = 1s", "interval = 1s\ninterval = 2s"},
		{"writes_per_second = 300", "writes_per_second = many"},
		{"verbosity = 0", "verbosity = 0\ncolour = red"},
	} {
		require.Contains(t, text, change[0])
		text = strings.Replace(text, change[0], change[1], 1)
	}
	text = "stray = 1\n" + text + "\n[extra]\na = b\n"
	_, err = Parse("x.ini", []byte(text))
	var e *Error
	require.ErrorAs(t, err, &e)
	var got []string
	for _, f := range e.Faults {
		assert.Equal(t, "x.ini", f.File)
		got = append(got, f.Section+"."+f.Key)
	}
	assert.ElementsMatch(t, []string{
		"vm.id", "vm.region", "caller.listen", "peer.advertise", "lease.ttl", "freshness.bound",
		"poll.interval", "journal.writes_per_second", "log.colour", "extra.", ".stray",
	}, got)
}

// TestPlaintextIsExplicit guards against a port that falls back to plain TCP
// when its TLS files are left out.
func TestPlaintextIsExplicit(t *testing.T) {
	data, err := os.ReadFile(reference)
	require.NoError(t, err)
	_, err = Parse("x.ini", []byte(strings.ReplaceAll(string(data), "plaintext = true", "")))
	var e *Error
	require.ErrorAs(t, err, &e)
	seen := map[string]bool{}
	for _, f := range e.Faults {
		seen[f.Section+"."+f.Key] = true
	}
	for _, want := range []string{"caller.tls_cert", "caller.tls_key", "peer.tls_cert", "peer.tls_ca", "operator.tls_key", "platform.url"} {
		assert.True(t, seen[want], want)
	}
}

// TestMissingFiles guards against a missing TLS file that shows only at the first
// connection.
func TestMissingFiles(t *testing.T) {
	data, err := os.ReadFile(reference)
	require.NoError(t, err)
	text := strings.Replace(string(data), "plaintext = true", "tls_cert = cert.pem\ntls_key = key.pem", 1)
	path := filepath.Join(t.TempDir(), "x.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	_, err = Load(path)
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Len(t, e.Faults, 2)
	assert.Contains(t, e.Error(), filepath.Join(filepath.Dir(path), "key.pem"))
}

// FuzzParse guards against a panic, and against settings that are returned
// without an error but break a bound.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile(reference)
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte("[vm]\nid = %(id)s\n-=1\n"))
	f.Add([]byte("[vm]\nid = \"\"\"a\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.ini", data)
		if err != nil {
			var e *Error
			require.ErrorAs(t, err, &e)
			require.NotEmpty(t, e.Faults)
			return
		}
		require.NotEmpty(t, s.VM.ID)
		require.True(t, s.Peer.Advertise.IsValid())
		require.Less(t, s.Poll.Interval, s.Freshness.Bound)
		require.True(t, s.Operator.HasKey || s.Operator.CAFile != "")
	})
}

// TestSeatOutlivesLease guards against a seat that expires between two renewals of the
// lease. The VM would then refuse all requests although the platform answers.
func TestSeatOutlivesLease(t *testing.T) {
	data, err := os.ReadFile(reference)
	require.NoError(t, err)
	text := string(data)
	require.Contains(t, text, "seat_ttl = 3m")
	_, err = Parse("x.ini", []byte(strings.Replace(text, "seat_ttl = 3m", "seat_ttl = 9s", 1)))
	require.ErrorContains(t, err, "seat_ttl")
	_, err = Parse("x.ini", []byte(strings.Replace(text, "seat_ttl = 3m", "seat_ttl = 10s", 1)))
	require.NoError(t, err)
}
