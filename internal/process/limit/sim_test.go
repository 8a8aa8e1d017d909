package limit

import (
	"fmt"
	"math/rand"
	"slices"
	"time"
)

// The simulation runs limiters and owners in steps of global time, with a network that
// loses, delays and repeats messages, and with local clocks that have an offset and
// a drift.

const (
	simStep  = 10 * time.Millisecond
	simVMs   = 10
	simDrift = 0.01 // largest relative error of a local clock
)

var simStart = time.Unix(1_000_000, 0)

type simConfig struct {
	seed        int64
	duration    time.Duration
	policy      Policy
	demand      float64 // requests/s across the fleet
	loss, dup   float64
	readLoss    float64       // fraction of the reads of the seats that fail
	pollEvery   time.Duration // interval between these reads
	maxDelay    time.Duration
	bursty      bool          // the demand of the whole fleet stops and starts
	faults      bool          // pauses, restarts, cut-off VMs, changes of owner
	policies    bool          // changes of policy
	vacancies   bool          // VMs free their seats and others take them
	handovers   bool          // the account is handed over in half of the changes of owner, in all planned ones
	planned     time.Duration // interval between planned changes of owner
	cuts        bool          // with vacancies: VMs are often cut off for a long time
	even        bool          // the same demand at each VM
	vacantSeats int           // seats that nobody holds
	// variant names the rule that is left out, as a negative control.
	variant string
}

type simVM struct {
	name        string
	limiter     *Limiter
	incarnation uint64
	offset      time.Duration
	drift       float64
	pausedUntil time.Duration
	cutUntil    time.Duration
	view        int // index of the owner that the VM asks
	weight      float64
	arrivals    []simArrival // waiting requests, in order
	static      float64      // level of a bucket with the VM's static share of the policy
	policy      Policy
	setAt       time.Duration
	setPolicy   *Policy
	vacantFrom  time.Duration // the seat has no holder from this time
	joinsAt     time.Duration // until this time
	wake        time.Time     // the limiter's next deadline; zero after a message or a change of policy
	appliesAt   time.Duration // when the new VM learns that it holds the seat
}

// simArrival is a request that waits for tokens.
type simArrival struct {
	id    uint64
	at    time.Duration
	naive bool // the naive bucket admitted it
}

// inactive reports whether the seat has no holder, or one that does not admit yet.
func (v *simVM) inactive(t time.Duration) bool { return t >= v.vacantFrom && t < v.appliesAt }

type simOwner struct {
	owner       *Owner
	offset      time.Duration
	drift       float64
	stop        time.Duration // end of its lease
	pausedUntil time.Duration
	account     *Account // of the previous owner, in a planned handover; nil after Adopt
	accountAt   time.Duration
	accountAsk  time.Time
	vacancies   Vacancies
	reads       []simRead
	pollAt      time.Duration
}

// simRead is a read of the seats with the times when it is sent, answered by the
// store and applied by the owner.
type simRead struct {
	sentAt              time.Time
	answered, appliesAt time.Duration
	vacant              int // -1 before the answer
}

// simMessage is an ask, a grant or a recall.
type simMessage struct {
	recall      bool
	at          time.Duration
	vm          int
	incarnation uint64
	owner       int
	ask         *Ask // nil for a grant and a recall
	grant       Grant
	askedAt     time.Time
}

type simResult struct {
	arrivals, admitted, naive, static int
	wrongful                          int // refused by the fleet although the naive bucket admits
	staticWrongful                    int
	waited                            int           // admitted after a wait
	wait                              time.Duration // sum of these waits
	violation                         string        // describes an admission above the bound
	spendable                         string        // describes a moment with more tokens than the naive bucket has
}

type sim struct {
	cfg      simConfig
	rng      *rand.Rand
	demand   *rand.Rand // separate from rng, so that every variant gets the same arrivals
	now      time.Duration
	vms      []*simVM
	owners   []*simOwner
	messages []simMessage
	spare    []simMessage  // the buffer that messages had before the last deliver
	check    bucket        // bucket of the bound: every admission must find a token in it
	asks     int           // number of asks sent
	naive    bucket        // single bucket for the whole fleet with the same arrivals
	recent   []timedPolicy // policies in the order of acceptance
	res      simResult
	warm     time.Duration   // arrivals before this time are not counted
	changeAt time.Duration   // of the owner
	policyAt time.Duration   // of the next change of policy
	admitted []time.Duration // times of all admissions
	activeTo time.Duration   // with bursty: there is demand until this time
	silentTo time.Duration   // with bursty: the pause after activeTo ends at this time
}

type timedPolicy struct {
	p           Policy
	first, last time.Duration // when it was accepted; until when it may be in force at some VM
}

// bucket is a plain token bucket.
type bucket struct {
	level, rate, burst float64
	at                 time.Duration
}

func (b *bucket) refill(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

func (b *bucket) take(now time.Duration) bool {
	b.refill(now)
	if b.level < 1-1e-6 {
		return false
	}
	b.level--
	return true
}

func localTime(t, offset time.Duration, drift float64) time.Time {
	return simStart.Add(offset + t + time.Duration(drift*float64(t)))
}

func (v *simVM) clock(t time.Duration) time.Time    { return localTime(t, v.offset, v.drift) }
func (o *simOwner) clock(t time.Duration) time.Time { return localTime(t, o.offset, o.drift) }

func newSim(cfg simConfig) *sim {
	if cfg.pollEvery == 0 {
		cfg.pollEvery = time.Second
	}
	s := &sim{cfg: cfg, rng: rand.New(rand.NewSource(cfg.seed)), demand: rand.New(rand.NewSource(cfg.seed + 1)), warm: 15 * time.Second}
	s.recent = []timedPolicy{{cfg.policy, -time.Hour, cfg.duration * 2}}
	drift := 0.0
	if cfg.faults {
		drift = simDrift
	}
	s.check = bucket{level: cfg.policy.Burst, rate: cfg.policy.Rate * (1 + drift), burst: cfg.policy.Burst}
	s.naive = bucket{level: cfg.policy.Burst, rate: cfg.policy.Rate, burst: cfg.policy.Burst}
	total := 0.0
	for i := range cfg.policy.Seats {
		v := &simVM{name: fmt.Sprint("vm", i), weight: 1 / float64((i+1)*(i+1)), policy: cfg.policy}
		if cfg.even {
			v.weight = 1
		}
		total += v.weight
		v.offset, v.drift = s.skew()
		v.vacantFrom = 1 << 60
		s.vms = append(s.vms, v)
		s.restart(i)
		if i >= cfg.policy.Seats-cfg.vacantSeats {
			v.vacantFrom, v.joinsAt, v.appliesAt = 0, 1<<60, 1<<60
		}
	}
	for _, v := range s.vms {
		v.weight /= total
	}
	s.changeOwner()
	s.changeAt = s.random(5*time.Second, 25*time.Second)
	s.policyAt = s.random(5*time.Second, 25*time.Second)
	return s
}

func (s *sim) random(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int63n(int64(to-from)))
}

// skew returns the random offset and drift of a local clock.
func (s *sim) skew() (time.Duration, float64) {
	if !s.cfg.faults {
		return 0, 0
	}
	return s.random(0, time.Hour), (s.rng.Float64()*2 - 1) * simDrift
}

// restart starts a new incarnation of a VM.
func (s *sim) restart(i int) {
	v := s.vms[i]
	v.incarnation++
	v.offset, v.drift = s.skew()
	v.limiter = NewLimiter(v.policy, v.clock(s.now), v.clock(s.now).Add(FallbackDelay))
	if s.cfg.variant == "no fallback delay" {
		v.limiter.fallbackFrom = v.clock(s.now)
	}
	v.limiter.VM, v.limiter.Incarnation = v.name, v.incarnation
	v.arrivals, v.wake = nil, time.Time{}
}

// changeOwner stops the current owner and starts the next one, whose quiet time
// begins at the end of the previous owner's lease.
func (s *sim) changeOwner() {
	o := &simOwner{stop: 1 << 60}
	o.offset, o.drift = s.skew()
	quiet := s.now
	if n := len(s.owners); n > 0 {
		s.owners[n-1].stop = s.now
		if s.cfg.variant != "new owner starts full" {
			quiet += GrantLifetime + ClockMargin
		}
	}
	policy := s.recent[len(s.recent)-1]
	o.owner = NewOwner(policy.p, o.clock(policy.first), o.clock(quiet))
	o.owner.SetEpoch(uint64(len(s.owners) + 1))
	if n := len(s.owners); n > 0 && s.cfg.handovers && (s.cfg.planned > 0 || s.rng.Float64() < 0.5) {
		last := s.owners[n-1]
		a, ok := last.owner.Account(last.clock(s.now))
		if s.cfg.variant == "handover without tokens" {
			a.Tokens = nil
		}
		if ok {
			o.account = &a
		}
		o.accountAt = s.now + s.random(0, 4*time.Second)
		if s.cfg.planned > 0 {
			o.accountAt = s.now + s.random(0, 50*time.Millisecond)
		}
		o.accountAsk = o.clock(s.now - s.random(0, time.Second))
	}
	if s.cfg.variant == "new owner starts full" && len(s.owners) > 0 {
		o.owner.counted, o.owner.level = s.cfg.policy.Seats, s.cfg.policy.Burst
		for i := range s.vms {
			m := &member{incarnation: s.vms[i].incarnation, countedUntil: o.clock(s.now + RegistrationTTL), deleteAt: o.clock(s.now + time.Hour)}
			o.owner.members[s.vms[i].name] = m
			o.owner.expireBy(m.countedUntil)
		}
	}
	s.owners = append(s.owners, o)
}

func (s *sim) run() simResult {
	for s.now = 0; s.now < s.cfg.duration && s.res.violation == ""; s.now += simStep {
		if s.cfg.bursty && s.now >= s.silentTo {
			s.activeTo = s.now + s.random(0, 4*time.Second)
			s.silentTo = s.activeTo + s.random(0, 6*time.Second)
		}
		s.faults()
		s.poll()
		s.deliver()
		for i := range s.vms {
			s.stepVM(i)
		}
		s.checkSpendable()
	}
	s.checkWindows()
	return s.res
}

// send loses, repeats and delays the message at random.
func (s *sim) send(m simMessage) {
	v := s.vms[m.vm]
	if v.cutUntil > s.now || v.inactive(s.now) || s.rng.Float64() < s.cfg.loss {
		return
	}
	copies := 1
	if s.rng.Float64() < s.cfg.dup {
		copies = 2
	}
	for range copies {
		m.at = s.now + s.random(time.Millisecond, 3*time.Millisecond)
		if s.cfg.maxDelay > 0 && s.rng.Float64() < 0.1 {
			m.at = s.now + s.random(0, s.cfg.maxDelay)
		}
		s.messages = append(s.messages, m)
	}
}

// deliver handles the messages that have arrived and whose receiver is not paused.
func (s *sim) deliver() {
	waiting := s.messages
	s.messages, s.spare = s.spare[:0], waiting
	for i := range waiting {
		m := &waiting[i]
		v, o := s.vms[m.vm], s.owners[m.owner]
		switch {
		case m.at > s.now || m.ask == nil && v.pausedUntil > s.now || m.ask != nil && o.pausedUntil > s.now:
			s.messages = append(s.messages, *m)
		case m.ask != nil && s.now < o.stop:
			g := o.owner.Ask(o.clock(s.now), *m.ask)
			if s.cfg.variant == "outstanding not counted" {
				o.owner.granted = 0
				o.owner.members[m.ask.VM].outstanding = 0
			}
			s.send(simMessage{vm: m.vm, incarnation: m.incarnation, owner: m.owner, grant: g, askedAt: m.askedAt})
			if o.owner.Recall(o.clock(s.now)) {
				s.recall(m.owner)
			}
		case m.recall:
			v.limiter.Recall()
			v.wake = time.Time{}
		case m.ask == nil && m.incarnation == v.incarnation && !v.inactive(s.now):
			v.limiter.Granted(v.clock(s.now), m.askedAt, m.grant)
			v.wake = time.Time{}
			if s.cfg.variant == "fallback kept" {
				v.limiter.fallbackFrom = v.clock(0)
			}
		}
	}
}

// recall tells the VMs that the owner does not count to register.
func (s *sim) recall(owner int) {
	o := s.owners[owner]
	for i, v := range s.vms {
		if !o.owner.Counts(o.clock(s.now), v.name) {
			s.send(simMessage{vm: i, owner: owner, recall: true})
		}
	}
}

// vacant returns the number of seats without a holder now.
func (s *sim) vacant() int {
	n := 0
	for _, v := range s.vms {
		if s.now >= v.vacantFrom && s.now < v.joinsAt {
			n++
		}
	}
	return n
}

// poll applies a handed-over account and makes the owners read the seats every
// pollEvery (one second unless set); the fraction readLoss of the reads fails (one
// in ten with all faults).
func (s *sim) poll() {
	if o := s.owners[len(s.owners)-1]; o.account != nil && s.now >= o.accountAt && o.pausedUntil <= s.now {
		o.owner.Adopt(o.clock(s.now), o.accountAsk, *o.account)
		o.account = nil
	}
	for _, o := range s.owners {
		if s.now >= o.stop || o.pausedUntil > s.now {
			continue
		}
		if s.now >= o.pollAt {
			o.pollAt = s.now + s.cfg.pollEvery
			if s.rng.Float64() >= s.cfg.readLoss {
				answered := s.now + s.random(0, 300*time.Millisecond)
				o.reads = append(o.reads, simRead{o.clock(s.now), answered, answered + s.random(0, 300*time.Millisecond), -1})
			}
		}
		kept := o.reads[:0]
		for _, r := range o.reads {
			if r.vacant < 0 && r.answered <= s.now {
				r.vacant = s.vacant() + s.recent[len(s.recent)-1].p.Seats - len(s.vms)
			}
			if r.vacant < 0 || r.appliesAt > s.now {
				kept = append(kept, r)
				continue
			}
			now := o.clock(s.now)
			o.vacancies.Observe(r.sentAt, s.recent[len(s.recent)-1].p.Seats, r.vacant)
			vacant, until := o.vacancies.Count()
			if s.cfg.variant == "vacancy at once" {
				vacant, until = r.vacant, r.sentAt.Add(RegistrationTTL)
			}
			o.owner.SetVacant(now, vacant, until)
		}
		o.reads = kept
	}
}

// stepVM runs one step of a VM: its policy, its arrivals and its limiter.
func (s *sim) stepVM(i int) {
	v := s.vms[i]
	n := s.poisson(s.cfg.demand * v.weight * simStep.Seconds())
	if s.cfg.bursty && s.now >= s.activeTo {
		n = 0
	}
	if v.pausedUntil > s.now || v.inactive(s.now) {
		return
	}
	now := v.clock(s.now)
	if v.setPolicy != nil && v.setAt <= s.now {
		v.policy, v.setPolicy = *v.setPolicy, nil
		v.limiter.SetPolicy(now, v.policy)
		v.wake = time.Time{}
	}
	due := n > 0 || !now.Before(v.wake)
	if due {
		s.admit(v, now)
	}
	s.dropArrivals(v)
	v.static = min(v.policy.Burst/float64(v.policy.Seats), v.static+v.policy.Rate/float64(v.policy.Seats)*simStep.Seconds())
	for range n {
		s.arrive(v, now)
	}
	if !due {
		return // like the control loop, which sleeps until the deadline
	}
	if a, ok := v.limiter.NextAsk(now); ok {
		s.asks++
		s.send(simMessage{vm: i, incarnation: v.incarnation, owner: v.view, ask: &a, askedAt: now})
	}
	v.wake = v.limiter.NextDeadline()
	if !v.wake.After(now) {
		s.res.violation = fmt.Sprintf("%s has a deadline that has passed after its step at %v, so its timer would spin", v.name, s.now)
	}
}

// arrive offers one request to the limiter, the naive bucket and the static share.
func (s *sim) arrive(v *simVM, now time.Time) {
	naive := s.naive.take(s.now)
	static := v.static >= 1
	if static {
		v.static--
	}
	if s.now >= s.warm {
		s.res.arrivals++
		if naive {
			s.res.naive++
		}
		if static {
			s.res.static++
		} else if naive {
			s.res.staticWrongful++
		}
	}
	if ok, _ := v.limiter.Take(now, 1); ok {
		s.record(s.now)
		return
	}
	id := v.limiter.Wait(now, 1, now.Add(MaxWait))
	v.arrivals = append(v.arrivals, simArrival{id, s.now, naive})
}

// admit records the waiting requests that the limiter admits.
func (s *sim) admit(v *simVM, now time.Time) {
	for _, id := range v.limiter.Admit(now) {
		i := slices.IndexFunc(v.arrivals, func(a simArrival) bool { return a.id == id })
		at := v.arrivals[i].at
		s.record(at)
		if at >= s.warm {
			s.res.waited++
			s.res.wait += s.now - at
		}
		v.arrivals = slices.Delete(v.arrivals, i, i+1)
	}
}

// dropArrivals removes the requests whose wait has ended and counts the wrongful
// refusals among them.
func (s *sim) dropArrivals(v *simVM) {
	for len(v.arrivals) > 0 && s.now > v.arrivals[0].at+MaxWait+2*simStep {
		if v.arrivals[0].at >= s.warm && v.arrivals[0].naive {
			s.res.wrongful++
		}
		v.arrivals = v.arrivals[1:]
	}
}

// record counts one admission and checks it against the bound.
func (s *sim) record(arrived time.Duration) {
	if arrived >= s.warm {
		s.res.admitted++
	}
	s.admitted = append(s.admitted, s.now)
	if !s.check.take(s.now) && s.res.violation == "" {
		s.res.violation = fmt.Sprintf("admission %d at %v exceeds the bound", len(s.admitted), s.now)
	}
}

// poisson returns a Poisson-distributed number of arrivals.
func (s *sim) poisson(mean float64) int {
	n, sum := 0, s.demand.ExpFloat64()
	for sum < mean {
		n++
		sum += s.demand.ExpFloat64()
	}
	return n
}
