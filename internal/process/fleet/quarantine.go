package fleet

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"hornbeamvale.example/hornbeamvale/internal/process/quarantine"
)

const (
	// quarantineKeepers is the number of VMs that keep a block in their member rows, beside
	// the one that began it. Other processes learn of it there when they start.
	quarantineKeepers = 3
	// maxKeptBlocks bounds the blocks in one member row.
	maxKeptBlocks = 64
	// quarantineNoticeTimeout bounds a notice to one VM, and maxParallelNotices the VMs
	// that are told at the same time.
	quarantineNoticeTimeout = 200 * time.Millisecond
	maxParallelNotices      = 16
	// minPathBodies is the number of different bodies that have to crash replicas before
	// all requests of a customer with the same path are blocked.
	minPathBodies = 2
)

// RequestPrints identifies a request in the quarantine.
type RequestPrints struct {
	// Body identifies the customer, the path and the body, Path the customer and the path.
	Body, Path quarantine.Fingerprint
}

// RunCrashed is the event that the connection of a run broke, as it does when its replica
// crashes.
type RunCrashed struct {
	Prints RequestPrints
	Crash  quarantine.Crash
	// HasOutput is set if a part of the answer had arrived. The replica had then run the
	// request for a while.
	HasOutput bool
	// Done is closed when the snapshot contains the crash.
	Done chan<- struct{}
}

// Apply implements Event.
func (e RunCrashed) Apply(s *State, now time.Time) {
	defer close(e.Done)
	s.noteCrash(now, e.Prints.Body, e.Crash, 1)
	if !e.HasOutput {
		s.noteCrash(now, e.Prints.Path, e.Crash, minPathBodies)
	}
	s.publish()
}

func (s *State) noteCrash(now time.Time, f quarantine.Fingerprint, c quarantine.Crash, minBodies int) {
	counted, began := s.quarantine.Crashed(now, f, c, minBodies)
	if !counted {
		return
	}
	s.quarantineChanged()
	s.quarantineNews = append(s.quarantineNews, c.Notice(now, f, minBodies))
	if began {
		state := s.quarantine.State(now, f)
		s.quarantineNews = append(s.quarantineNews, state)
		s.config.Log.State("Request is quarantined", "fingerprint", f, "level", state.Level, "for", state.Left, "replica", c.Replica, "replicaStartedMS", c.StartedMS)
	}
}

// RunSucceeded is the event that a suspected request was run to its end.
type RunSucceeded struct{ Prints RequestPrints }

// Apply implements Event.
func (e RunSucceeded) Apply(s *State, now time.Time) {
	for _, f := range []quarantine.Fingerprint{e.Prints.Body, e.Prints.Path} {
		changed, ended := s.quarantine.Succeeded(now, f)
		if !changed {
			continue
		}
		s.quarantineChanged()
		state := s.quarantine.State(now, f)
		state.Succeeded = true
		s.quarantineNews = append(s.quarantineNews, state)
		if ended {
			s.config.Log.State("Quarantine ended, since a run has ended well", "fingerprint", f, "level", state.Level)
		}
	}
}

// BeginTrial is the event that asks whether a request may be run as the trial after its
// block. Reply must have room for the answer.
type BeginTrial struct {
	Prints RequestPrints
	Reply  chan<- bool
}

// Apply implements Event.
func (e BeginTrial) Apply(s *State, now time.Time) {
	allowed := true
	for _, f := range []quarantine.Fingerprint{e.Prints.Body, e.Prints.Path} {
		before := s.quarantine.State(now, f)
		if !s.quarantine.BeginTrial(now, f) {
			allowed = false
			break
		}
		if state := s.quarantine.State(now, f); state.TrialLeft != before.TrialLeft {
			s.quarantineNews = append(s.quarantineNews, state)
			s.config.Log.State("Quarantined request is tried", "fingerprint", f, "level", state.Level)
		}
	}
	s.quarantineChanged()
	e.Reply <- allowed
}

// QuarantineNoticed is the event that another VM has sent notices.
type QuarantineNoticed struct{ Notices []quarantine.Notice }

// Apply implements Event.
func (e QuarantineNoticed) Apply(s *State, now time.Time) { s.mergeQuarantine(now, e.Notices) }

func (s *State) mergeQuarantine(now time.Time, notices []quarantine.Notice) {
	for _, n := range notices {
		if !s.quarantine.Merge(now, n) {
			continue
		}
		s.quarantineChanged()
		if n.Level > 0 {
			s.config.Log.State("Another VM reports a quarantine", "fingerprint", n.Fingerprint, "level", n.Level, "for", n.Left, "ended", n.Succeeded)
		}
	}
}

// quarantineChanged makes the next snapshot contain the present state.
func (s *State) quarantineChanged() {
	s.quarantineStale, s.unpublished, s.quarantineExpiry = true, true, time.Time{}
}

// currentQuarantine returns the view of the present state.
func (s *State) currentQuarantine() *quarantine.View {
	if s.quarantineStale {
		s.quarantineStale, s.quarantineView = false, s.quarantine.View()
	}
	return s.quarantineView
}

// stepQuarantine drops what is too old, and sends the news of the events since the last
// step to the other VMs.
func (s *State) stepQuarantine(now time.Time) time.Time {
	if news := s.quarantineNews; len(news) > 0 {
		s.quarantineNews = nil
		s.sendQuarantineNews(news)
	}
	if s.quarantine.Empty() {
		return time.Time{}
	}
	if !now.Before(s.quarantineExpiry) {
		s.quarantineChanged()
		s.quarantineExpiry = s.quarantine.Expire(now)
	}
	return s.quarantineExpiry
}

// sendQuarantineNews sends notices to all other VMs, without waiting for it. A VM that is
// not reached reads the blocks in the member rows.
func (s *State) sendQuarantineNews(news []quarantine.Notice) {
	members, self, peers := s.members.all(), s.members.self, s.config.Peers
	s.startJob(func(ctx context.Context) {
		var group errgroup.Group
		group.SetLimit(maxParallelNotices)
		for _, m := range members {
			if m.Address == self.Address {
				continue
			}
			group.Go(func() error {
				callCtx, cancel := context.WithTimeout(ctx, quarantineNoticeTimeout)
				defer cancel()
				_ = peers.NotifyQuarantine(callCtx, m, news)
				return nil
			})
		}
		_ = group.Wait() // the jobs return no error
	})
}

// keptBlocks returns the blocks that belong into this VM's member row. A VM that has not
// read the members yet keeps all, since the rows that it read at its start may be replaced
// by others that start too.
func (s *State) keptBlocks(now time.Time) []quarantine.Notice {
	kept := s.quarantine.Blocks(now, func(f quarantine.Fingerprint, own bool) bool {
		return own || s.members.lastRead.IsZero() || s.members.includesSelf(s.members.ranked("quarantine-keeper", f.String(), quarantineKeepers))
	})
	return kept[:min(len(kept), maxKeptBlocks)]
}

// quarantineRead is the event that the blocks in the member rows were read at the start of
// the process. Done is closed when the snapshot contains them.
type quarantineRead struct {
	blocks []quarantine.Notice
	done   chan<- struct{}
}

// Apply implements Event.
func (e quarantineRead) Apply(s *State, now time.Time) {
	s.mergeQuarantine(now, e.blocks)
	s.publish()
	close(e.done)
}

// memberRowBlocks is the event that asks for the blocks that belong into the member row.
type memberRowBlocks struct{ reply chan<- []quarantine.Notice }

// Apply implements Event.
func (e memberRowBlocks) Apply(s *State, now time.Time) { e.reply <- s.keptBlocks(now) }
