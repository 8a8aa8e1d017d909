package limit

import "time"

// Vacancies derives from the reads of the seat rows how many vacant seats an owner
// may count.
type Vacancies struct {
	seats int
	reads []vacancyRead
}

type vacancyRead struct {
	at     time.Time // taken before the read was sent
	vacant int
}

// Observe records the number of vacant seats among all seats in a read that was
// sent at readAt. The observation starts again after a change of the number of
// seats, and after a gap between reads in which a VM could have joined and left.
// Reads that are not newer than the last one are ignored.
func (v *Vacancies) Observe(readAt time.Time, seats, vacant int) {
	if n := len(v.reads); n > 0 {
		last := v.reads[n-1].at
		switch {
		case seats != v.seats || readAt.Sub(last) > RegistrationTTL:
			v.reads = nil
		case !readAt.After(last):
			return
		}
	}
	v.seats = seats
	v.reads = append(v.reads, vacancyRead{at: readAt, vacant: vacant})
	// The newest read that is at least FallbackDelay old stays: it shows that
	// the reads cover FallbackDelay.
	for len(v.reads) > 1 && readAt.Sub(v.reads[1].at) >= FallbackDelay {
		v.reads = v.reads[1:]
	}
}

// Count returns the number of vacant seats that an owner may count, and until
// when. It is 0 until the reads cover FallbackDelay.
func (v *Vacancies) Count() (vacant int, until time.Time) {
	n := len(v.reads)
	if n == 0 || v.reads[n-1].at.Sub(v.reads[0].at) < FallbackDelay {
		return 0, time.Time{}
	}
	vacant = v.reads[0].vacant
	for _, r := range v.reads[1:] {
		vacant = min(vacant, r.vacant)
	}
	return vacant, v.reads[n-1].at.Add(RegistrationTTL)
}
