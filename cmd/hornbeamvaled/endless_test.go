package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"hornbeamvale.example/hornbeamvale/platform/platformtest"
)

// TestManyEndlessAnswersTakeBoundedMemory guards against a process that keeps the bytes of
// many replies without an end at the same time: each one was bounded, all together were not,
// and the process ran out of memory with the requests of all other callers.
func TestManyEndlessAnswersTakeBoundedMemory(t *testing.T) {
	const (
		memoryBytes = 112 << 20
		limit       = memoryBytes * 6 / 10 // the part for Go
		parallel    = 120
	)
	fleet := newTestFleetWithMemory(t, 1, memoryBytes)
	for i, e := range []platformtest.Endless{
		platformtest.EndlessHeaderLine, platformtest.EndlessHeaders, platformtest.EndlessChunkLine,
		platformtest.EndlessBody, platformtest.EndlessEvent, platformtest.EndlessEvents,
	} {
		t.Run(string(e), func(t *testing.T) {
			fleet.replaceReplicas(fmt.Sprint("e", i))
			// All replies begin together, and none is cut before the others have grown.
			begin := make(chan struct{})
			endless := platformtest.Behaviour{Endless: e, EndlessAfter: begin, EndlessPause: 2 * time.Millisecond}
			fleet.setBehaviour(fleet.model, endless)
			fleet.tools[0].SetBehaviour(endless)
			stop, peak := make(chan struct{}), make(chan uint64, 1)
			go func() { peak <- peakHeap(stop) }()
			begun := time.Now().Unix()
			var wait sync.WaitGroup
			for i := range parallel {
				wait.Go(func() {
					fleet.sendAndDiscard([]string{"/pay/1", "/chat/1", "/triage/1"}[i%3], fmt.Sprintf("%08x%08x", begun, i))
				})
			}
			// A replica that holds its head back for longer counts as failed, and gets no more.
			reading := func() int { return len(fleet.model[0].Runs()) + len(fleet.model[1].Runs()) }
			for deadline := time.Now().Add(time.Second); reading() <= parallel/2 && time.Now().Before(deadline); {
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("%d replies of models begin together", reading())
			close(begin)
			// Requests to a sound replica go on meanwhile.
			served := 0
			for range 20 {
				if fleet.send(0, "GET", "/read/1", nil).status == http.StatusOK {
					served++
				}
				time.Sleep(20 * time.Millisecond)
			}
			wait.Wait()
			close(stop)
			assert.Less(t, <-peak, uint64(limit))
			assert.GreaterOrEqual(t, served, 18)
		})
	}
}

// replaceReplicas replaces the model replicas and the first one of the tools by new ones.
func (fleet *testFleet) replaceReplicas(prefix string) {
	for _, old := range append(slices.Clone(fleet.model), fleet.tools[0]) {
		fleet.store.Delete("servers", old.ID)
	}
	begin := func(service string, i int, b platformtest.Behaviour) *platformtest.Replica {
		r := platformtest.NewReplica(fleet.t, fmt.Sprint(prefix, "-", service, i), b)
		fleet.store.Put("servers", r.ID, r.Registration(service, "ready"))
		return r
	}
	for i := range fleet.model {
		fleet.model[i] = begin("model", i, platformtest.Behaviour{Events: 3})
	}
	fleet.tools[0] = begin("tools", 0, platformtest.Behaviour{})
	fleet.eventually(func() bool {
		fleet.send(0, "POST", "/triage/1", nil)
		return len(fleet.model[0].Runs())+len(fleet.model[1].Runs()) > 0
	})
}

// sendAndDiscard sends a request and reads what comes without keeping it.
func (fleet *testFleet) sendAndDiscard(path, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+fleet.vms[0].settings.CallerAddress.String()+path, nil)
	assert.NoError(fleet.t, err)
	req.Host = "app.example"
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": "4000", "Credential": "key-p", "Program-Id": "p" + id, "Token-Usage": "100,10000000",
	} {
		req.Header.Set("Hornbeamvale-"+name, value)
	}
	resp, err := fleet.client.Do(req)
	if err != nil {
		return // the VM has cut the answer
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // it breaks off
}
