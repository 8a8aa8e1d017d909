package ownership

// Map holds the last read owner of every slot. In the zero value no slot has an
// owner.
type Map struct {
	owners [SlotCount]Owner
}

// Transfer is the assignment of a slot to another member.
type Transfer struct {
	Slot Slot
	To   string
}

// Set records a slot row unless the same or a later revision is known. It reports
// whether it recorded the row.
func (m *Map) Set(s Slot, o Owner) bool {
	if o.Revision <= m.owners[s].Revision {
		return false
	}
	m.owners[s] = o
	return true
}

// Owner returns the owner of a slot. Its Member is empty if the slot has none.
func (m *Map) Owner(s Slot) Owner { return m.owners[s] }

// OwnedBy returns the slots that a member owns, in ascending order.
func (m *Map) OwnedBy(member string) []Slot {
	var slots []Slot
	for s := range m.owners {
		if m.owners[s].Member == member {
			slots = append(slots, Slot(s))
		}
	}
	return slots
}

// Orphans returns the slots whose owner is not among the members, and those without
// an owner. A member row is deleted only after the member's lease has expired or
// after a handover, so these slots may be claimed at once.
func (m *Map) Orphans(members map[string]bool) []Slot {
	var slots []Slot
	for s := range m.owners {
		if !members[m.owners[s].Member] {
			slots = append(slots, Slot(s))
		}
	}
	return slots
}

// slotCounts returns how many slots each of the members owns.
func (m *Map) slotCounts(members []string) map[string]int {
	n := make(map[string]int, len(members))
	for _, member := range members {
		n[member] = 0
	}
	for s := range m.owners {
		if _, ok := n[m.owners[s].Member]; ok {
			n[m.owners[s].Member]++
		}
	}
	return n
}

// pickReceivers returns the members that receive n slots one after another. Each
// slot goes to the member with the fewest slots, to the earlier one on a tie.
func pickReceivers(members []string, counts map[string]int, n int) []string {
	have := make([]int, len(members))
	for i, member := range members {
		have[i] = counts[member]
	}
	receivers := make([]string, 0, n)
	for range n {
		least := 0
		for i := range have {
			if have[i] < have[least] {
				least = i
			}
		}
		have[least]++
		receivers = append(receivers, members[least])
	}
	return receivers
}

// Spread assigns the slots to the members with the fewest slots. members must be in
// ascending order, so that every member computes the same transfers.
func (m *Map) Spread(slots []Slot, members []string) []Transfer {
	if len(members) == 0 || len(slots) == 0 {
		return nil
	}
	transfers := make([]Transfer, len(slots))
	for i, to := range pickReceivers(members, m.slotCounts(members), len(slots)) {
		transfers[i] = Transfer{Slot: slots[i], To: to}
	}
	return transfers
}

// ExcessTransfers plans the handovers of a member that owns more than its even part
// of the slots. Every member computes the plan of the whole fleet, in the ascending
// order of members, and returns its own part, so that several members do not hand
// over slots to fill the same gap.
func (m *Map) ExcessTransfers(self string, members []string) []Transfer {
	if len(members) == 0 {
		return nil
	}
	own := m.OwnedBy(self)
	high := (SlotCount + len(members) - 1) / len(members)
	if len(own) <= high {
		return nil // the usual case, without the cost of a plan
	}
	n := m.slotCounts(members)
	before, total := 0, 0
	for _, member := range members {
		if member == self {
			before = total
		}
		total += max(0, n[member]-high)
	}
	part := pickReceivers(members, n, total)[before : before+len(own)-high]
	transfers := make([]Transfer, len(part))
	for i, to := range part {
		transfers[i] = Transfer{Slot: own[i], To: to}
	}
	return transfers
}
