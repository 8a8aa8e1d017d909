package engine

import (
	"slices"
	"time"
)

// SetFaults replaces all injected faults.
func (s *State) SetFaults(now time.Time, f Faults) {
	s.faults = f
	s.cache.dropEvents = f.DropEvents
	s.nextStep = now.Add(s.config.StepTime)
}

// Release drops a program's blocks and returns their number. Requests of the program that
// are still in the engine store nothing when they end; otherwise an ended program would
// occupy memory.
func (s *State) Release(now time.Time, program string) (blocks int) {
	if e := s.cache.entries[program]; e != nil {
		blocks = len(e.hashes)
	}
	s.cache.remove(program)
	for _, j := range slices.Concat(s.waiting, s.running) {
		if j.request.Program == program {
			j.released = true
		}
	}
	s.publish(now)
	return blocks
}

// Blocks returns the number of cached blocks by program.
func (s *State) Blocks() map[string]int {
	blocks := map[string]int{}
	for program, e := range s.cache.entries {
		blocks[program] = len(e.hashes)
	}
	return blocks
}

// Events returns the retained events after a sequence number, and the latest sequence
// number.
func (s *State) Events(since uint64) (events []Event, latest uint64) {
	events = []Event{}
	for _, e := range s.cache.events {
		if e.Sequence > since {
			events = append(events, e)
		}
	}
	return events, s.cache.sequence
}

// Load returns the load as published, that is, with its lag.
func (s *State) Load(now time.Time) Load { return s.load.Get(now, s.loadLag()) }

func (s *State) loadLag() time.Duration {
	return time.Duration(s.faults.LoadLagMS) * time.Millisecond
}

func (s *State) publish(now time.Time) {
	s.load.Set(now, s.loadLag(), Load{
		Running: len(s.running), Waiting: len(s.waiting), BatchLimit: s.config.BatchLimit,
		CachedBlocks: s.cache.used, TotalBlocks: s.cache.capacity,
		Models: s.models, Role: s.role, Fence: s.fence,
	})
}

// ApplyOrder applies an order. If CheckFence is set, it refuses an order whose fencing number
// is lower than the highest one seen; otherwise it applies every order.
func (s *State) ApplyOrder(now time.Time, o Order) error {
	if s.config.CheckFence && o.Fence < s.fence {
		return ErrOldFence
	}
	switch o.Kind {
	case OrderLoad:
		if !slices.Contains(s.models, o.Model) {
			s.models = append(slices.Clone(s.models), o.Model)
		}
	case OrderUnload:
		s.models = slices.DeleteFunc(slices.Clone(s.models), func(m string) bool { return m == o.Model })
	case OrderRole:
		s.role = o.Role
	default:
		return ErrUnknownOrder
	}
	s.fence = o.Fence
	s.publish(now)
	return nil
}
