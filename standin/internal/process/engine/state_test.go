package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startTime is a fixed time, so that the tests do not depend on a clock.
var startTime = time.Unix(0, 0)

func submit(t *testing.T, s *State, program string, priority int) *Job {
	t.Helper()
	j, err := s.Submit(startTime, Request{
		Program: program, Priority: priority,
		Prompt: NewPrompt([]Message{{"user", "a b c d e f g h i j k l m n o p"}}),
	})
	require.NoError(t, err)
	return j
}

func run(s *State) {
	for range 10 * DefaultTokens {
		s.step(startTime)
	}
}

// TestPriorityOrder guards against admission that ignores priorities or reverses the
// arrival order of requests with equal priority.
func TestPriorityOrder(t *testing.T) {
	s := NewState(Config{StepTime: time.Millisecond, BatchLimit: 1, PrefillTokens: 512, Blocks: 8})
	low, first, second := submit(t, s, "low", 5), submit(t, s, "first", -1), submit(t, s, "second", -1)
	for _, want := range []*Job{first, second, low} {
		s.step(startTime)
		require.Equal(t, []*Job{want}, s.running)
		for !want.done {
			s.step(startTime)
		}
	}
}

// TestCacheStaysWithinMemory guards against more cached blocks than the capacity, and
// against evicting a program that a running request uses.
func TestCacheStaysWithinMemory(t *testing.T) {
	s := NewState(Config{StepTime: time.Millisecond, BatchLimit: 2, PrefillTokens: 512, Blocks: 5})
	submit(t, s, "pinned", 0)
	run(s)
	require.Equal(t, map[string]int{"pinned": 2}, s.Blocks())
	submit(t, s, "pinned", 0)
	s.step(startTime)
	for i := range 10 {
		s.cache.store(startTime.Add(time.Duration(i+1)), fmt.Sprint(i), []uint64{1, 2}, nil)
		require.LessOrEqual(t, s.cache.used, 5)
		require.Contains(t, s.Blocks(), "pinned")
	}
	require.Equal(t, map[string]int{"pinned": 2, "9": 2}, s.Blocks())
}

// TestDroppedEventsLeaveAGap guards against dropped events that a reader cannot detect by a
// gap in the sequence numbers.
func TestDroppedEventsLeaveAGap(t *testing.T) {
	s := NewState(Config{StepTime: time.Millisecond, BatchLimit: 2, PrefillTokens: 512, Blocks: 8})
	submit(t, s, "a", 0)
	run(s)
	s.SetFaults(startTime, Faults{DropEvents: true})
	s.Release(startTime, "a")
	s.SetFaults(startTime, Faults{})
	submit(t, s, "b", 0)
	run(s)
	events, latest := s.Events(0)
	require.Equal(t, []Event{{1, EventStored, "a", 2}, {3, EventStored, "b", 2}}, events)
	require.EqualValues(t, 3, latest)
}
