package control

import (
	"context"
	"slices"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/configuration"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// cursors holds the revision up to which each table has been read.
type cursors struct {
	slots, members, seats uint64
	deltas                uint64
	headRevision          uint64 // of the configuration head
}

// changeListCount is the number of tables whose changes every poll reads: slots, members,
// seats and configuration deltas.
const changeListCount = 4

// pollRequest describes what one poll reads.
type pollRequest struct {
	cursors cursors
	leases  []string // members whose lease rows are read
	// known is the version in force, to which the deltas that are read apply.
	known configuration.LoadedVersion
	// allLeases makes the poll read every lease row, as a join does.
	allLeases bool
}

// pollResult is the result of one poll.
type pollResult struct {
	sentAt   time.Time
	cursors  cursors
	slots    []platform.Row
	members  []platform.Row
	seatRows []platform.Row
	deltas   []platform.Row
	leases   map[string]uint64 // revision of the lease row by member; 0 if there is none
	head     configuration.Head
	// loaded is the configuration if the head has changed, nil otherwise.
	loaded *configuration.LoadedVersion
	seats  int // of the loaded configuration, 0 if none was loaded
	err    error
}

// duePoll returns the time of the next poll, or zero if none is due.
func (s *State) duePoll() time.Time {
	if !s.joined || s.polling {
		return time.Time{}
	}
	return s.nextPoll
}

// startPoll starts the poll that is due. One poll in each PollInterval, one a second by
// default, finds the changes of slots, members, watched leases and the configuration.
func (s *State) startPoll(now time.Time) {
	if s.polling || now.Before(s.nextPoll) {
		return
	}
	request := pollRequest{cursors: s.cursors, leases: s.registry.NextWatched(), known: s.current}
	self, client := s.self, s.config.Platform
	s.polling = s.loop.submit(s.loop.poll, func(ctx context.Context) Event {
		return pollFinished{self: self, result: pollOnce(ctx, client, request)}
	})
	s.nextPoll = now.Add(s.config.PollInterval)
}

// pollOnce reads until no change list has further rows, then the changed configuration.
func pollOnce(ctx context.Context, c platform.Client, q pollRequest) pollResult {
	r := pollResult{sentAt: clock.Now(), cursors: q.cursors, leases: map[string]uint64{}}
	for more := true; more; {
		more = false
		read := platform.Read{
			Gets: []platform.Key{configuration.HeadKey},
			Since: []platform.Since{
				{Table: ownership.Table, Revision: r.cursors.slots},
				{Table: member.MembersTable, Revision: r.cursors.members},
				{Table: member.SeatsTable, Revision: r.cursors.seats},
				configuration.DeltasSince(r.cursors.deltas),
			},
		}
		for _, id := range q.leases {
			read.Gets = append(read.Gets, member.LeaseKey(id))
		}
		if q.allLeases {
			read.Since = append(read.Since, platform.Since{Table: member.LeasesTable})
		}
		answer, err := c.Read(ctx, read)
		if err != nil {
			r.err = err
			return r
		}
		if r.err = r.add(answer, q); r.err != nil {
			return r
		}
		more = slices.Contains(answer.More[:changeListCount], true)
	}
	r.loadHead(ctx, c, q)
	return r
}

// add adds one answer of the table service to the result.
func (r *pollResult) add(answer platform.ReadResult, q pollRequest) error {
	if len(answer.Rows) != 1+len(q.leases) || len(answer.Changes) < changeListCount || len(answer.More) < changeListCount {
		return &Error{Op: "poll", Err: errIncomplete}
	}
	head, err := configuration.DecodeHead(answer.Rows[0])
	if err != nil {
		return &Error{Op: "poll", Err: err}
	}
	r.head = head
	for i, id := range q.leases {
		r.leases[id] = answer.Rows[i+1].Revision
	}
	r.slots = append(r.slots, answer.Changes[0]...)
	r.members = append(r.members, answer.Changes[1]...)
	r.cursors.slots = nextCursor(answer, 0)
	r.cursors.members = nextCursor(answer, 1)
	r.seatRows = append(r.seatRows, answer.Changes[2]...)
	r.cursors.seats = nextCursor(answer, 2)
	r.deltas = append(r.deltas, answer.Changes[3]...)
	r.cursors.deltas = nextCursor(answer, 3)
	if q.allLeases {
		for _, row := range answer.Changes[changeListCount] {
			if !row.Deleted {
				r.leases[row.Key.Key] = row.Revision
			}
		}
	}
	return nil
}

// nextCursor returns the revision from which the next read of a change list continues.
func nextCursor(answer platform.ReadResult, i int) uint64 {
	rows := answer.Changes[i]
	if answer.More[i] && len(rows) > 0 {
		return rows[len(rows)-1].Revision
	}
	return answer.Revision
}

// loadHead loads the configuration if its head has changed since the last poll.
func (r *pollResult) loadHead(ctx context.Context, c platform.Client, q pollRequest) {
	if r.head.Revision == q.cursors.headRevision {
		return
	}
	loaded, err := configuration.LoadWithDeltas(ctx, c, q.known, r.head, r.deltas)
	if err != nil {
		r.err = err
		return
	}
	r.loaded = &loaded
	r.seats = loaded.Version.Seats
	r.cursors.headRevision = r.head.Revision
}

// pollFinished reports the result of a poll.
type pollFinished struct {
	self   string
	result pollResult
}

// Apply implements Event.
func (e pollFinished) Apply(s *State, now time.Time) {
	s.polling = false
	if e.self != s.self || !s.joined {
		return
	}
	if e.result.err != nil {
		if !s.pollFailing {
			s.logChange("Failed to poll the platform", "err", e.result.err)
		}
		s.pollFailing = true
		return
	}
	if s.pollFailing {
		s.logChange("Polled the platform again after failures")
		// In an outage the other members cannot renew their leases either, so
		// the time without reads does not show that a lease has expired. Without
		// a new observer the members evict one another after an outage and find
		// every seat locked.
		s.observer = member.NewObserver(s.config.LeaseTTL)
	}
	s.pollFailing = false
	s.applyPoll(now, e.result)
	if _, ok := s.registry.Get(s.self); !ok {
		s.dropMembership(now, "another member evicted this member")
		return
	}
	s.evictExpired(now, e.result)
	s.freeSeats(e.result)
	s.applyVacantSeats(now, e.result.sentAt)
	s.claimOrphans(now)
	s.planHandovers()
}

// applyPoll applies what a poll has read to the state.
func (s *State) applyPoll(now time.Time, r pollResult) {
	s.cursors = r.cursors
	for _, row := range r.members {
		s.applyMemberRow(row)
	}
	for _, row := range r.slots {
		s.applySlotRow(now, row)
	}
	for _, row := range r.seatRows {
		s.seats.Apply(now, row)
		s.recordEvictedMember(row)
	}
	for id, revision := range r.leases {
		if _, ok := s.registry.Get(id); ok {
			s.observer.Observe(now, id, revision)
		}
	}
	if r.loaded != nil {
		s.applyVersion(now, *r.loaded)
	}
	if r.head.Version == s.current.Version.Number {
		s.freshness.Confirmed(r.sentAt)
		s.platformConfirmedAt = r.sentAt
	}
	s.snapshotDirty = true
}

// applyMemberRow applies a member row that was read from the platform.
func (s *State) applyMemberRow(row platform.Row) {
	id := row.Key.Key
	s.slotViewDirty = true
	if row.Deleted {
		s.registry.Remove(id)
		s.observer.Forget(id)
		delete(s.evicting, id)
		return
	}
	info, err := member.DecodeInfo(row)
	if err != nil {
		s.logError(err, "Failed to decode member row", "member", id, "revision", row.Revision)
		return
	}
	s.registry.Set(id, info)
	if id == s.self && row.Revision > s.memberRevision {
		s.memberRevision, s.leavingRecorded = row.Revision, info.Leaving
	}
	if s.batcher != nil {
		s.batcher.SetInterval(s.journalInterval())
	}
}

// journalInterval returns the time between two journal commits of a member, which divides
// the platform's write budget evenly among the members.
func (s *State) journalInterval() time.Duration {
	members := max(1, len(s.registry.IDs()))
	return time.Duration(float64(members) / s.config.WritesPerSecond * float64(time.Second))
}
