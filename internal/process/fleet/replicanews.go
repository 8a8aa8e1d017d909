package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// replicaNewsLifetime is how long VMs pass on that a replica leaves or is gone. By then
	// its row says so to all VMs.
	replicaNewsLifetime = 2 * time.Second
	// maxReplicaNews bounds the news in one message, to about a kilobyte.
	maxReplicaNews = 16
)

// ReplicaNews tells other VMs about a replica that must not get requests. It travels in
// messages that are sent anyway.
type ReplicaNews struct {
	Replica string `msgpack:"r"`
	// StartedMS is the start of the replica that the news is about.
	StartedMS int64 `msgpack:"s,omitempty"`
	// Leaving is set if the replica said that it is leaving. Otherwise it is gone: nothing
	// answered at its address.
	Leaving bool `msgpack:"l,omitempty"`
	// Age is the time since a VM learned it from the replica.
	Age time.Duration `msgpack:"a"`

	at time.Time
}

// ReplicaNews returns what other VMs are to be told at now. The newest come first.
func (s *Snapshot) ReplicaNews(now time.Time) (news []ReplicaNews) {
	for _, n := range s.replicaNews {
		if n.Age = now.Sub(n.at); n.Age < replicaNewsLifetime && len(news) < maxReplicaNews {
			news = append(news, n)
		}
	}
	return news
}

// ReplicasNoticed is the event that another VM has sent news of replicas.
type ReplicasNoticed struct{ News []ReplicaNews }

// Apply implements Event.
func (e ReplicasNoticed) Apply(s *State, now time.Time) {
	for _, n := range e.News {
		n.at = now.Add(-max(0, n.Age))
		if now.Sub(n.at) >= replicaNewsLifetime || s.replicas.StartedMS(n.Replica) != n.StartedMS || !s.keepNews(now, n) {
			continue
		}
		var applied bool
		if n.Leaving {
			applied = s.replicas.MarkLeaving(now, n.Replica)
		} else {
			applied = s.replicas.Suspect(now, n.Replica)
		}
		if applied {
			s.config.Log.State("Another VM reports a replica that takes no requests", "replica", n.Replica, "leaving", n.Leaving, "age", n.Age)
		}
	}
}

// noteReplica keeps for the other VMs what this VM has learned from a replica.
func (s *State) noteReplica(now time.Time, id string, leaving bool) {
	s.keepNews(now, ReplicaNews{Replica: id, StartedMS: s.replicas.StartedMS(id), Leaving: leaving, at: now})
}

// keepNews adds news to those that are passed on. It returns false if they are known: the
// same event comes through many VMs.
func (s *State) keepNews(now time.Time, n ReplicaNews) bool {
	kept := slices.DeleteFunc(slices.Clone(s.replicaNews), func(old ReplicaNews) bool { return now.Sub(old.at) >= replicaNewsLifetime })
	for i, old := range kept {
		if old.Replica != n.Replica || old.StartedMS != n.StartedMS {
			continue
		}
		if old.Leaving || !n.Leaving {
			return false
		}
		kept = slices.Delete(kept, i, i+1)
		break
	}
	kept = append(kept, n)
	slices.SortFunc(kept, func(a, b ReplicaNews) int { return cmp.Compare(b.at.UnixNano(), a.at.UnixNano()) })
	s.replicaNews, s.unpublished = kept, true
	return true
}
