// Package platformtest provides an in-memory platform.Client for unit tests.
package platformtest

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// defaultLimit is the page size, in rows, of a Since read without a limit.
const defaultLimit = 1000

var (
	errOutage     = errors.New("outage")
	errAnswerLost = errors.New("the answer was lost")
	errDuplicate  = errors.New("a transaction writes each row at most once")
	errObjectKey  = errors.New("the object key is not valid")
	errRange      = errors.New("the range is not within the object")
)

// Fake is a platform in memory. Tests call it from several goroutines, so a
// mutex guards it.
type Fake struct {
	mu            sync.Mutex
	outage        bool
	answersToLose int // number of transactions whose answers will be lost
	revision      uint64
	rows          map[string]map[platform.Key]platform.Row // by table, with tombstones
	lastRevision  map[string]uint64                        // by table
	objects       map[string][]byte
	vms           []platform.VM
}

var _ platform.Client = (*Fake)(nil)

// New returns an empty platform.
func New() *Fake {
	return &Fake{rows: map[string]map[platform.Key]platform.Row{}, lastRevision: map[string]uint64{}, objects: map[string][]byte{}}
}

// SetOutage makes every call fail without an effect until it is called with false.
func (f *Fake) SetOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = on
}

// LoseAnswers makes the next n transactions return OutcomeUnknown although they are
// applied.
func (f *Fake) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answersToLose = n
}

// SetVMs replaces the list of VMs.
func (f *Fake) SetVMs(vms []platform.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = slices.Clone(vms)
}

// begin locks the fake and returns an error during an outage or if the context has
// ended. The caller has to unlock the fake in either case.
func (f *Fake) begin(ctx context.Context, op string) error {
	f.mu.Lock()
	if err := ctx.Err(); err != nil {
		return &platform.Error{Kind: platform.NotApplied, Op: op, Err: err}
	}
	if f.outage {
		return &platform.Error{Kind: platform.NotApplied, Op: op, Err: errOutage}
	}
	return nil
}

// Commit implements platform.Client.
func (f *Fake) Commit(ctx context.Context, tx platform.Tx) (platform.TxResult, error) {
	const op = "commit"
	defer f.mu.Unlock()
	if err := f.begin(ctx, op); err != nil {
		return platform.TxResult{}, err
	}
	for i, w := range tx.Writes {
		if slices.ContainsFunc(tx.Writes[:i], func(v platform.Write) bool { return v.Key == w.Key }) {
			return platform.TxResult{}, &platform.Error{Kind: platform.NotApplied, Op: op, Err: errDuplicate}
		}
	}
	result := f.apply(tx)
	if f.answersToLose > 0 {
		f.answersToLose--
		return platform.TxResult{}, &platform.Error{Kind: platform.OutcomeUnknown, Op: op, Err: errAnswerLost}
	}
	return result, nil
}

func (f *Fake) apply(tx platform.Tx) platform.TxResult {
	var failed []int
	for i, c := range tx.Conditions {
		if f.get(c.Key).Revision != c.Revision {
			failed = append(failed, i)
		}
	}
	if len(failed) > 0 {
		return platform.TxResult{Failed: failed}
	}
	f.revision++
	for _, w := range tx.Writes {
		if f.rows[w.Table] == nil {
			f.rows[w.Table] = map[platform.Key]platform.Row{}
		}
		f.lastRevision[w.Key.Table] = f.revision
		if !w.Delete {
			f.rows[w.Table][w.Key] = platform.Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: f.revision}
		} else if f.get(w.Key).Revision != 0 {
			f.rows[w.Table][w.Key] = platform.Row{Key: w.Key, Revision: f.revision, Deleted: true}
		}
	}
	return platform.TxResult{Committed: true, Revision: f.revision}
}

func (f *Fake) get(k platform.Key) platform.Row {
	if row := f.rows[k.Table][k]; row.Revision != 0 && !row.Deleted {
		row.Value = slices.Clone(row.Value)
		return row
	}
	return platform.Row{Key: k}
}

// Read implements platform.Client.
func (f *Fake) Read(ctx context.Context, r platform.Read) (platform.ReadResult, error) {
	defer f.mu.Unlock()
	if err := f.begin(ctx, "read"); err != nil {
		return platform.ReadResult{}, err
	}
	result := platform.ReadResult{Revision: f.revision}
	for _, k := range r.Gets {
		result.Rows = append(result.Rows, f.get(k))
	}
	for _, q := range r.Since {
		rows, more := f.since(q)
		result.Changes = append(result.Changes, rows)
		result.More = append(result.More, more)
	}
	return result, nil
}

func (f *Fake) since(q platform.Since) (rows []platform.Row, more bool) {
	rows = []platform.Row{}
	if f.lastRevision[q.Table] <= q.Revision {
		return rows, false
	}
	for k, row := range f.rows[q.Table] {
		if strings.HasPrefix(k.Key, q.Prefix) && row.Revision > q.Revision {
			row.Value = slices.Clone(row.Value)
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int {
		if a.Revision != b.Revision {
			return int(int64(a.Revision) - int64(b.Revision))
		}
		return strings.Compare(a.Key.Key, b.Key.Key)
	})
	limit := q.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	// A page does not end between rows of the same revision, see docs/platform.md.
	for i := limit; i < len(rows); i++ {
		if rows[i].Revision != rows[i-1].Revision {
			return rows[:i], true
		}
	}
	return rows, false
}

// PutObject implements platform.Client.
func (f *Fake) PutObject(ctx context.Context, key string, body []byte) error {
	const op = "put object"
	defer f.mu.Unlock()
	if err := f.beginObject(ctx, op, key); err != nil {
		return err
	}
	if _, ok := f.objects[key]; ok {
		return &platform.Error{Kind: platform.Exists, Op: op}
	}
	f.objects[key] = slices.Clone(body)
	return nil
}

// GetObject implements platform.Client.
func (f *Fake) GetObject(ctx context.Context, key string) ([]byte, error) {
	const op = "get object"
	defer f.mu.Unlock()
	if err := f.beginObject(ctx, op, key); err != nil {
		return nil, err
	}
	body, ok := f.objects[key]
	if !ok {
		return nil, &platform.Error{Kind: platform.NotFound, Op: op}
	}
	return slices.Clone(body), nil
}

// GetObjectRange implements platform.Client.
func (f *Fake) GetObjectRange(ctx context.Context, key string, offset, length int64) ([]byte, error) {
	body, err := f.GetObject(ctx, key)
	if err != nil {
		return nil, err
	}
	if offset < 0 || length < 0 || offset+length > int64(len(body)) {
		return nil, &platform.Error{Kind: platform.NotApplied, Op: "get object", Err: errRange}
	}
	return body[offset : offset+length], nil
}

// DeleteObject implements platform.Client.
func (f *Fake) DeleteObject(ctx context.Context, key string) error {
	defer f.mu.Unlock()
	if err := f.beginObject(ctx, "delete object", key); err != nil {
		return err
	}
	delete(f.objects, key)
	return nil
}

func (f *Fake) beginObject(ctx context.Context, op, key string) error {
	if err := f.begin(ctx, op); err != nil {
		return err
	}
	if !platform.ValidObjectKey(key) {
		return &platform.Error{Kind: platform.NotApplied, Op: op, Err: errObjectKey}
	}
	return nil
}

// VMs implements platform.Client.
func (f *Fake) VMs(ctx context.Context) ([]platform.VM, error) {
	defer f.mu.Unlock()
	if err := f.begin(ctx, "list VMs"); err != nil {
		return nil, err
	}
	return slices.Clone(f.vms), nil
}
