package control

import (
	"context"
	"slices"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/configuration"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// cursors are the revisions up to which each table has been read.
type cursors struct {
	slots, members, seats uint64
	deltas                uint64
	headRevision          uint64
}

// changeLists is the number of tables whose changes each poll reads: slots, members,
// seats and configuration deltas.
const changeLists = 4

// pollRequest is what one poll asks for.
type pollRequest struct {
	cursors cursors
	leases  []string
	// known is the version in force, to which deltas are applied.
	known configuration.Loaded
	// allLeases reads every lease row, at a join.
	allLeases bool
}

// pollResult is the answer of one poll.
type pollResult struct {
	sentAt   time.Time
	cursors  cursors
	slots    []platform.Row
	members  []platform.Row
	seatRows []platform.Row
	deltas   []platform.Row
	leases   map[string]uint64 // member to lease revision; absent rows have 0
	head     configuration.Head
	// loaded is set when the head has changed and its document was read.
	loaded *configuration.Loaded
	seats  int
	err    error
}

func (s *State) duePoll() time.Time {
	if !s.joined || s.polling {
		return time.Time{}
	}
	return s.nextPoll
}

// startPoll sends the one read a second that finds changes of slots, members,
// watched leases and the configuration.
func (s *State) startPoll(now time.Time) {
	if s.polling || now.Before(s.nextPoll) {
		return
	}
	request := pollRequest{cursors: s.cursors, leases: s.registry.NextWatched(), known: s.current}
	self, client := s.self, s.config.Platform
	s.polling = s.loop.submit(s.loop.poll, func(ctx context.Context) Event {
		return polled{self: self, result: pollOnce(ctx, client, request)}
	})
	s.nextPoll = now.Add(s.config.PollInterval)
}

// pollOnce reads until every change has been seen.
func pollOnce(ctx context.Context, c platform.Client, q pollRequest) pollResult {
	r := pollResult{sentAt: time.Now(), cursors: q.cursors, leases: map[string]uint64{}}
	for more := true; more; {
		more = false
		read := platform.Read{
			Gets: []platform.Key{configuration.HeadKey},
			Since: []platform.Since{
				{Table: ownership.Table, Revision: r.cursors.slots},
				{Table: member.MembersTable, Revision: r.cursors.members},
				{Table: member.SeatsTable, Revision: r.cursors.seats},
				configuration.DeltaSince(r.cursors.deltas),
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
		if r.err = r.take(answer, q); r.err != nil {
			return r
		}
		more = slices.Contains(answer.More[:changeLists], true)
	}
	r.loadHead(ctx, c, q)
	return r
}

// take adds one answer to the result.
func (r *pollResult) take(answer platform.ReadResult, q pollRequest) error {
	if len(answer.Rows) != 1+len(q.leases) || len(answer.Changes) < changeLists || len(answer.More) < changeLists {
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
	r.cursors.slots = cursor(answer, 0)
	r.cursors.members = cursor(answer, 1)
	r.seatRows = append(r.seatRows, answer.Changes[2]...)
	r.cursors.seats = cursor(answer, 2)
	r.deltas = append(r.deltas, answer.Changes[3]...)
	r.cursors.deltas = cursor(answer, 3)
	if q.allLeases {
		for _, row := range answer.Changes[changeLists] {
			if !row.Deleted {
				r.leases[row.Key.Key] = row.Revision
			}
		}
	}
	return nil
}

// cursor returns where the next read of a change list continues.
func cursor(answer platform.ReadResult, i int) uint64 {
	rows := answer.Changes[i]
	if answer.More[i] && len(rows) > 0 {
		return rows[len(rows)-1].Revision
	}
	return answer.Revision
}

// loadHead reads the document of a head that was not known yet.
func (r *pollResult) loadHead(ctx context.Context, c platform.Client, q pollRequest) {
	if r.head.Revision == q.cursors.headRevision {
		return
	}
	loaded, err := configuration.LoadFrom(ctx, c, q.known, r.head, r.deltas)
	if err != nil {
		r.err = err
		return
	}
	r.loaded = &loaded
	r.seats = loaded.Version.Seats
	r.cursors.headRevision = r.head.Revision
}

// polled reports a poll.
type polled struct {
	self   string
	result pollResult
}

// Apply implements Event.
func (e polled) Apply(s *State, now time.Time) {
	s.polling = false
	if e.self != s.self || !s.joined {
		return
	}
	if e.result.err != nil {
		if !s.pollFailing {
			s.logChange("The platform does not answer", "err", e.result.err)
		}
		s.pollFailing = true
		return
	}
	if s.pollFailing {
		s.logChange("The platform answers again")
		// The holders could not renew either: the time without reads says nothing
		// about their leases. Without this the members evict one another after an
		// outage and find every seat locked.
		s.observer = member.NewObserver(s.config.LeaseTTL)
	}
	s.pollFailing = false
	s.applyPoll(now, e.result)
	if _, ok := s.registry.Get(s.self); !ok {
		s.leave(now, "another member removed this one")
		return
	}
	s.evictExpired(now, e.result)
	s.freeSeats(e.result)
	s.applyVacancy(now, e.result.sentAt)
	s.claimOrphans(now)
	s.planBalance()
}

// applyPoll takes over what a poll has read.
func (s *State) applyPoll(now time.Time, r pollResult) {
	s.cursors = r.cursors
	for _, row := range r.members {
		s.applyMember(row)
	}
	for _, row := range r.slots {
		s.applySlot(now, row)
	}
	for _, row := range r.seatRows {
		s.seats.Apply(now, row)
		s.noteEvicted(row)
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
	s.dirty = true
}

func (s *State) applyMember(row platform.Row) {
	id := row.Key.Key
	s.viewDirty = true
	if row.Deleted {
		s.registry.Remove(id)
		s.observer.Forget(id)
		delete(s.evicting, id)
		return
	}
	info, err := member.DecodeInfo(row)
	if err != nil {
		s.logError(err, "Member row is not readable", "member", id)
		return
	}
	s.registry.Set(id, info)
	if id == s.self && row.Revision > s.memberRevision {
		s.memberRevision, s.marked = row.Revision, info.Leaving
	}
	if s.batcher != nil {
		s.batcher.SetInterval(s.journalInterval())
	}
}

// journalInterval spreads the platform's write budget over the members.
func (s *State) journalInterval() time.Duration {
	members := max(1, len(s.registry.IDs()))
	return time.Duration(float64(members) / s.config.WritesPerSecond * float64(time.Second))
}
