package platform_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// TestUnchangedListIsReadOnce guards against a read of the whole list by every VM every
// two seconds, and against a stale list after a change.
func TestUnchangedListIsReadOnce(t *testing.T) {
	tag, body, fullReads := `"1"`, `[{"id":"a","state":"live"}]`, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if tag != "" {
			w.Header().Set("ETag", tag)
		}
		if r.Header.Get("If-None-Match") == tag && tag != "" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fullReads++
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	client := platform.New(server.URL, 5*time.Second, nil)
	list := func() []platform.VM {
		vms, err := client.VMs(t.Context())
		require.NoError(t, err)
		return vms
	}
	a := []platform.VM{{ID: "a", State: platform.VMLive}}
	require.Equal(t, a, list())
	require.Equal(t, a, list())
	require.Equal(t, 1, fullReads)

	tag, body = `"2"`, `[]`
	require.Empty(t, list())
	require.Equal(t, 2, fullReads)

	// Without entity tags the platform returns the whole list each time.
	tag, body = "", `[{"id":"b","state":"leaving"}]`
	for range 2 {
		require.Equal(t, []platform.VM{{ID: "b", State: platform.VMLeaving}}, list())
	}
	require.Equal(t, 4, fullReads)
}

// TestNotModifiedWithoutATagFails guards against an empty list after a "not modified"
// response to a request that named no entity tag.
func TestNotModifiedWithoutATagFails(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotModified)
	}))
	defer server.Close()
	_, err := platform.New(server.URL, 5*time.Second, nil).VMs(t.Context())
	requireKind(t, platform.NotApplied, err)
}
