package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

const (
	// maxReadFailures is the number of consecutive failures after which a shared read ends. Each
	// page that arrives starts the count anew.
	maxReadFailures = 4
	// abandonedReadTime is how long a shared read goes on without a request that waits for it:
	// a caller that was refused returns within this time and finds what was read.
	abandonedReadTime = 2 * time.Second
	// pageTimeout bounds a read of a page, of which callTimeout is for the beginning of the reply. On
	// a slow VM a page of 1 MB takes longer than callTimeout to arrive and to be decoded.
	pageTimeout = callTimeout + time.Second
	// firstReducedPage is the number of rows of a page after the first page that did not arrive
	// in time. It halves with each further one, so that a page arrives in the end on a slow VM.
	firstReducedPage = 8
	// maxKnownLarge bounds the number of groups that are known to exceed a page.
	maxKnownLarge = 4096
)

// sharedRead is a read of rows for which any number of requests wait. It belongs to the process:
// the end of a request's wait does not end it, so that the next try goes on where it has come to.
type sharedRead struct {
	done chan struct{} // closed after result, more and err are set
	// turns are the turns that were read, by id.
	turns map[string]StoredTurn
	more  bool // rows of the range follow
	err   error
	stats readStats

	// The ledger's mu guards what follows.
	lastErr   error // why the last call failed; nil once one has succeeded
	waiting   int
	abandoned time.Time // when the last waiting request left; valid while waiting is 0
}

// readStats says what reads cost and where their time went.
type readStats struct {
	Calls int
	// Bytes are those of the rows' values.
	Bytes int64
	// Call is the time in calls to the store, Decode the time to decode the rows.
	Call, Decode time.Duration
	// Shared is the number of reads that another request had begun.
	Shared int
}

func (s *readStats) add(o readStats) {
	s.Calls += o.Calls
	s.Bytes += o.Bytes
	s.Call += o.Call
	s.Decode += o.Decode
	s.Shared += o.Shared
}

// rowRange is a range of the rows of a group that is read as one.
type rowRange struct {
	group    turntree.Group
	from, to string
	maxPages int // the read ends after this number of the store's replies; 0 for no limit
}

func turnRange(g turntree.Group, id string) rowRange {
	key := turnKey(g, id)
	return rowRange{group: g, from: key, to: key + afterChunks}
}

// groupRange selects a group, with its account, up to the given number of pages.
func groupRange(g turntree.Group, maxPages int) rowRange {
	return rowRange{group: g, from: string(g), to: string(g) + "0", maxPages: maxPages}
}

// reducedPage returns the number of rows of the next page after one with the given number did
// not arrive in time; 0 stands for as many as the store sends.
func reducedPage(rows int) int {
	if rows == 0 {
		return firstReducedPage
	}
	return max(1, rows/2)
}

// readShared reads a range of rows, together with all other requests that want the same range.
// joined is set if the read had begun before, so that it may lack rows that were stored since.
// The failure of a read that was joined is not the request's own: it is made once more.
func (l *Ledger) readShared(ctx context.Context, rows rowRange, stats *readStats) (read *sharedRead, joined bool, err error) {
	for again := true; ; again = false {
		read, joined, err = l.joinRead(ctx, rows, stats)
		if err == nil || ctx.Err() != nil || !joined || !again && !errors.Is(err, errAbandoned) {
			return read, joined, err
		}
	}
}

// joinRead waits for the read of a range that is under way, or begins one.
func (l *Ledger) joinRead(ctx context.Context, rows rowRange, stats *readStats) (*sharedRead, bool, error) {
	l.mu.Lock()
	read, joined := l.reads[rows]
	if !joined {
		read = &sharedRead{done: make(chan struct{}), turns: map[string]StoredTurn{}}
		l.reads[rows] = read
		l.wait.Go(func() { l.runRead(rows, read) })
	}
	read.waiting++
	l.mu.Unlock()
	var ended error
	select {
	case <-read.done:
	case <-ctx.Done():
		ended = context.Cause(ctx)
	}
	l.mu.Lock()
	if read.waiting--; read.waiting == 0 {
		read.abandoned = l.now()
	}
	lastErr := read.lastErr
	l.mu.Unlock()
	if ended != nil {
		return nil, joined, errors.Join(ended, lastErr)
	}
	if joined {
		stats.Shared++
	} else {
		stats.add(read.stats)
	}
	return read, joined, read.err
}

// runRead makes a shared read.
func (l *Ledger) runRead(rows rowRange, read *sharedRead) {
	read.err = l.readPages(rows, read)
	l.mu.Lock()
	delete(l.reads, rows)
	l.mu.Unlock()
	close(read.done)
}

// readPages reads a range page by page. A page that fails is read again from its start, with
// fewer rows if it did not arrive in time.
func (l *Ledger) readPages(rows rowRange, read *sharedRead) error {
	parser := turnParser{group: rows.group}
	query := platform.RangeQuery{Table: programTable, Part: rows.group.Partition(), From: rows.from, To: rows.to, FirstPage: true, ReplyWithin: callTimeout}
	for failures, pages := 0, 0; ; {
		begun := clock.Now()
		ctx, cancel := context.WithTimeout(l.ctx, pageTimeout)
		page, err := l.readRows(ctx, query)
		cancel()
		read.stats.Calls++
		read.stats.Call += clock.Since(begun)
		l.mu.Lock()
		read.lastErr = err
		l.mu.Unlock()
		if err != nil {
			late := errors.Is(err, context.DeadlineExceeded)
			failures++
			if failures >= maxReadFailures || pages == 0 && !late || l.ctx.Err() != nil || platform.KindOf(err) == platform.Rejected || l.isAbandoned(read) {
				return err
			}
			if late {
				query.Limit = reducedPage(query.Limit)
			} else {
				clock.Sleep(l.ctx, clock.Jitter(retryDelay<<(failures-1)))
			}
			continue
		}
		failures, pages = 0, pages+1
		begun = clock.Now()
		for _, r := range page.Rows {
			read.stats.Bytes += int64(len(r.Value))
		}
		if rows.from == string(rows.group) && query.From == rows.from {
			if err := l.keepAccount(rows.group, page.Rows); err != nil {
				return err
			}
		}
		turns, err := parser.add(page.Rows, !page.More)
		if err != nil {
			return err
		}
		for _, t := range turns {
			read.turns[t.ID] = t
		}
		l.cacheTurns(turns...)
		read.stats.Decode += clock.Since(begun)
		read.more = page.More
		if !page.More || len(page.Rows) == 0 || rows.maxPages > 0 && pages >= rows.maxPages {
			return nil
		}
		if l.isAbandoned(read) {
			return errAbandoned
		}
		query.From = page.Rows[len(page.Rows)-1].Key.Key + "\x00"
	}
}

var errAbandoned = errors.New("no request waits for the read any more")

// isAbandoned reports whether no request has waited for a read for abandonedReadTime.
func (l *Ledger) isAbandoned(read *sharedRead) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return read.waiting == 0 && l.now().Sub(read.abandoned) > abandonedReadTime
}

// keepAccount takes the account of a group from the rows of its first page if this VM has no
// copy of it.
func (l *Ledger) keepAccount(g turntree.Group, rows []platform.Row) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.account(g); !a.busy && !a.known {
		return l.setFromRows(a, rows)
	}
	return nil
}

// turnParser decodes the turns of a group from its rows, which are added page by page in the
// order of their keys. The rows of a turn need not follow each other: the key of another turn,
// whose id begins with that of the first, may stand between them.
type turnParser struct {
	group   turntree.Group
	pending map[string][]platform.Row // rows of turns that may lack some, by id
}

// add returns the stored turns that are complete with the given rows. last is set if no rows
// follow.
func (p *turnParser) add(rows []platform.Row, last bool) ([]StoredTurn, error) {
	if p.pending == nil {
		p.pending = map[string][]platform.Row{}
	}
	for _, r := range rows {
		if id, ok := turnID(p.group, r.Key.Key); ok { // else the account
			p.pending[id] = append(p.pending[id], r)
		}
	}
	var turns []StoredTurn
	for id, collected := range p.pending {
		if !last && rows[len(rows)-1].Key.Key < turnKey(p.group, id)+afterChunks {
			continue
		}
		delete(p.pending, id)
		if collected[0].Key.Key != turnKey(p.group, id) {
			continue // the turn is not stored: a record that did not end leaves such rows
		}
		turn, err := turntree.DecodeTurn(joinRows(collected))
		if err != nil {
			return nil, fmt.Errorf("turn %s: %w", id, err)
		}
		turns = append(turns, StoredTurn{ID: id, Group: p.group, Turn: turn, revision: collected[0].Revision})
	}
	return turns, nil
}

// joinRows returns the value that was split into rows.
func joinRows(rows []platform.Row) []byte {
	if len(rows) == 1 {
		return rows[0].Value
	}
	size := 0
	for _, r := range rows {
		size += len(r.Value)
	}
	data := make([]byte, 0, size)
	for _, r := range rows {
		data = append(data, r.Value...)
	}
	return data
}

// noteLarge remembers that a group exceeds a page, so that its turns are read one by one.
func (l *Ledger) noteLarge(g turntree.Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.large) >= maxKnownLarge {
		clear(l.large)
	}
	l.large[g] = struct{}{}
}

func (l *Ledger) knownLarge(g turntree.Group) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.large[g]
	return ok
}
