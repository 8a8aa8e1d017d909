package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/platform/platformtest"
)

// TestBrokenStreamIsResumed guards against a caller that gets no whole answer although
// its stream may be resumed, and against events that are missing or come twice then.
func TestBrokenStreamIsResumed(t *testing.T) {
	fleet := newTestFleet(t, 1)
	fleet.model[0].SetBehaviour(platformtest.Behaviour{Events: 2, ResetConnection: true})
	fleet.model[1].SetBehaviour(platformtest.Behaviour{Events: 3})
	resumed := 0
	for range 12 {
		got := fleet.send(0, "POST", "/triage/1", []byte("x"))
		require.NoError(t, got.err)
		require.Equal(t, 200, got.status)
		for event, text := range map[int]string{1: "id: 1\n", 2: "id: 2\n", 3: "id: 3\n"} {
			require.Equal(t, 1, strings.Count(got.body, text), "event %d in %q", event, got.body)
		}
		if runs := fleet.runs(got.id); len(runs) == 2 {
			resumed++
			require.Equal(t, "2", runs[1].Header.Get("Last-Event-Id"))
			require.Equal(t, "signed-by-m0", got.header.Get("Hornbeamvale-Response-Signature"))
		}
	}
	require.Positive(t, resumed)
	// A stream that may not be resumed breaks off.
	fleet.setBehaviour(fleet.model, platformtest.Behaviour{Events: 2, ResetConnection: true})
	got := fleet.turn(0, "p", "", "one ")
	require.Error(t, got.err)
	require.Len(t, fleet.runs(got.id), 1)
}

// TestEndlessAnswersTakeBoundedMemory guards against replicas that send bytes without an
// end: the request has to end with a true run state, the connection has to be closed, and
// the process must keep within the memory of a small VM (112 MB, of which 60% are for Go).
func TestEndlessAnswersTakeBoundedMemory(t *testing.T) {
	const parallel, limit = 12, 67 << 20
	fleet := newTestFleet(t, 1)
	for _, e := range []platformtest.Endless{
		platformtest.EndlessHeaderLine, platformtest.EndlessHeaders, platformtest.EndlessChunkLine,
		platformtest.EndlessBody, platformtest.EndlessEvent, platformtest.EndlessEvents,
	} {
		fleet.setBehaviour(fleet.model, platformtest.Behaviour{Endless: e})
		fleet.setBehaviour(fleet.tools, platformtest.Behaviour{Endless: e})
		var wait sync.WaitGroup
		stop := make(chan struct{})
		peak := make(chan uint64, 1)
		go func() { peak <- peakHeap(stop) }()
		for i := range parallel {
			wait.Go(func() {
				begun := time.Now()
				var got reply
				if i%2 == 0 {
					got = fleet.send(0, "POST", "/pay/1", nil)
				} else {
					got = fleet.turn(0, "p", "", "one ")
				}
				assert.Less(t, time.Since(begun), 6*time.Second, "%s", e)
				if got.err == nil {
					assert.Contains(t, []int{502, 503, 504}, got.status, "%s", e)
					assert.False(t, got.status == 503 && len(fleet.runs(got.id)) > 0, "%s: a refusal says not run", e)
				}
			})
		}
		wait.Wait()
		close(stop)
		require.Less(t, <-peak, uint64(limit), "%s", e)
	}
}

// peakHeap returns the largest heap in use, in bytes, until stop is closed.
func peakHeap(stop <-chan struct{}) (peak uint64) {
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
		select {
		case <-stop:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestStopUnderLoadCutsNoRequest guards against requests that were accepted in the last
// moment before a planned stop and get no answer: on new connections, and on kept ones
// whose next request crosses the stop.
func TestStopUnderLoadCutsNoRequest(t *testing.T) {
	fleet := newTestFleet(t, 1)
	fleet.setBehaviour(fleet.tools, platformtest.Behaviour{Delay: 30 * time.Millisecond})
	address := fleet.vms[0].settings.CallerAddress.String()
	stopped := make(chan struct{})
	var answered, cut atomic.Int64
	var wait sync.WaitGroup
	for i := range 24 {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0, MaxIdleConnsPerHost: 1}, Timeout: waitLimit}
		wait.Go(func() {
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				req, err := http.NewRequest("POST", "http://"+address+"/pay/1", strings.NewReader("x"))
				assert.NoError(t, err)
				req.Host = "app.example"
				req.Header.Set("Hornbeamvale-Attempt-Id", fmt.Sprintf("%08x%08x", i, n))
				req.Header.Set("Hornbeamvale-Credential", "key-p")
				resp, err := client.Do(req)
				switch {
				case err == nil:
					_, err = io.Copy(io.Discard, resp.Body)
					assert.NoError(t, err)
					_ = resp.Body.Close()
					answered.Add(1)
				case errors.Is(err, syscall.ECONNREFUSED):
					return // the VM no longer accepts connections
				case errors.Is(err, syscall.ECONNRESET) && len(fleet.runs(req.Header.Get("Hornbeamvale-Attempt-Id"))) == 0:
					// The kernel resets connections that the process had not accepted yet when it
					// closed its listener. Their requests were never read.
					return
				default:
					cut.Add(1)
					t.Logf("cut: %v", err)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	fleet.vms[0].stop()
	require.NoError(t, <-fleet.vms[0].done)
	fleet.vms[0].done <- nil
	close(stopped)
	wait.Wait()
	require.Zero(t, cut.Load(), "of %d answered requests", answered.Load())
	require.Greater(t, answered.Load(), int64(100))
}

// TestSecondCopyOfARefusalPromisesNothing guards against a late second copy of a refusal
// on a kept connection, which is taken for the response to the next request: that request
// has run, so it must neither be reported as not run nor sent to another replica.
func TestSecondCopyOfARefusalPromisesNothing(t *testing.T) {
	fleet := newTestFleet(t, 1)
	fleet.setBehaviour(fleet.tools, platformtest.Behaviour{SecondCopy: true})
	for range 12 {
		got := fleet.send(0, "POST", "/pay/1", []byte("sweep"))
		require.NoError(t, got.err)
		require.Len(t, fleet.runs(got.id), 1)
		require.Contains(t, []int{200, 502}, got.status)
	}
}

// TestEarlierRefusalPromisesNothing guards against a replica that writes the refusal of an
// earlier request, with its id, once more on a kept connection: the next request has run,
// so it must neither be reported as not run nor sent to another replica.
func TestEarlierRefusalPromisesNothing(t *testing.T) {
	fleet := newTestFleet(t, 1)
	fleet.setBehaviour(fleet.tools, platformtest.Behaviour{EarlierRefusal: true})
	ran := 0
	for range 30 {
		got := fleet.send(0, "POST", "/pay/1", []byte("sweep"))
		require.NoError(t, got.err)
		runs := len(fleet.runs(got.id))
		require.LessOrEqual(t, runs, 1)
		if ran += runs; runs > 0 {
			require.Equal(t, 502, got.status)
		}
	}
	require.Positive(t, ran)
}

// TestCutHeadIsNoAnswer guards against a 200 with an empty or short body when a replica
// stopped in the middle of the head of its answer and closed the connection.
func TestCutHeadIsNoAnswer(t *testing.T) {
	fleet := newTestFleet(t, 1)
	for _, part := range []string{"X", "X-Line: 1", "Content-Length: 5", "Content-Length: 5\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", "Content-Type: text/event-stream\r\n", "\r"} {
		fleet.setBehaviour(fleet.tools, platformtest.Behaviour{CutHead: part})
		fleet.setBehaviour(fleet.model, platformtest.Behaviour{CutHead: part})
		for _, got := range []reply{
			fleet.send(0, "POST", "/pay/1", []byte("sweep")), fleet.send(0, "GET", "/read/1", nil),
			fleet.send(0, "POST", "/triage/1", []byte("x")), fleet.turn(0, "p", "", "one "),
		} {
			require.NoError(t, got.err)
			require.Contains(t, []int{502, 503}, got.status, "after %q", part)
			if len(fleet.runs(got.id)) > 0 {
				require.Equal(t, 502, got.status, "after %q", part)
			}
		}
	}
}

// TestReplicaThatSaysThatItLeavesGetsNoWork guards against requests to a replica that has
// said in an answer that it is leaving, although the store still lists it as ready, and
// after its row was written again.
func TestReplicaThatSaysThatItLeavesGetsNoWork(t *testing.T) {
	fleet := newTestFleet(t, 1)
	fleet.tools[0].SetBehaviour(platformtest.Behaviour{Leaving: true})
	before := len(fleet.tools[0].Runs())
	fleet.eventually(func() bool {
		require.Equal(t, 200, fleet.send(0, "GET", "/read/1", nil).status)
		return len(fleet.tools[0].Runs()) > before
	})
	told := len(fleet.tools[0].Runs())
	for i := range 60 {
		if i == 20 {
			fleet.store.Put("servers", "t0", fleet.tools[0].Registration("tools", "ready"))
		}
		require.Equal(t, 200, fleet.send(0, "GET", "/read/1", nil).status)
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, told, len(fleet.tools[0].Runs()))
}

// TestFailingReplicaAttractsNoLoad guards against a replica that fails every request at once
// and therefore seems idle and fast: it got most of the load.
func TestFailingReplicaAttractsNoLoad(t *testing.T) {
	const callers, requestsPerCaller = 8, 50
	fleet := newTestFleet(t, 1)
	fleet.tools[0].SetBehaviour(platformtest.Behaviour{Status: 500})
	fleet.tools[1].SetBehaviour(platformtest.Behaviour{Delay: 20 * time.Millisecond})
	var failed atomic.Int64
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			for range requestsPerCaller {
				if fleet.send(0, "POST", "/pay/1", []byte("x")).status == 500 {
					failed.Add(1)
				}
			}
		})
	}
	wait.Wait()
	require.Positive(t, failed.Load())
	require.LessOrEqual(t, failed.Load(), int64(callers*requestsPerCaller/10))
}

// TestNamedLimitOfAReplicaHoldsAcrossVMs guards against a replica that gets more requests
// from all VMs together than the limit that it names in its answers, and against requests
// that are refused although another replica takes them.
func TestNamedLimitOfAReplicaHoldsAcrossVMs(t *testing.T) {
	const (
		limit    = 3.0
		window   = 4 * time.Second
		learning = 500 * time.Millisecond // after the first answer that names the limit
		allowed  = 1.5*limit*4 + 5
	)
	fleet := newTestFleet(t, 4)
	before := len(fleet.tools[0].Runs())
	fleet.tools[0].SetBehaviour(platformtest.Behaviour{Limit: limit})
	var wait sync.WaitGroup
	begun := time.Now()
	for i := 0; time.Since(begun) < contactTime+2*window; i++ {
		wait.Go(func() {
			assert.Equal(t, 200, fleet.send(i%len(fleet.vms), "GET", "/read/1", nil).status)
		})
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	runs := fleet.tools[0].Runs()[before:]
	require.NotEmpty(t, runs)
	told := runs[0].At.Add(learning)
	for i, first := range runs {
		if first.At.Before(told) {
			continue
		}
		n := 0
		for n < len(runs)-i && runs[i+n].At.Sub(first.At) < window {
			n++
		}
		require.LessOrEqual(t, float64(n), allowed, "requests in the 4 s after %s", first.At.Sub(begun))
	}

	// With a limit at both, what they take together is served and the rest is refused.
	fleet.tools[1].SetBehaviour(platformtest.Behaviour{Limit: limit})
	fleet.eventually(func() bool { return fleet.limitedAtAll(2) })
	served, refused := new(atomic.Int64), new(atomic.Int64)
	begun = time.Now()
	for i := 0; time.Since(begun) < window; i++ {
		wait.Go(func() {
			switch got := fleet.send(i%len(fleet.vms), "GET", "/read/1", nil); got.status {
			case 200:
				served.Add(1)
			case 503:
				refused.Add(1)
				assert.NotEmpty(t, got.header.Get("Retry-After"))
			default:
				assert.Fail(t, "unexpected status", "%d", got.status)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	require.GreaterOrEqual(t, float64(served.Load()), 2*limit*window.Seconds()/2, "the limits are hardly used")
	require.LessOrEqual(t, served.Load(), int64(2*allowed))
	require.Positive(t, refused.Load())
}

var limitedReplicasMetric = regexp.MustCompile(`(?m)^hornbeamvale_replicas_limited(?:\{[^}]*\})? (\d+)$`)

// limitedAtAll sends a request through each VM and reports whether every VM knows of the
// given number of replicas with a limit.
func (fleet *testFleet) limitedAtAll(n int) bool {
	for i := range fleet.vms {
		fleet.send(i, "GET", "/read/1", nil)
		known := limitedReplicasMetric.FindStringSubmatch(fleet.metrics(i))
		if len(known) == 0 || known[1] != strconv.Itoa(n) {
			return false
		}
	}
	return true
}
