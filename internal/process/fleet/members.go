package fleet

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/quarantine"
	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
)

// MemberTable has one row per VM of the fleet. The row's key is the VM's address.
const MemberTable = "fleet-seats"

const (
	// memberPollInterval is the time between two renewals of the VM's own row. Each is followed
	// by a read of the members.
	memberPollInterval = 2500 * time.Millisecond
	// peerRetryDelay is how long a VM that did not answer is not called.
	peerRetryDelay = time.Second
)

// Member is a member of the fleet.
type Member struct {
	VM string `msgpack:"vm"`
	// Address is where the VM listens for other VMs, as IP:port. It identifies the
	// member: a process that restarts on the same VM continues its membership.
	Address string `msgpack:"a"`
	// Region is the region of the VM; empty if it is not known, as in rows of builds up to
	// 8468140.
	Region string `msgpack:"rg,omitempty"`
	// KeepsIndex is set if the VM deletes index entries of an expired program's own turns only.
	// Builds up to 7f97bc3 delete those of copied turns as well, and have no such field.
	KeepsIndex bool `msgpack:"ki,omitempty"`
}

// memberRow is the value of a member's row.
type memberRow struct {
	Member `msgpack:",inline"`
	// Blocks are requests that must not be sent to replicas.
	Blocks []quarantine.Notice `msgpack:"q,omitempty"`
	// RenewedAt is what the store's clock showed, at most, when the VM was last a member that
	// may use its shares: when the row was written or, while the VM waits for joinDelay or
	// its process has just started, earlier. It is 0 if that is unknown, as in rows of builds
	// up to 19775ae. Builds up to 5a9dd73 name the time when the row was written.
	RenewedAt time.Duration `msgpack:"t,omitempty"`
}

// storeClock is a reading of the store's clock and the time when it was received.
type storeClock struct {
	reading  time.Duration
	received time.Time
}

// now returns what the store's clock shows at least; 0 if it was never read.
func (c storeClock) now() time.Duration {
	if c.reading == 0 {
		return 0
	}
	return c.reading + clock.Since(c.received)
}

// memberView is this VM's view of the fleet's members.
type memberView struct {
	self Member
	// members are the live members by address.
	members map[string]memberState
	// rows are all rows of the last read by address, including those of expired members.
	rows map[string]memberState
	// firstRead is set while the first read is applied. The shares that come with it
	// need no wait of their own, since a new member waits before it uses any share.
	firstRead bool
	lastRead  time.Time
	// lastReadSent is when the last read was sent: a row that it did not show was written
	// later.
	lastReadSent time.Time
	// handoverUntil is how long this VM may use a share that it loses by the change that is
	// being applied: a new member waits for joinDelay after it has written its first row.
	// It is zero if a VM that was a member before takes part in the change, since such a VM
	// may use its shares at once.
	handoverUntil time.Time
	renewed       time.Time // when the last successful renewal of the own row was sent
	// downUntil is when the store was last certainly down for all VMs. The others measure a
	// member's TTL anew from their first read after the outage.
	downUntil time.Time
	failed    map[string]time.Time // time of the last failed call, by VM
	// usable is set while this VM is a member that has waited until usableFrom. It uses its
	// shares of the rates while inUse is set too: its read of the members is current.
	usable, inUse bool
	usableFrom    time.Time
}

// memberState is a member's row as this VM last read it.
type memberState struct {
	Member
	revision uint64
	changed  time.Time // when this VM first read the revision; used as the time of the renewal
	// renewedAt is the RenewedAt of the row.
	renewedAt time.Duration
}

func newMemberView(self Member) memberView {
	return memberView{self: self, members: map[string]memberState{}, failed: map[string]time.Time{}}
}

// count returns the number of members. It is at least 1, for this VM.
func (v *memberView) count() int { return max(1, len(v.members)) }

// all returns the members, ordered by address.
func (v *memberView) all() []Member {
	sorted := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		sorted = append(sorted, m.Member)
	}
	slices.SortFunc(sorted, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return sorted
}

// holders returns the VMs that have a share of a customer's rate. A small rate has
// fewer holders, so that each share holds some tokens. All VMs with the same view
// choose the same holders. If a VM joins or leaves, at most one holder changes.
func (v *memberView) holders(customer string, rate float64) []Member {
	holders, _ := v.holdersAndNext(customer, rate)
	return holders
}

// holdersAndNext returns the holders and the maxFormerHolders members that rank next.
func (v *memberView) holdersAndNext(customer string, rate float64) (holders, next []Member) {
	n := max(minShareHolders, int(rate/minShareRate))
	ranked := v.ranked("holder", customer, n+maxFormerHolders)
	n = min(n, len(ranked))
	return ranked[:n:n], ranked[n:]
}

// ranked returns the n members, or all if there are fewer, that rank first for a subject
// by a hash. purpose tells independent rankings apart.
func (v *memberView) ranked(purpose, subject string, n int) []Member {
	type ranked struct {
		rank   uint64
		member Member
	}
	order := make([]ranked, 0, len(v.members))
	for _, m := range v.members {
		order = append(order, ranked{hashing.Sum(purpose, subject, m.Address), m.Member})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.member.Address, b.member.Address))
	})
	chosen := make([]Member, min(len(order), n))
	for i := range chosen {
		chosen[i] = order[i].member
	}
	return chosen
}

// includesSelf returns whether this VM is among the given members.
func (v *memberView) includesSelf(members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Address == v.self.Address })
}

// reachable returns those of the given members, without this VM, that did not fail a
// call within peerRetryDelay.
func (v *memberView) reachable(now time.Time, members []Member) []Member {
	var out []Member
	for _, m := range members {
		if m.Address != v.self.Address && now.Sub(v.failed[m.VM]) >= peerRetryDelay {
			out = append(out, m)
		}
	}
	return out
}

// keepMembership renews the own row and reads the rows of all members until ctx ends.
func (l *Loop) keepMembership(ctx context.Context) {
	memberUntil, ok := l.readMembership(ctx)
	wasMember := false
	for ok && ctx.Err() == nil {
		sent := clock.Now()
		err := l.writeMember(ctx, l.config.Self)
		l.noteStoreError("renew member row", err)
		if err != nil {
			clock.Sleep(ctx, storeRetryDelay)
			continue
		}
		wasMember = wasMember || clock.Now().Before(memberUntil)
		readSent := clock.Now()
		e, err := l.readMembers(ctx)
		l.noteStoreError("read members", err)
		if err != nil {
			clock.Sleep(ctx, storeRetryDelay)
			continue
		}
		e.wasMember, e.renewed, e.sent = wasMember, sent, readSent
		l.post(ctx, e)
		// The time of the calls is not added, so that slow ones don't end the use of shares.
		clock.Sleep(ctx, memberPollInterval-clock.Since(sent))
	}
}

// readMembership returns until when the other VMs certainly still count the membership of
// an earlier process of this VM: a renewal before then continues it. The time is zero if
// the store has no row of this VM, or one that does not tell its age. It applies the blocks
// in the rows before the own row is replaced. ok is false if ctx ended.
func (l *Loop) readMembership(ctx context.Context) (until time.Time, ok bool) {
	for ctx.Err() == nil {
		sent := clock.Now()
		e, err := l.readMembers(ctx)
		l.noteStoreError("read members", err)
		if err == nil {
			applied := make(chan struct{})
			if l.Post(ctx, quarantineRead{blocks: e.blocks, done: applied}) != nil {
				return time.Time{}, false
			}
			select {
			case <-applied:
			case <-ctx.Done():
				return time.Time{}, false
			}
			until, l.memberAt = e.membershipEnd(l.config.Self, sent)
			return until, true
		}
		clock.Sleep(ctx, storeRetryDelay)
	}
	return time.Time{}, false
}

// membershipEnd returns the time until which the other VMs certainly count the membership
// of a VM by its row in a read that was sent at the given time, and what the store's clock
// showed when the VM was last a member; zero if they are not known.
func (e membersRead) membershipEnd(vm Member, sent time.Time) (until time.Time, memberAt time.Duration) {
	for _, m := range e.members {
		if m.Address == vm.Address && m.renewedAt > 0 && e.storeClock.reading > 0 {
			age := max(0, e.storeClock.reading-m.renewedAt)
			return sent.Add(memberUseTimeout - age), m.renewedAt
		}
	}
	return time.Time{}, 0
}

func (l *Loop) writeMember(ctx context.Context, self Member) error {
	memberAt := make(chan time.Duration, 1)
	if err := l.Post(ctx, memberAtAsked{before: l.memberAt, storeNow: l.storeClock.now(), reply: memberAt}); err != nil {
		return err
	}
	blocks := make(chan []quarantine.Notice, 1)
	if l.Snapshot().Quarantine.Empty() {
		blocks <- nil
	} else if err := l.Post(ctx, memberRowBlocks{blocks}); err != nil {
		return err
	}
	row := memberRow{Member: self}
	select {
	case l.memberAt = <-memberAt:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case row.Blocks = <-blocks:
	case <-ctx.Done():
		return ctx.Err()
	}
	row.RenewedAt = l.memberAt
	value, err := msgpack.Marshal(row)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, err = l.config.Store.Transact(ctx, platform.PartitionTx{Tx: platform.Tx{
		Writes: []platform.Write{{Key: platform.Key{Table: MemberTable, Key: self.Address}, Value: value}},
	}})
	return err
}

func (l *Loop) readMembers(ctx context.Context) (membersRead, error) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := l.config.Store.Range(callCtx, platform.RangeQuery{Table: MemberTable})
	if err != nil {
		return membersRead{}, err
	}
	e := membersRead{storeClock: storeClock{page.StoreClock, clock.Now()}}
	if page.StoreClock > 0 {
		l.storeClock = e.storeClock
	}
	for _, row := range page.Rows {
		var member memberRow
		if err := msgpack.Unmarshal(row.Value, &member); err != nil {
			l.config.Log.State("Failed to decode member row", "address", row.Key.Key, "revision", row.Revision, "err", err)
			continue
		}
		e.members = append(e.members, memberState{Member: member.Member, revision: row.Revision, renewedAt: member.RenewedAt})
		e.blocks = append(e.blocks, member.Blocks...)
	}
	return e, nil
}

// membersRead is the event that all members were read after the own row was renewed.
// wasMember is set if an earlier process of this VM was a member and the renewal came in
// time to continue its membership. renewed is when the renewal was sent, sent when the read was.
type membersRead struct {
	members []memberState
	// blocks are the blocks of requests in the rows.
	blocks    []quarantine.Notice
	wasMember bool
	renewed   time.Time
	sent      time.Time
	// storeClock is the store's clock at the read.
	storeClock storeClock
}

// Apply implements Event.
func (e membersRead) Apply(s *State, now time.Time) {
	s.stepMembers(now) // the process may have been paused since the last step
	v := &s.members
	before := v.all()
	v.firstRead = v.lastRead.IsZero()
	if gap := e.sent.Sub(v.lastReadSent); !v.firstRead && gap > joinDelay {
		// Members that joined in the gap may have begun to use their shares meanwhile.
		s.config.Log.State("Members were read late", "sinceRead", gap, "joined", v.countJoined(e.members), "sharesUsable", v.usable)
	}
	v.handoverUntil = time.Time{}
	if !v.firstRead && v.joinedByNewMembers(e.members) {
		v.handoverUntil = v.lastReadSent.Add(joinDelay)
	}
	expiredRows := v.update(now, e.members)
	missed := e.sent.Sub(v.lastReadSent) > joinDelay // an outage may have been in between
	v.lastReadSent = e.sent
	switch {
	case v.usableFrom.IsZero() && e.wasMember:
		v.usableFrom = now
	case v.usableFrom.IsZero() || v.expired(now) || missed && !v.usable:
		v.usableFrom = now.Add(joinDelay)
	}
	v.renewed = e.renewed
	s.unpublished = true
	if !slices.EqualFunc(v.all(), before, func(a, b Member) bool { return a.Address == b.Address }) {
		s.config.Log.State("Fleet members changed", "members", v.count(), "membersBefore", len(before))
		s.applyRates(now)
		s.applyLimits(now)
	}
	v.firstRead, v.handoverUntil = false, time.Time{}
	s.mergeQuarantine(now, e.blocks)
	// The member with the lowest address deletes the rows; one VM is enough.
	if all := v.all(); len(expiredRows) > 0 && len(all) > 0 && all[0].Address == v.self.Address {
		s.loop.start(func(ctx context.Context) { s.loop.removeMembers(ctx, expiredRows) })
	}
}

// countJoined returns the number of VMs that a read adds to the members.
func (v *memberView) countJoined(read []memberState) (joined int) {
	for _, m := range read {
		if _, ok := v.members[m.Address]; !ok {
			joined++
		}
	}
	return joined
}

// joinedByNewMembers returns whether all VMs that a read adds to the members had no row in
// the read before.
func (v *memberView) joinedByNewMembers(read []memberState) bool {
	return !slices.ContainsFunc(read, func(m memberState) bool {
		_, isMember := v.members[m.Address]
		_, hadRow := v.rows[m.Address]
		return !isMember && hadRow
	})
}

// update replaces the members by those of a read and returns the rows that are due for
// deletion. Time in which this VM could not read the store does not count towards the
// TTLs, since no VM can renew its row during an outage.
func (v *memberView) update(now time.Time, read []memberState) (expiredRows []memberState) {
	outage := now.Sub(v.lastRead) - memberPollInterval
	newRows := map[string]memberState{}
	for _, member := range read {
		member.changed = now
		if known, ok := v.rows[member.Address]; ok && known.revision == member.revision {
			member.changed = known.changed
			if outage > readTimeout {
				member.changed = member.changed.Add(outage)
			}
		}
		newRows[member.Address] = member
	}
	v.rows, v.members, v.lastRead = newRows, map[string]memberState{}, now
	for address, member := range newRows {
		switch unrenewed := now.Sub(member.changed); {
		case unrenewed < memberTTL || address == v.self.Address:
			v.members[address] = member
		case unrenewed > memberRowTTL:
			expiredRows = append(expiredRows, member)
		}
	}
	return expiredRows
}

func (l *Loop) removeMembers(ctx context.Context, members []memberState) {
	for _, member := range members {
		key := platform.Key{Table: MemberTable, Key: member.Address}
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		_, err := l.config.Store.Transact(callCtx, platform.PartitionTx{Tx: platform.Tx{
			Conditions: []platform.Condition{{Key: key, Revision: member.revision}},
			Writes:     []platform.Write{{Key: key, Delete: true}},
		}})
		cancel()
		l.noteStoreError("remove member row", err)
	}
}
