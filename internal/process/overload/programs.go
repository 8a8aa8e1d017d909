package overload

import "time"

const (
	// programMemory is how long an admitted program is remembered after its last turn at
	// this VM, at least.
	programMemory = 30 * time.Second
	// maxPrograms bounds the programs remembered for one programMemory, about 400 KB. A VM
	// that gets more forgets the oldest ones early.
	maxPrograms = 4096
)

// programKey identifies a program. Customers may use the same ids.
type programKey struct{ customer, program string }

// admittedPrograms remembers the programs in progress. On routes whose turns don't name
// the turn that they continue, the turns of a program come through changing VMs, so an
// unknown id may belong to a program that another VM has admitted.
type admittedPrograms struct {
	present, previous map[programKey]struct{}
	rotatedAt         time.Time
	// longest is the longest stated time of the programs of each kind, in the present and
	// the previous period.
	longest, longestBefore map[string]time.Duration
}

func newAdmittedPrograms() admittedPrograms {
	return admittedPrograms{present: map[programKey]struct{}{}, longest: map[string]time.Duration{}}
}

func (p *admittedPrograms) rotate(now time.Time) {
	if now.Sub(p.rotatedAt) < programMemory && len(p.present) < maxPrograms {
		return
	}
	p.rotatedAt = now
	p.previous, p.present = p.present, map[programKey]struct{}{}
	p.longestBefore, p.longest = p.longest, map[string]time.Duration{}
}

// observe notes the stated time of a request's program.
func (p *admittedPrograms) observe(now time.Time, r Request) {
	p.rotate(now)
	p.longest[r.Kind] = max(p.longest[r.Kind], r.TimeLeft)
}

func (p *admittedPrograms) admit(now time.Time, r Request) {
	if r.Program != "" {
		p.rotate(now)
		p.present[programKey{r.Customer, r.Program}] = struct{}{}
	}
}

func (p *admittedPrograms) admitted(r Request) bool {
	key := programKey{r.Customer, r.Program}
	_, known := p.present[key]
	if !known {
		_, known = p.previous[key]
	}
	return known
}

// earliestStart returns when the program of a request may have begun: no program of its
// kind states a longer time than the longest seen, so the program has used the difference
// at most. Without a stated time, the program may have begun at any time.
func (p *admittedPrograms) earliestStart(now time.Time, r Request) time.Time {
	if r.TimeLeft <= 0 {
		return time.Time{}
	}
	return now.Add(r.TimeLeft - max(p.longest[r.Kind], p.longestBefore[r.Kind]))
}
