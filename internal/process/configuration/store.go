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

// Table is the platform table of the head row, the delta rows and the rows that name
// the submission of each version.
const Table = "config"

// SubmissionsTable is the platform table of accepted submissions, keyed by submission id.
const SubmissionsTable = "submissions"

// keptSubmissions is the number of versions after which the rows of a submission are
// deleted. At 49,000 versions a day this is half an hour.
const keptSubmissions = 1024

const (
	// deltaPrefix is the key prefix of delta rows.
	deltaPrefix = "delta/"
	// keptDeltas is the number of delta rows kept. A VM that is further behind reads
	// the whole document.
	keptDeltas = 256
	// maxDeltaBytes bounds the value of a delta row. For a larger change no row is
	// written and VMs read the whole document.
	maxDeltaBytes = 64 << 10
)

// HeadKey is the key of the row that names the newest version.
var HeadKey = platform.Key{Table: Table, Key: "head"}

// maxAttempts bounds the attempts at a submission whose outcome is unknown.
const maxAttempts = 5

// Head is the value of the head row, which names the newest version.
type Head struct {
	Version uint64 `msgpack:"v"`
	Object  string `msgpack:"o"`
	// Submission is the id of the submission that wrote the row. It tells after a lost
	// answer whether the submission was accepted.
	Submission string `msgpack:"s"`
	// Revision is the row's platform revision.
	Revision uint64 `msgpack:"-"`
}

// LoadedVersion is a compiled version with its head row and its document.
type LoadedVersion struct {
	Head     Head
	Document *operator.Document
	Version  *version.Version
	// Superseded is set if a repeated submission was answered while a newer version was
	// in force.
	Superseded bool
}

// ErrorKind says why a version could not be loaded or a submission was not accepted.
type ErrorKind string

// The kinds of errors.
const (
	// Conflict means that another version was accepted since the base version.
	Conflict ErrorKind = "conflict"
	// Invalid means that the document has faults.
	Invalid ErrorKind = "invalid"
	// Unavailable means that the platform did not answer; nothing was accepted.
	Unavailable ErrorKind = "unavailable"
	// OutcomeUnknown means that the submission may or may not have been accepted.
	OutcomeUnknown ErrorKind = "unknown"
)

var errNoHead = errors.New("the table service gave no answer for the head row")

// Error is the error of this package's functions.
type Error struct {
	Kind ErrorKind
	// Current is the version in force; set only if Kind is Conflict.
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

// DecodeHead decodes a head row. An absent row is version 0.
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
func Load(ctx context.Context, c platform.Client, h Head) (LoadedVersion, error) {
	if h.Version == 0 {
		return LoadedVersion{Head: h, Document: &operator.Document{}, Version: version.Empty()}, nil
	}
	body, err := c.GetObject(ctx, h.Object)
	if err != nil {
		return LoadedVersion{}, &Error{Kind: Unavailable, Err: err}
	}
	var doc operator.Document
	if err := json.Unmarshal(body, &doc); err != nil {
		return LoadedVersion{}, &Error{Kind: Invalid, Err: err}
	}
	v, err := version.Compile(&doc, h.Version)
	if err != nil {
		return LoadedVersion{}, &Error{Kind: Invalid, Err: err}
	}
	return LoadedVersion{Head: h, Document: &doc, Version: v}, nil
}

// DeltasSince returns the query for the delta rows that were written after a revision.
func DeltasSince(revision uint64) platform.Since {
	return platform.Since{Table: Table, Prefix: deltaPrefix, Revision: revision}
}

func deltaKey(number uint64) platform.Key {
	return platform.Key{Table: Table, Key: fmt.Sprintf("%s%016x", deltaPrefix, number)}
}

// LoadWithDeltas returns the version that a head row names. It applies the delta rows to
// a known version, or reads the whole document if a delta is missing or not readable.
func LoadWithDeltas(ctx context.Context, c platform.Client, known LoadedVersion, h Head, rows []platform.Row) (LoadedVersion, error) {
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
	return LoadedVersion{Head: h, Document: doc, Version: v}, nil
}

// Submit makes a document the version after base. The submission id must be unique.
// A repeat with the same id returns the version that was accepted, even if others
// have been accepted since, as long as it is among the last keptSubmissions versions.
func Submit(ctx context.Context, c platform.Client, base uint64, doc *operator.Document, submission string) (LoadedVersion, error) {
	number := base + 1
	v, err := version.Compile(doc, number)
	if err != nil {
		return LoadedVersion{}, &Error{Kind: Invalid, Err: err}
	}
	body, err := json.Marshal(doc)
	if err != nil {
		return LoadedVersion{}, &Error{Kind: Invalid, Err: err}
	}
	// The digest in the key keeps a repeat with another document from using the first
	// document's object.
	sum := sha256.Sum256(body)
	object := fmt.Sprintf("config/%d-%s-%x", number, submission, sum[:8])
	if err := putOnce(ctx, c, object, body); err != nil {
		return LoadedVersion{}, &Error{Kind: Unavailable, Err: err}
	}
	head := Head{Version: number, Object: object, Submission: submission}
	sent := false
	var lastErr error
	for range maxAttempts {
		stored, err := readStoredRows(ctx, c, number, submission)
		switch {
		case err != nil:
			lastErr = err
			continue
		case stored.accepted.Version > 0:
			loaded, err := Load(ctx, c, stored.accepted)
			loaded.Superseded = stored.accepted.Version < stored.head.Version
			return loaded, err
		case stored.head.Version != base:
			return LoadedVersion{}, &Error{Kind: Conflict, Current: stored.head.Version}
		}
		sent = true
		tx := acceptTx(head, stored)
		tx.Writes = append(tx.Writes, deltaWrites(ctx, c, stored.head, head.Version, doc)...)
		result, err := c.Commit(ctx, tx)
		if err == nil && result.Committed {
			head.Revision = result.Revision
			return LoadedVersion{Head: head, Document: doc, Version: v}, nil
		}
		lastErr = err
	}
	if !sent {
		return LoadedVersion{}, &Error{Kind: Unavailable, Err: lastErr}
	}
	return LoadedVersion{}, &Error{Kind: OutcomeUnknown, Err: lastErr}
}

// FindSubmission returns the head row that a submission wrote. Its version is 0 if no
// version was accepted for the submission or if its rows were deleted.
func FindSubmission(ctx context.Context, c platform.Client, submission string) (Head, error) {
	stored, err := readStoredRows(ctx, c, 0, submission)
	if err != nil {
		return Head{}, &Error{Kind: Unavailable, Err: err}
	}
	return stored.accepted, nil
}

// storedRows are the rows that decide how an attempt at a submission goes on.
type storedRows struct {
	head Head
	// accepted is the head row that this submission wrote before; version 0 if none.
	accepted Head
	// expired is the head row of the version whose submission rows are deleted when
	// this submission is accepted; version 0 if none.
	expired Head
}

func submissionKey(id string) platform.Key { return platform.Key{Table: SubmissionsTable, Key: id} }

// versionKey names the row that holds the submission of a version.
func versionKey(number uint64) platform.Key {
	return platform.Key{Table: Table, Key: strconv.FormatUint(number, 10)}
}

func readStoredRows(ctx context.Context, c platform.Client, number uint64, submission string) (storedRows, error) {
	gets := []platform.Key{HeadKey, submissionKey(submission)}
	if number > keptSubmissions {
		gets = append(gets, versionKey(number-keptSubmissions))
	}
	r, err := c.Read(ctx, platform.Read{Gets: gets})
	if err != nil {
		return storedRows{}, err
	}
	if len(r.Rows) != len(gets) {
		return storedRows{}, errNoHead
	}
	var stored storedRows
	for i, to := range []*Head{&stored.head, &stored.accepted, &stored.expired}[:len(gets)] {
		if *to, err = DecodeHead(r.Rows[i]); err != nil {
			return storedRows{}, err
		}
	}
	return stored, nil
}

// acceptTx returns the transaction that writes the head row and the rows that answer a
// repeat of the submission, and deletes the rows of an expired submission. It fails if
// the head row has changed or the submission has been accepted already.
func acceptTx(head Head, stored storedRows) platform.Tx {
	value, _ := msgpack.Marshal(head) // cannot fail: Head has only plain fields
	tx := platform.Tx{
		Conditions: []platform.Condition{
			{Key: HeadKey, Revision: stored.head.Revision}, {Key: submissionKey(head.Submission)},
		},
		Writes: []platform.Write{
			{Key: HeadKey, Value: value},
			{Key: submissionKey(head.Submission), Value: value},
			{Key: versionKey(head.Version), Value: value},
		},
	}
	if stored.expired.Version > 0 {
		tx.Writes = append(tx.Writes,
			platform.Write{Key: submissionKey(stored.expired.Submission), Delete: true},
			platform.Write{Key: versionKey(stored.expired.Version), Delete: true})
	}
	return tx
}

// deltaWrites returns the writes that add the delta from the version in force and delete
// the oldest one. The delta is left out if it cannot be computed or is too large; VMs
// then read the whole document.
func deltaWrites(ctx context.Context, c platform.Client, from Head, number uint64, to *operator.Document) []platform.Write {
	var writes []platform.Write
	if number > keptDeltas {
		writes = append(writes, platform.Write{Key: deltaKey(number - keptDeltas), Delete: true})
	}
	base, err := Load(ctx, c, from)
	if err != nil {
		return writes
	}
	delta, err := json.Marshal(version.Diff(base.Document, to))
	if err != nil || len(delta) > maxDeltaBytes {
		return writes
	}
	return append(writes, platform.Write{Key: deltaKey(number), Value: delta})
}

// putOnce stores an object. An object that exists already counts as a success, since a
// key contains the digest of its body.
func putOnce(ctx context.Context, c platform.Client, key string, body []byte) error {
	err := c.PutObject(ctx, key, body)
	if platform.KindOf(err) == platform.Exists {
		return nil
	}
	return err
}
