package platformhttp

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/standin/internal/process/loop"
	"hornbeamvale.example/hornbeamvale/standin/internal/process/platform"
)

// TestOneOfConcurrentTransactionsCommits guards against two VMs that both claim a slot
// with a conditional write and both see it committed.
func TestOneOfConcurrentTransactionsCommits(t *testing.T) {
	stateLoop := loop.New(platform.NewState())
	go stateLoop.Run(t.Context())
	server := httptest.NewServer(New(stateLoop))
	defer server.Close()
	const claim = `{"conditions":[{"table":"slots","key":"1","revision":0}],"writes":[{"table":"slots","key":"1","value":"eA=="}]}`
	var committed atomic.Int32
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			response, err := http.Post(server.URL+"/v1/tx", "application/json", strings.NewReader(claim))
			if err != nil {
				t.Error(err)
				return
			}
			defer response.Body.Close()
			var result platform.TxResult
			if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
				t.Error(err)
			}
			if result.Committed {
				committed.Add(1)
			}
		})
	}
	group.Wait()
	require.EqualValues(t, 1, committed.Load())

	response, err := http.Post(server.URL+"/_faults", "application/json", strings.NewReader(`{"outtage":true}`))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusBadRequest, response.StatusCode, "a misspelt fault must be rejected")
}

// TestListTagFollowsTheList guards against an entity tag that does not change with the
// list of VMs, so that a client keeps an old list.
func TestListTagFollowsTheList(t *testing.T) {
	stateLoop := loop.New(platform.NewState())
	go stateLoop.Run(t.Context())
	server := httptest.NewServer(New(stateLoop))
	defer server.Close()
	call := func(method, body, known string) (status int, tag string) {
		request, err := http.NewRequest(method, server.URL+"/v1/vms", strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("If-None-Match", known)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer response.Body.Close()
		return response.StatusCode, response.Header.Get("ETag")
	}
	_, empty := call(http.MethodGet, "", "")
	require.NotEmpty(t, empty)
	status, _ := call(http.MethodGet, "", empty)
	require.Equal(t, http.StatusNotModified, status)
	_, _ = call(http.MethodPut, `[{"id":"a","state":"live"}]`, "")
	status, live := call(http.MethodGet, "", empty)
	require.Equal(t, http.StatusOK, status)
	_, _ = call(http.MethodPut, `[{"id":"a","state":"leaving"}]`, "")
	status, leaving := call(http.MethodGet, "", live)
	require.Equal(t, http.StatusOK, status)
	require.NotEqual(t, live, leaving)
}
