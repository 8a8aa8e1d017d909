package control

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
)

// journalRetry is the wait before a batch is written again after a failed attempt.
const journalRetry = 100 * time.Millisecond

// dueJournal returns when the next batch or lease renewal is due.
func (s *State) dueJournal() time.Time {
	if s.batcher == nil {
		return time.Time{}
	}
	return s.batcher.Due()
}

// startJournal starts the write of the batch that is due.
func (s *State) startJournal(now time.Time) {
	if s.leaving {
		return // a lease renewal would make the transaction that ends the membership fail
	}
	batch := s.batcher.Take(now)
	if batch == nil {
		return
	}
	self, client := s.self, s.config.Platform
	if !s.loop.submit(s.loop.journal, func(ctx context.Context) Event {
		return batchAttempted{self: self, result: journal.Write(ctx, client, batch)}
	}) {
		s.batcher.Retry(now.Add(journalRetry))
	}
}

// batchAttempted reports an attempt to write a batch.
type batchAttempted struct {
	self   string
	result journal.WriteResult
}

// Apply implements Event.
func (e batchAttempted) Apply(s *State, now time.Time) {
	if e.self != s.self || !s.joined {
		return
	}
	r := e.result
	switch {
	case r.Committed:
		s.leaseRenewed(r.SentAt)
		s.batcher.Committed(now, r.LeaseRevision)
	case r.LeaseLost:
		s.dropMembership(now, "the lease row was deleted or overwritten")
	case len(r.Fenced) > 0:
		s.nextPoll = now
		for fence := range r.Fenced {
			// A slot that was lost and regained since keeps its newly loaded
			// runs.
			if s.slots.Owner(fence.Slot).Revision == fence.Revision {
				s.runs.Drop(fence.Slot)
			}
		}
		s.batcher.Fenced(now, r.Fenced)
	default:
		s.batcher.Retry(now.Add(journalRetry))
	}
}

// journalEntry adds a change of the program table to the next batch. If done is not nil,
// it is called on the control thread when the entry is durable or has failed; err is then
// nil or a *journal.Error.
func (s *State) journalEntry(e *program.JournalEntry, done func(now time.Time, err error)) {
	s.batcher.Add(journal.Record{
		Slot: e.Slot, SlotRevision: s.slots.Owner(e.Slot).Revision, Body: e.Body, Writes: e.Writes,
		Done: func(now time.Time, err error) {
			if err == nil {
				s.runs.MarkDurable(e)
			}
			if done != nil {
				done(now, err)
			}
		},
	})
}
