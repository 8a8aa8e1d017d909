// Package operation carries out the requests of operators: changes of the
// configuration, status, time-line events and settlements. It implements the backend of
// the operators' front end and takes no part in callers' traffic.
package operation

import (
	"context"
	"errors"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/connection/operatorhttp"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/configuration"
	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/request/turn"
	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/operator"
)

// maxEditAttempts bounds the attempts of a small change that conflicts with other
// changes.
const maxEditAttempts = 5

// Backend implements operatorhttp.Backend.
type Backend struct {
	Loop     *control.Loop
	Platform platform.Client
	Remote   *turn.Remote
	Entry    *turn.Entry
	Log      *eventlog.Log
}

// Submit implements operatorhttp.Backend.
func (b *Backend) Submit(ctx context.Context, s operatorhttp.Submission) (operatorhttp.Accepted, error) {
	sentAt := clock.Now()
	loaded, err := configuration.Submit(ctx, b.Platform, s.Base, s.Document, s.SubmissionID)
	if err != nil {
		return operatorhttp.Accepted{}, operatorError(s.Base, err)
	}
	if loaded.Superseded {
		sentAt = time.Time{} // a superseded version does not confirm that it is the newest
	}
	if err := b.Loop.Post(ctx, control.VersionAccepted{Loaded: loaded, ReadAt: sentAt}); err != nil {
		return operatorhttp.Accepted{}, operatorhttp.NewError(operatorhttp.Unavailable, "the version was accepted, but this VM is stopping")
	}
	return operatorhttp.Accepted{Version: loaded.Version.Number, SubmissionID: s.SubmissionID}, nil
}

// operatorError converts an error of the configuration store into one for operators.
func operatorError(base uint64, err error) error {
	var documentErr *version.DocumentError
	if errors.As(err, &documentErr) {
		return documentErr
	}
	var ce *configuration.Error
	if !errors.As(err, &ce) {
		return err
	}
	switch ce.Kind {
	case configuration.Conflict:
		return operatorhttp.NewConflict(base, ce.Current)
	case configuration.Unavailable:
		return operatorhttp.NewError(operatorhttp.Unavailable, "the platform did not answer; nothing was changed")
	case configuration.OutcomeUnknown:
		return operatorhttp.NewError(operatorhttp.Unavailable, "it is not known whether the change was accepted; repeat it with the same submission id")
	default:
		return err
	}
}

// Current implements operatorhttp.Backend. It reads the version from the platform and
// not from this VM, since the document is the base of the operator's next change.
func (b *Backend) Current(ctx context.Context) (operatorhttp.Configuration, error) {
	loaded, err := b.loadNewest(ctx)
	if err != nil {
		return operatorhttp.Configuration{}, operatorError(0, err)
	}
	return operatorhttp.Configuration{Version: loaded.Version.Number, Document: loaded.Document}, nil
}

// loadNewest returns the newest version at the platform. It reads the document only if
// that version is not the one in force at this VM.
func (b *Backend) loadNewest(ctx context.Context) (configuration.LoadedVersion, error) {
	head, err := configuration.ReadHead(ctx, b.Platform)
	if err != nil {
		return configuration.LoadedVersion{}, err
	}
	reply := make(chan configuration.LoadedVersion, 1)
	if current, err := turn.PostAndWait(ctx, b.Loop, control.QueryVersion{Reply: reply}, reply); err == nil && current.Head == head && head.Version > 0 {
		return current, nil
	}
	return configuration.Load(ctx, b.Platform, head)
}

// WithdrawKey implements operatorhttp.Backend.
func (b *Backend) WithdrawKey(ctx context.Context, w operatorhttp.KeyWithdrawal) (operatorhttp.Accepted, error) {
	accepted, err := b.edit(ctx, w.SubmissionID, func(d *operator.Document) error {
		return removeKey(d, w.Customer, w.KeyID)
	})
	if err == nil {
		b.Log.Add(eventlog.Event{Kind: eventlog.KeyWithdrawn, Epoch: accepted.Version, Detail: w.Customer + "/" + w.KeyID})
	}
	return accepted, err
}

// Drain implements operatorhttp.Backend.
func (b *Backend) Drain(ctx context.Context, d operatorhttp.Drain) (operatorhttp.Accepted, error) {
	return b.edit(ctx, d.SubmissionID, func(doc *operator.Document) error {
		if d.VM != "" {
			drainVM(doc, d.VM, d.Undo)
			return nil
		}
		return drainEndpoint(doc, d.Endpoint, d.Undo)
	})
}

// edit applies a small change to the newest document and submits it. If another change
// was accepted in between, it tries again with the new document, up to maxEditAttempts
// times.
func (b *Backend) edit(ctx context.Context, submission string, change func(*operator.Document) error) (operatorhttp.Accepted, error) {
	known, err := configuration.FindSubmission(ctx, b.Platform, submission)
	if err != nil {
		return operatorhttp.Accepted{}, operatorError(0, err)
	}
	if known.Version > 0 { // the change was already accepted and could not be applied again
		return operatorhttp.Accepted{Version: known.Version, SubmissionID: submission}, nil
	}
	for attempt := 1; ; attempt++ {
		loaded, err := b.loadNewest(ctx)
		if err != nil {
			return operatorhttp.Accepted{}, operatorError(0, err)
		}
		doc, err := loaded.Document.Clone() // the loaded document may be the one in force, which is shared
		if err != nil {
			return operatorhttp.Accepted{}, err
		}
		if err := change(doc); err != nil {
			return operatorhttp.Accepted{}, err
		}
		accepted, err := b.Submit(ctx, operatorhttp.Submission{
			Base: loaded.Version.Number, SubmissionID: submission, Document: doc,
		})
		var oe *operatorhttp.Error
		if errors.As(err, &oe) && oe.Code == operatorhttp.Conflict && attempt < maxEditAttempts {
			continue
		}
		return accepted, err
	}
}

// Settle implements operatorhttp.Backend. The run is given as "<customer>/<run>".
func (b *Backend) Settle(ctx context.Context, s operatorhttp.Settlement) error {
	customer, run, err := splitRun(s.Run)
	if err != nil {
		return err
	}
	refused := b.Entry.SettleFor(ctx, customer, call.Settlement{Run: run, RequestID: s.RequestID, Outcome: s.Outcome})
	if refused == nil {
		return nil
	}
	if refused.Code == refusal.BadRequest {
		return operatorhttp.NewError(operatorhttp.BadRequest, "%s", refused.Message)
	}
	return operatorhttp.NewError(operatorhttp.Unavailable, "%s", refused.Message)
}
