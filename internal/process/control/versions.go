package control

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/configuration"
	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
)

// applyVersion puts a version in force and returns whether it did. It ignores a version
// that is not newer than the one in force, so that the version never goes back, whatever
// the source and order of versions.
func (s *State) applyVersion(now time.Time, l configuration.LoadedVersion) bool {
	if l.Version.Number <= s.current.Version.Number {
		return false
	}
	s.current = l
	s.snapshotDirty = true
	s.logChange("Applied configuration version", "configurationVersion", l.Version.Number)
	s.recordEvent(now, eventlog.Event{Kind: eventlog.VersionApplied, Epoch: l.Version.Number})
	s.applyLimitPolicies(now)
	s.applyReplicas(now)
	return true
}

// VersionAccepted puts a version in force that this VM's operator API has just committed,
// and notifies the other members.
type VersionAccepted struct {
	Loaded configuration.LoadedVersion
	// ReadAt is a time before the commit was sent, as of which the version counts as the
	// newest. It is zero for a repeated submission whose version has been superseded.
	ReadAt time.Time
}

// Apply implements Event.
func (e VersionAccepted) Apply(s *State, now time.Time) {
	if !s.applyVersion(now, e.Loaded) {
		return
	}
	s.cursors.headRevision = e.Loaded.Head.Revision
	s.freshness.Confirmed(e.ReadAt)
	s.platformConfirmedAt = e.ReadAt
	if s.config.Peers == nil {
		return
	}
	peers, number := s.config.Peers, e.Loaded.Version.Number
	for _, p := range s.slotView.members[1:] {
		if p.ID == s.self {
			continue
		}
		s.submitJob(func(ctx context.Context) Event {
			_ = peers.NotifyVersion(ctx, p, number) // its next poll also finds the version
			return nil
		})
	}
}

// VersionAnnounced reports that another VM has accepted a version. If it is newer than the
// one in force, the next poll runs at once.
type VersionAnnounced struct{ Number uint64 }

// Apply implements Event.
func (e VersionAnnounced) Apply(s *State, now time.Time) {
	if e.Number > s.current.Version.Number {
		s.nextPoll = now
	}
}

// QueryVersion requests the version in force with its document. Reply must have buffer
// space for one value.
type QueryVersion struct {
	Reply chan<- configuration.LoadedVersion
}

// Apply implements Event.
func (e QueryVersion) Apply(s *State, _ time.Time) { e.Reply <- s.current }
