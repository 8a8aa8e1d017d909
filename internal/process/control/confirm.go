package control

import (
	"context"
	"sync"
	"time"
)

const (
	// confirmTimeout bounds the wait for the members' answers in a round.
	confirmTimeout = time.Second
	// confirmInterval is the minimum time between the starts of two rounds.
	confirmInterval = 500 * time.Millisecond
	// mutualConfirmationBound is how long members may confirm one another's version
	// while none of them reaches the platform. It bounds the one case in which all of
	// them are wrong: a new VM accepts a version while it can reach the platform but
	// none of these members.
	mutualConfirmationBound = 10 * time.Minute
)

// Confirmation is the version in force at a member and the time since it was
// confirmed.
type Confirmation struct {
	Number uint64 `msgpack:"n"`
	// Age is the time since the platform last confirmed the version to the member.
	Age time.Duration `msgpack:"a"`
}

// QueryConfirmation requests this member's confirmation. Reply must have buffer space
// for one value.
type QueryConfirmation struct{ Reply chan<- Confirmation }

// Apply implements Event.
func (e QueryConfirmation) Apply(s *State, now time.Time) {
	e.Reply <- Confirmation{Number: s.current.Version.Number, Age: now.Sub(s.platformConfirmedAt)}
}

// dueConfirm returns when to ask the other members for confirmations, which is when
// half of the freshness bound has passed without a confirmation.
func (s *State) dueConfirm() time.Time {
	if !s.joined || s.confirming || s.config.Peers == nil || s.platformConfirmedAt.IsZero() {
		return time.Time{}
	}
	due := s.freshness.FreshUntil().Add(-s.config.FreshnessBound / 2)
	if due.Before(s.nextConfirm) {
		due = s.nextConfirm
	}
	return due
}

// startConfirm asks the other members for confirmations while the platform does not
// answer.
func (s *State) startConfirm(now time.Time) {
	due := s.dueConfirm()
	if due.IsZero() || now.Before(due) {
		return
	}
	s.nextConfirm = now.Add(confirmInterval)
	var others []Peer
	for _, p := range s.slotView.members[1:] {
		if p.ID != s.self {
			others = append(others, p)
		}
	}
	peers := s.config.Peers
	s.confirming = s.submitJob(func(ctx context.Context) Event {
		return versionsConfirmed{askedAt: now, members: len(others), answers: collectConfirmations(ctx, peers, others)}
	})
}

// collectConfirmations asks the members in parallel and returns the answers that arrive
// within confirmTimeout.
func collectConfirmations(ctx context.Context, peers PeerClient, others []Peer) []Confirmation {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	found := make([]*Confirmation, len(others))
	var wg sync.WaitGroup
	for i, p := range others {
		wg.Go(func() {
			if c, err := peers.ConfirmVersion(ctx, p); err == nil {
				found[i] = &c
			}
		})
	}
	wg.Wait()
	var answers []Confirmation
	for _, c := range found {
		if c != nil {
			answers = append(answers, *c)
		}
	}
	return answers
}

// versionsConfirmed reports the other members' confirmations.
type versionsConfirmed struct {
	askedAt time.Time
	members int // number of members asked
	answers []Confirmation
}

// Apply implements Event.
func (e versionsConfirmed) Apply(s *State, now time.Time) {
	s.confirming = false
	if at, ok := e.confirmedAt(s.current.Version.Number, s.platformConfirmedAt); ok {
		s.freshness.Confirmed(at)
		s.snapshotDirty = true
		return
	}
	for _, c := range e.answers {
		if c.Number > s.current.Version.Number {
			s.nextPoll = now
		}
	}
}

// confirmedAt returns the latest time at which the version is known to have been the
// newest. This is the time at which a member last read it from the platform. If every
// member answered, it is the time at which they were asked: a new version is accepted
// by a member, which knows it before its operator does. The second result is false if
// a newer version exists or the time is not later than own.
func (e versionsConfirmed) confirmedAt(number uint64, own time.Time) (time.Time, bool) {
	newest := own
	for _, c := range e.answers {
		if c.Number > number {
			return time.Time{}, false
		}
		if at := e.askedAt.Add(-c.Age); c.Number == number && at.After(newest) {
			newest = at
		}
	}
	if len(e.answers) == e.members && e.askedAt.Sub(newest) < mutualConfirmationBound {
		return e.askedAt, true
	}
	return newest, newest.After(own)
}
