package configuration

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/operator"
)

// Table is the platform table of the head row.
const Table = "config"

// SubmissionsTable is the platform table of accepted submissions by their id.
const SubmissionsTable = "submissions"

// keptSubmissions is the number of versions after which the id of a submission is
// forgotten. At 49,000 versions a day it is half an hour.
const keptSubmissions = 1024

const (
	// deltaPrefix starts the keys of delta rows.
	deltaPrefix = "delta/"
	// deltasKept is the number of delta rows kept. A VM that missed more of them
	// reads the whole document.
	deltasKept = 256
	// maxDelta bounds a delta row, in bytes; a larger change is read as a whole
	// document.
	maxDelta = 64 << 10
)

// HeadKey is the key of the row that names the newest version.
var HeadKey = platform.Key{Table: Table, Key: "head"}

// maxAttempts bounds the repeats of a submission whose effect is not known.
const maxAttempts = 5

// Head is the head row.
type Head struct {
	Version uint64 `msgpack:"v"`
	Object  string `msgpack:"o"`
	// Submission identifies who wrote it, which settles a lost answer.
	Submission string `msgpack:"s"`
	// Revision is the row's platform revision.
	Revision uint64 `msgpack:"-"`
}

// Loaded is a version with the document that it was compiled from.
type Loaded struct {
	Head     Head
	Document *operator.Document
	Version  *version.Version
	// Superseded says that a newer version was in force when a repeated submission
	// was answered.
	Superseded bool
}

// ErrorKind tells why a submission was not accepted.
type ErrorKind string

// The kinds of errors.
const (
	// Conflict: another version was accepted since the base.
	Conflict ErrorKind = "conflict"
	// Invalid: the document has faults.
	Invalid ErrorKind = "invalid"
	// Unavailable: the platform did not answer; nothing was accepted.
	Unavailable ErrorKind = "unavailable"
	// Unknown: it is not known whether the submission was accepted.
	Unknown ErrorKind = "unknown"
)

var errNoHead = errors.New("the table service gave no answer for the head row")

// Error is this package's error.
type Error struct {
	Kind ErrorKind
	// Current is the version in force, with Conflict.
	Current uint64
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	switch {
	case e.Kind == Conflict:
		return fmt.Sprintf("configuration conflict: version %d is in force", e.Current)
	case e.Err != nil:
		return "configuration " + string(e.Kind) + ": " + e.Err.Error()
	default:
		return "configuration " + string(e.Kind)
	}
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// DecodeHead reads the head row; an absent row is version 0.
func DecodeHead(row platform.Row) (Head, error) {
	if row.Revision == 0 {
		return Head{}, nil
	}
	var h Head
	if err := msgpack.Unmarshal(row.Value, &h); err != nil {
		return Head{}, fmt.Errorf("configuration head: %w", err)
	}
	h.Revision = row.Revision
	return h, nil
}

// ReadHead reads the head row.
func ReadHead(ctx context.Context, c platform.Client) (Head, error) {
	r, err := c.Read(ctx, platform.Read{Gets: []platform.Key{HeadKey}})
	if err != nil {
		return Head{}, &Error{Kind: Unavailable, Err: err}
	}
	if len(r.Rows) != 1 {
		return Head{}, &Error{Kind: Unavailable, Err: errNoHead}
	}
	return DecodeHead(r.Rows[0])
}

// Load reads and compiles the version that a head row names.
func Load(ctx context.Context, c platform.Client, h Head) (Loaded, error) {
	if h.Version == 0 {
		return Loaded{Head: h, Document: &operator.Document{}, Version: version.Empty()}, nil
	}
	body, err := c.GetObject(ctx, h.Object)
	if err != nil {
		return Loaded{}, &Error{Kind: Unavailable, Err: err}
	}
	var doc operator.Document
	if err := json.Unmarshal(body, &doc); err != nil {
		return Loaded{}, &Error{Kind: Invalid, Err: err}
	}
	v, err := version.Compile(&doc, h.Version)
	if err != nil {
		return Loaded{}, &Error{Kind: Invalid, Err: err}
	}
	return Loaded{Head: h, Document: &doc, Version: v}, nil
}

// DeltaSince asks for the delta rows that were written after a revision.
func DeltaSince(revision uint64) platform.Since {
	return platform.Since{Table: Table, Prefix: deltaPrefix, Revision: revision}
}

func deltaKey(number uint64) platform.Key {
	return platform.Key{Table: Table, Key: fmt.Sprintf("%s%016x", deltaPrefix, number)}
}

// LoadFrom returns the version that a head row names, by applying the delta rows to
// a known version, or by reading the whole document if a delta is missing.
func LoadFrom(ctx context.Context, c platform.Client, known Loaded, h Head, rows []platform.Row) (Loaded, error) {
	if known.Document == nil || known.Version.Number == 0 {
		return Load(ctx, c, h)
	}
	byKey := make(map[platform.Key][]byte, len(rows))
	for _, row := range rows {
		if !row.Deleted {
			byKey[row.Key] = row.Value
		}
	}
	doc := known.Document
	for number := known.Version.Number + 1; number <= h.Version; number++ {
		var d version.Delta
		value, ok := byKey[deltaKey(number)]
		if !ok || json.Unmarshal(value, &d) != nil {
			return Load(ctx, c, h)
		}
		doc = d.Apply(doc)
	}
	v, err := version.Compile(doc, h.Version)
	if err != nil {
		return Load(ctx, c, h)
	}
	return Loaded{Head: h, Document: doc, Version: v}, nil
}

// Submit makes a document the version after base. submission must be unique. A
// repeat with the same id gets the version that was accepted, also when others
// have been accepted since, for the last keptSubmissions versions.
func Submit(ctx context.Context, c platform.Client, base uint64, doc *operator.Document, submission string) (Loaded, error) {
	number := base + 1
	v, err := version.Compile(doc, number)
	if err != nil {
		return Loaded{}, &Error{Kind: Invalid, Err: err}
	}
	body, err := json.Marshal(doc)
	if err != nil {
		return Loaded{}, &Error{Kind: Invalid, Err: err}
	}
	// The sum keeps a repeat with another document from finding the first one's object.
	sum := sha256.Sum256(body)
	object := fmt.Sprintf("config/%d-%s-%x", number, submission, sum[:8])
	if err := putOnce(ctx, c, object, body); err != nil {
		return Loaded{}, &Error{Kind: Unavailable, Err: err}
	}
	head := Head{Version: number, Object: object, Submission: submission}
	sent := false
	var last error
	for range maxAttempts {
		known, err := readState(ctx, c, number, submission)
		switch {
		case err != nil:
			last = err
			continue
		case known.accepted.Version > 0:
			loaded, err := Load(ctx, c, known.accepted)
			loaded.Superseded = known.accepted.Version < known.head.Version
			return loaded, err
		case known.head.Version != base:
			return Loaded{}, &Error{Kind: Conflict, Current: known.head.Version}
		}
		sent = true
		tx := acceptTx(head, known)
		tx.Writes = append(tx.Writes, deltaWrites(ctx, c, known.head, head.Version, doc)...)
		result, err := c.Commit(ctx, tx)
		if err == nil && result.Committed {
			head.Revision = result.Revision
			return Loaded{Head: head, Document: doc, Version: v}, nil
		}
		last = err
	}
	if !sent {
		return Loaded{}, &Error{Kind: Unavailable, Err: last}
	}
	return Loaded{}, &Error{Kind: Unknown, Err: last}
}

// Find returns the version that a submission became; its number is 0 if there is none.
func Find(ctx context.Context, c platform.Client, submission string) (Head, error) {
	known, err := readState(ctx, c, 0, submission)
	if err != nil {
		return Head{}, &Error{Kind: Unavailable, Err: err}
	}
	return known.accepted, nil
}

// state is what the platform knows before an attempt.
type state struct {
	head Head
	// accepted is the version that the submission became, if it did.
	accepted Head
	// expired is the version whose submission is forgotten with this one.
	expired Head
}

func submissionKey(id string) platform.Key { return platform.Key{Table: SubmissionsTable, Key: id} }

// versionKey names the row that holds the submission of a version.
func versionKey(number uint64) platform.Key {
	return platform.Key{Table: Table, Key: strconv.FormatUint(number, 10)}
}

func readState(ctx context.Context, c platform.Client, number uint64, submission string) (state, error) {
	gets := []platform.Key{HeadKey, submissionKey(submission)}
	if number > keptSubmissions {
		gets = append(gets, versionKey(number-keptSubmissions))
	}
	r, err := c.Read(ctx, platform.Read{Gets: gets})
	if err != nil {
		return state{}, err
	}
	if len(r.Rows) != len(gets) {
		return state{}, errNoHead
	}
	var known state
	for i, to := range []*Head{&known.head, &known.accepted, &known.expired}[:len(gets)] {
		if *to, err = DecodeHead(r.Rows[i]); err != nil {
			return state{}, err
		}
	}
	return known, nil
}

// acceptTx writes the head with the rows that answer a repeat of the submission.
func acceptTx(head Head, known state) platform.Tx {
	value, _ := msgpack.Marshal(head) // a plain struct cannot fail
	tx := platform.Tx{
		Conditions: []platform.Condition{
			{Key: HeadKey, Revision: known.head.Revision}, {Key: submissionKey(head.Submission)},
		},
		Writes: []platform.Write{
			{Key: HeadKey, Value: value},
			{Key: submissionKey(head.Submission), Value: value},
			{Key: versionKey(head.Version), Value: value},
		},
	}
	if known.expired.Version > 0 {
		tx.Writes = append(tx.Writes,
			platform.Write{Key: submissionKey(known.expired.Submission), Delete: true},
			platform.Write{Key: versionKey(known.expired.Version), Delete: true})
	}
	return tx
}

// deltaWrites returns the row of the delta from the version in force and the removal
// of the one that is too old. Without the row, VMs read the whole document.
func deltaWrites(ctx context.Context, c platform.Client, from Head, number uint64, to *operator.Document) []platform.Write {
	var writes []platform.Write
	if number > deltasKept {
		writes = append(writes, platform.Write{Key: deltaKey(number - deltasKept), Delete: true})
	}
	base, err := Load(ctx, c, from)
	if err != nil {
		return writes
	}
	delta, err := json.Marshal(version.Diff(base.Document, to))
	if err != nil || len(delta) > maxDelta {
		return writes
	}
	return append(writes, platform.Write{Key: deltaKey(number), Value: delta})
}

func putOnce(ctx context.Context, c platform.Client, key string, body []byte) error {
	err := c.PutObject(ctx, key, body)
	if platform.KindOf(err) == platform.Exists {
		return nil
	}
	return err
}
