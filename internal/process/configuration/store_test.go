package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/configuration"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/platform/platformtest"
	"hornbeamvale.example/hornbeamvale/operator"
)

var errInjected = errors.New("injected")

// client is a platform client that loses answers, fails calls and delays commits with
// fixed probabilities.
type client struct {
	*platformtest.Fake
	mu          sync.Mutex
	rng         *rand.Rand
	delayed     []platform.Tx
	afterCommit func() // called once, after the first commit that is applied
	// loss is the probability that the answer of a commit is lost, delay that a commit
	// is delayed, failure that a read fails.
	loss, delay, failure float64
}

func (c *client) draw() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

func (c *client) Read(ctx context.Context, r platform.Read) (platform.ReadResult, error) {
	if c.draw() < c.failure {
		return platform.ReadResult{}, &platform.Error{Kind: platform.NotApplied, Op: "read", Err: errInjected}
	}
	return c.Fake.Read(ctx, r)
}

func (c *client) Commit(ctx context.Context, tx platform.Tx) (platform.TxResult, error) {
	unknown := &platform.Error{Kind: platform.OutcomeUnknown, Op: "commit", Err: errInjected}
	if c.draw() < c.delay {
		c.mu.Lock()
		c.delayed = append(c.delayed, tx)
		c.mu.Unlock()
		return platform.TxResult{}, unknown
	}
	result, err := c.Fake.Commit(ctx, tx)
	if c.afterCommit != nil {
		afterCommit := c.afterCommit
		c.afterCommit = nil
		afterCommit()
	}
	if c.draw() < c.loss {
		return platform.TxResult{}, unknown
	}
	return result, err
}

// applyDelayed applies the commits that were delayed.
func (c *client) applyDelayed() {
	c.mu.Lock()
	delayed := c.delayed
	c.delayed = nil
	c.mu.Unlock()
	for _, tx := range delayed {
		_, _ = c.Fake.Commit(context.Background(), tx)
	}
}

func newClient(fake *platformtest.Fake, seed int64) *client {
	return &client{Fake: fake, rng: rand.New(rand.NewSource(seed))}
}

// document returns a valid document whose customer is named after the submission.
func document(id string) *operator.Document {
	return &operator.Document{
		Fleet:     operator.Fleet{Seats: 10},
		Customers: []operator.Customer{{Name: "c-" + id, Rate: 1, Burst: 1}},
	}
}

func requireKind(t *testing.T, err error, kind configuration.ErrorKind) {
	var ce *configuration.Error
	require.ErrorAs(t, err, &ce)
	require.Equal(t, kind, ce.Kind)
}

// TestConcurrentSubmissions guards against version numbers that decrease or are assigned
// twice when operators submit at the same time and answers are lost or late. Each base
// has one successor, and each submitter's version contains that submitter's document.
func TestConcurrentSubmissions(t *testing.T) {
	const submitters, rounds = 8, 40
	fake := platformtest.New()
	var mu sync.Mutex
	accepted := map[uint64]string{}
	var wg sync.WaitGroup
	for s := range submitters {
		wg.Go(func() {
			c := newClient(fake, int64(s))
			c.loss, c.delay, c.failure = 0.2, 0.2, 0.1
			for round := range rounds {
				id := fmt.Sprintf("s%d-%d", s, round)
				head, err := configuration.ReadHead(context.Background(), fake)
				if err != nil {
					continue
				}
				for range 10 {
					loaded, err := configuration.Submit(context.Background(), c, head.Version, document(id), id)
					c.applyDelayed()
					var ce *configuration.Error
					if errors.As(err, &ce) && ce.Kind == configuration.OutcomeUnknown {
						continue // repeat with the same id
					}
					if err == nil {
						mu.Lock()
						accepted[loaded.Version.Number] += id
						mu.Unlock()
					}
					break
				}
			}
		})
	}
	wg.Wait()
	head, err := configuration.ReadHead(context.Background(), fake)
	require.NoError(t, err)
	require.NotZero(t, head.Version)
	require.NotEmpty(t, accepted)
	for number, id := range accepted {
		require.LessOrEqual(t, number, head.Version)
		repeat, err := configuration.Submit(context.Background(), fake, number-1, document(id), id)
		require.NoError(t, err, "the repeat of an accepted submission was refused")
		require.Equal(t, number, repeat.Version.Number)
		_, ok := repeat.Version.Customer("c-" + id)
		require.True(t, ok, "version %d holds another document than that of %s", number, id)
	}
}

// TestRepeatAfterALaterVersion guards against a conflict that is reported for an accepted
// change: its answer is lost, and another version is accepted before the repeat.
func TestRepeatAfterALaterVersion(t *testing.T) {
	fake := platformtest.New()
	c := newClient(fake, 1)
	c.loss = 1
	c.afterCommit = func() {
		_, err := configuration.Submit(context.Background(), fake, 1, document("b"), "b")
		require.NoError(t, err)
	}
	loaded, err := configuration.Submit(context.Background(), c, 0, document("a"), "a")
	require.NoError(t, err)
	require.Equal(t, uint64(1), loaded.Version.Number)
	require.Equal(t, uint64(1), loaded.Head.Version)
	require.True(t, loaded.Superseded)
	found, err := configuration.FindSubmission(context.Background(), fake, "b")
	require.NoError(t, err)
	require.Equal(t, uint64(2), found.Version)
	_, err = configuration.Submit(context.Background(), fake, 1, document("c"), "c")
	requireKind(t, err, configuration.Conflict)
}

// TestRepeatWithAnotherBase guards against a version number that does not belong to the
// document: a repeat with another base or another document returns what was accepted.
func TestRepeatWithAnotherBase(t *testing.T) {
	fake := platformtest.New()
	_, err := configuration.Submit(context.Background(), fake, 0, document("a"), "a")
	require.NoError(t, err)
	again, err := configuration.Submit(context.Background(), fake, 1, document("other"), "a")
	require.NoError(t, err)
	require.Equal(t, uint64(1), again.Version.Number)
	_, ok := again.Version.Customer("c-a")
	require.True(t, ok)
	head, err := configuration.ReadHead(context.Background(), fake)
	require.NoError(t, err)
	require.Equal(t, uint64(1), head.Version)
}

// TestRepeatWithAnotherDocumentAfterAFailure guards against a repeat that uses the object
// of the first attempt, which holds another document, after the first attempt failed
// before its commit.
func TestRepeatWithAnotherDocumentAfterAFailure(t *testing.T) {
	fake := platformtest.New()
	c := newClient(fake, 1)
	c.failure = 1
	_, err := configuration.Submit(context.Background(), c, 0, document("a"), "id")
	requireKind(t, err, configuration.Unavailable)
	loaded, err := configuration.Submit(context.Background(), fake, 0, document("b"), "id")
	require.NoError(t, err)
	stored, err := configuration.Load(context.Background(), fake, loaded.Head)
	require.NoError(t, err)
	_, ok := stored.Version.Customer("c-b")
	require.True(t, ok, "the version in force is not the document that was accepted")
}

// TestOldSubmissionsAreDeleted guards against submission rows that accumulate without
// bound.
func TestOldSubmissionsAreDeleted(t *testing.T) {
	const versions = 1100
	fake := platformtest.New()
	for n := range uint64(versions) {
		id := fmt.Sprint("s", n)
		_, err := configuration.Submit(context.Background(), fake, n, document(id), id)
		require.NoError(t, err)
	}
	r, err := fake.Read(context.Background(), platform.Read{Since: []platform.Since{{Table: configuration.SubmissionsTable, Limit: 2 * versions}}})
	require.NoError(t, err)
	kept := 0
	for _, row := range r.Changes[0] {
		if !row.Deleted {
			kept++
		}
	}
	require.Equal(t, 1024, kept)
	_, err = configuration.Submit(context.Background(), fake, 0, document("s0"), "s0")
	requireKind(t, err, configuration.Conflict)
}

// TestRefusedSubmissions guards against a document with faults that comes into force, and
// against an outage that is reported as a conflict.
func TestRefusedSubmissions(t *testing.T) {
	fake := platformtest.New()
	_, err := configuration.Submit(context.Background(), fake, 0, &operator.Document{}, "a")
	requireKind(t, err, configuration.Invalid)
	fake.SetOutage(true)
	_, err = configuration.Submit(context.Background(), fake, 0, document("a"), "a")
	requireKind(t, err, configuration.Unavailable)
	fake.SetOutage(false)
	_, err = configuration.Submit(context.Background(), fake, 3, document("a"), "a")
	requireKind(t, err, configuration.Conflict)
}
