// Package intake bounds the memory and the connections that callers take before and while
// their requests run. Operators open the system to clients that they do not control; without
// this bound, heads that are expensive to parse, many large bodies at a time, bodies that
// stop just short of their end, and connections without requests end the process.
//
// Budget, the files yield.go, expire.go and limits.go are pure: time is an argument. Intake
// adds the lock, the waits and the counts.
package intake

import (
	"net/netip"
	"time"
)

// Phase says what a connection does.
type Phase uint8

// The phases of a connection.
const (
	Idle    Phase = iota // no byte of a request has arrived since the last one
	Head                 // a head is being received
	Body                 // a body is being received
	Running              // the request is being served; it may have reached a replica
	Closing              // the last answer was written; the caller is given time to read it
)

// String returns the name of a phase in logs and metrics.
func (p Phase) String() string {
	return [...]string{"idle", "head", "body", "running", "closing"}[p]
}

// Reason says which limit closed a connection or refused a request.
type Reason string

// The limits that close or refuse.
const (
	NoReason       Reason = ""
	TooManyOpen    Reason = "connections"         // the limit of connections
	AddressOpen    Reason = "address_connections" // the limit of connections of an address
	NoMemory       Reason = "memory"              // the memory budget
	AddressMemory  Reason = "address_memory"      // the memory budget of an address
	Stalled        Reason = "stalled"             // a sender that stopped, or sends too slowly
	IdleTooLong    Reason = "idle_time"
	HeadTooSlow    Reason = "head_time"
	HeadTooLarge   Reason = "head_size"
	Stopping       Reason = "stopping"    // the process stops, or the connection was to end before its last request
	EmptyLines     Reason = "empty_lines" // empty lines before a request
	BodyTooLarge   Reason = "body_size"
	ForwardMemory  Reason = "forward_memory"  // the memory budget, for a request of another VM
	UnreadResponse Reason = "unread_response" // a caller that does not read
	AnswerAborted  Reason = "answer_aborted"  // an answer that was begun ends early
	ClosedByServer Reason = "closed"          // the server has closed the connection; not counted
)

// progressBytes is what a sender has to send to count as making progress, so that single
// bytes do not keep a large body in memory.
const progressBytes = 4 << 10

// Sender is a connection of a caller with what it holds. It belongs to one Budget.
type Sender struct {
	address netip.Addr
	phase   Phase
	charged int64 // of the request that is received or runs
	head    int64 // the part of charged that is kept until the connection goes on
	// since is the begin of the phase Idle, otherwise that of the request.
	since time.Duration
	// progressed is when the sender last made progress, and received what it sent after that.
	progressed time.Duration
	received   int
	waiting    bool // for room, so that it cannot make progress
	// yielded is the limit for which the sender has to give up what it holds.
	yielded Reason
	// ending is set while the connection was chosen between two requests. A request whose first
	// bytes have been read by then is served, and closeAfterRequest is set: the connection ends after it.
	ending, closeAfterRequest bool
	// idle is the idle time that was in force when the last request ended.
	idle   time.Duration
	open   bool // counts as an open connection
	served bool // has sent a whole request
	holder Holder
}

// Holder is the connection of a Sender. No method blocks. EndRead and Resume are called with
// the lock of the Intake, and call none of its methods.
type Holder interface {
	// Interrupt ends the receipt of a request, so that a refusal can be written.
	Interrupt()
	// Abandon closes the connection at once.
	Abandon()
	// EndRead makes the goroutine that reads the connection close it, unless that goroutine has
	// read or still finds bytes.
	EndRead()
	// Resume undoes EndRead for one more request.
	Resume()
}

// addressUse is what the connections of an address hold.
type addressUse struct {
	large   int64
	open    int
	senders int
}

// Budget accounts for what callers hold.
type Budget struct {
	limits    Limits
	senders   map[*Sender]struct{}
	addresses map[netip.Addr]*addressUse
	open      int
	total     int64         // charged to all senders
	large     int64         // charged to senders of large requests
	yielding  int64         // charged to senders that have yielded
	checked   time.Duration // the last check of Expire
	idle      time.Duration // the idle time in force at that check
	draining  bool          // the process stops, so connections end with their requests
}

// NewBudget returns an empty budget.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, senders: map[*Sender]struct{}{}, addresses: map[netip.Addr]*addressUse{}}
}

// add changes the charge of a sender. A sender that was removed holds nothing.
func (b *Budget) add(s *Sender, bytes int64) {
	if bytes == 0 {
		return
	}
	before := s.largeCharge()
	s.charged += bytes
	change := s.largeCharge() - before
	b.total += bytes
	b.large += change
	b.addresses[s.address].large += change
	if s.yielded != NoReason {
		b.yielding += bytes
	}
}

// largeCharge returns the charge of a large request, 0 for a small one.
func (s *Sender) largeCharge() int64 {
	if s.charged > smallBytes {
		return s.charged
	}
	return 0
}

// insert adds a connection that has been admitted.
func (b *Budget) insert(s *Sender) {
	b.senders[s] = struct{}{}
	use := b.addresses[s.address]
	if use == nil {
		use = &addressUse{}
		b.addresses[s.address] = use
	}
	use.senders++
	use.open++
	s.open = true
	b.open++
}

// closed takes a connection out of the count of open ones.
func (b *Budget) closed(s *Sender) {
	if s.open {
		s.open = false
		b.open--
		b.addresses[s.address].open--
	}
}

// reopened undoes closed.
func (b *Budget) reopened(s *Sender) {
	s.open = true
	b.open++
	b.addresses[s.address].open++
}

// Remove ends a connection and releases what it holds. A stopping server closes connections
// while requests are received on them: what they ask for afterwards is refused.
func (b *Budget) Remove(s *Sender) {
	if _, ok := b.senders[s]; !ok {
		return
	}
	b.closed(s)
	b.add(s, -s.charged)
	delete(b.senders, s)
	s.yielded, s.ending = ClosedByServer, false
	if use := b.addresses[s.address]; use.senders > 1 {
		use.senders--
	} else {
		delete(b.addresses, s.address)
	}
}

// BeginHead notes the first byte of a request. It returns false if the connection has been
// given up meanwhile.
func (b *Budget) BeginHead(s *Sender, now time.Duration) bool {
	if !b.takeBack(s) {
		return false
	}
	s.phase, s.since, s.progressed, s.received, s.waiting = Head, now, now, 0, false
	return true
}

// BeginBody notes that a head has been parsed and takes head bytes. Charge takes them
// afterwards in place of what was charged while the head was received.
func (b *Budget) BeginBody(s *Sender, head int64, now time.Duration) bool {
	if !b.takeBack(s) {
		return false
	}
	if s.phase == Idle { // the whole head was received together with the request before it
		s.since = now
	}
	s.phase, s.progressed = Body, now
	b.add(s, -s.charged)
	s.head = head
	return true
}

// Run notes that a request has been received and is going to be served. A request whose
// sender has yielded must not be.
func (b *Budget) Run(s *Sender) bool {
	if s.yielded != NoReason {
		return false
	}
	s.phase, s.served = Running, true
	return true
}

// Answered notes that a request has been answered. Its head is kept until End.
func (b *Budget) Answered(s *Sender) { b.add(s, -max(0, s.charged-s.head)) }

// End notes that the connection waits for the next request, and returns whether it ends.
func (b *Budget) End(s *Sender, now time.Duration) []Yield {
	b.add(s, -s.charged)
	s.phase, s.since, s.idle = Idle, now, b.idle
	if (b.draining || s.closeAfterRequest) && s.yielded == NoReason {
		return []Yield{b.mark(s, Stopping, EndRead)}
	}
	return nil
}

// Linger notes that a connection is only kept until the caller has read the last answer.
func (b *Budget) Linger(s *Sender) { s.phase = Closing }

// Take charges bytes that belong to no connection of a caller: a body that is forwarded for
// another VM. Nobody yields for it, since another VM may have room.
func (b *Budget) Take(bytes int64) bool {
	general := b.limits.Bytes - b.limits.Reserved
	if b.total+bytes > b.limits.Bytes || b.large+bytes > general {
		return false
	}
	b.total += bytes
	b.large += bytes
	return true
}

// Return releases bytes of Take.
func (b *Budget) Return(bytes int64) {
	b.total -= bytes
	b.large -= bytes
}
