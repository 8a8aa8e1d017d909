package intake

import "time"

const (
	// headTimeFactor is the margin on the time that callers have to send a head.
	headTimeFactor = 1.5
	// maxCheckGap is the time between two checks after which the process counts as paused. It
	// is four times the usual one.
	maxCheckGap = 2 * time.Second
	// maxFormerIdle bounds the idle time of an earlier configuration. It is what applies where
	// a configuration states none.
	maxFormerIdle = 2 * time.Minute
)

// Expire decides which connections have been in a phase for too long. Load pattern:
// connections that never send a request, or never end one. Callers use connections that have
// been idle for up to four fifths of the idle time. After a pause of the process, what callers
// sent meanwhile is not read yet, so the first check closes nothing.
func (b *Budget) Expire(t Times, now time.Duration) []Yield {
	paused := now-b.checked > maxCheckGap
	b.checked, b.idle = now, t.Idle
	if paused {
		return nil
	}
	var yields []Yield
	for s := range b.senders {
		if s.yielded != NoReason {
			continue
		}
		switch {
		case s.phase == Idle && now-s.since >= s.idleTime(t):
			yields = append(yields, b.mark(s, IdleTooLong, EndRead))
		case s.phase == Head && now-s.since >= time.Duration(headTimeFactor*float64(t.Head)):
			yields = append(yields, b.mark(s, HeadTooSlow, EndRead))
		case s.phase == Body && !s.waiting && now-s.progressed >= t.Idle:
			yields = append(yields, b.mark(s, Stalled, Refuse))
		}
	}
	return yields
}

// idleTime returns how long a connection may be idle. Its caller may still use it by the idle
// time that was in force when the last request ended, if that was longer.
func (s *Sender) idleTime(t Times) time.Duration { return max(t.Idle, min(s.idle, maxFormerIdle)) }

// Drain decides which connections end while the process stops: all that are idle, except new
// ones whose first request may be on its way, for firstRequest. The others end with their
// requests.
func (b *Budget) Drain(firstRequest, now time.Duration) []Yield {
	b.draining = true
	var yields []Yield
	for s := range b.senders {
		if s.yielded == NoReason && s.phase == Idle && (s.served || now-s.since >= firstRequest) {
			yields = append(yields, b.mark(s, Stopping, EndRead))
		}
	}
	return yields
}
