// Package recorder holds the ledger of order intents and their outcomes. It is
// part of the replicated state: every host computes the same ledger from the
// same calls, so it reads no clock and no random numbers.
//
// An attempt is the handling of one order request by one entry host. An intent
// says that an attempt is about to run the order under an idempotency key. The
// first attempt that reserves a key holds the grant: only it may dispatch the
// order.
package recorder

import (
	"container/heap"
	"slices"
	"strings"
	"time"
)

//go:generate stringer -type=Verdict,Outcome -linecomment

// Verdict is the ledger's answer to a reservation or a completion.
type Verdict int

// The verdicts. VerdictNone is what a reply without a verdict decodes to.
const (
	VerdictNone Verdict = iota // none
	// VerdictGranted means that the attempt holds the grant for the key and may
	// dispatch the order.
	VerdictGranted // granted
	// VerdictStored means that a final outcome is recorded for the key.
	VerdictStored // stored
	// VerdictInProgress means that another attempt holds the grant and that its
	// outcome is still awaited.
	VerdictInProgress // in progress
	// VerdictUnknown means that the holder of the grant reported that it does not
	// know the outcome, or reported nothing until Grace after its deadline.
	VerdictUnknown // unknown
	// VerdictConflict means that the key was reserved with another fingerprint,
	// or that the completed attempt does not hold the grant.
	VerdictConflict // conflict
	// VerdictExpired means that the key is too old to be reserved, or that the
	// completed attempt has no record.
	VerdictExpired // expired key
	// VerdictInvalid means that the key, the name of the attempt or the outcome
	// is invalid.
	VerdictInvalid // invalid key
	// VerdictFuture means that the key's creation time is more than MaxAhead
	// ahead of the ledger's time.
	VerdictFuture // key from the future
	// VerdictFull means that the ledger has no room for another record.
	VerdictFull // full
)

// Outcome says what became of an order.
type Outcome int

// The outcomes. The zero value claims nothing.
const (
	// OutcomeUnknown means that the order may have run.
	OutcomeUnknown Outcome = iota // unknown
	OutcomeRan                    // ran
	// OutcomeNotRun means that the order certainly did not run.
	OutcomeNotRun // not run
)

const (
	// Grace is added to an attempt's deadline before it counts as unknown. It
	// covers the difference between the clocks of entry and control hosts.
	Grace = 5 * time.Second
	// MaxAhead is how far a key's creation time may lie in the future.
	MaxAhead = 5 * time.Minute
	// DefaultRetention applies when a reservation names no retention.
	DefaultRetention = 24 * time.Hour
	// MaxRetention bounds how long a record takes up space.
	MaxRetention = 7 * 24 * time.Hour
	// MaxDeadline bounds how long an attempt may stay in progress.
	MaxDeadline = time.Hour
	// MaxAttempt is the longest name of an attempt in bytes.
	MaxAttempt = 128
	// MaxAnswer is the longest stored answer in bytes.
	MaxAnswer = 64 << 10
	// MaxCode is the longest stored code in bytes.
	MaxCode = 128
	// recordOverheadBytes is the space that a record takes besides its texts.
	recordOverheadBytes = 160
)

// Limits bound the ledger's space. All hosts must use the same limits, or
// their ledgers differ.
type Limits struct {
	// Records is the largest number of records.
	Records int
	// Bytes is the largest space of all records together. A snapshot of the
	// ledger must fit in one message of the inner protocol.
	Bytes int
}

// DefaultLimits are used where a limit is zero.
var DefaultLimits = Limits{Records: 100_000, Bytes: 24 << 20}

// Record is one order intent and, once it is known, its outcome.
type Record struct {
	// Key is the idempotency key.
	Key string
	// Attempt is the name of the attempt that holds the grant.
	Attempt string
	// Fingerprint identifies the order. A resend must have the same one.
	Fingerprint uint64
	// Deadline is that of the attempt.
	Deadline time.Time
	// Expiry is when the record is dropped.
	Expiry time.Time
	// Done is true once the holder of the grant has reported an outcome.
	Done bool
	// Outcome is the reported one, and OutcomeUnknown until then.
	Outcome Outcome
	// Code is the code that the attempt reported, at most MaxCode bytes.
	Code string
	// Answer is not copied; it must not be modified.
	Answer []byte
	// Omitted is true when the order ran and its answer was too large to keep.
	Omitted bool
}

// size returns the space in bytes that the record counts for. The key counts
// twice.
func (r *Record) size() int {
	return recordOverheadBytes + 2*len(r.Key) + len(r.Attempt) + len(r.Code) + len(r.Answer)
}

// Ledger holds one record per idempotency key. The zero value is an empty
// ledger with the default limits. It is not safe for concurrent use.
type Ledger struct {
	// limits holds the bounds; DefaultLimits apply where one is zero.
	limits Limits
	// now is the latest time that was passed in.
	now time.Time
	// floor is the latest creation time of the keys of dropped records. A new
	// key must be younger.
	floor time.Time
	// records holds the records by idempotency key, and expiry the same ones,
	// the next to expire first.
	records map[string]*Record
	expiry  expiryHeap
	// bytes is the sum of the sizes of the records.
	bytes int
}

// New returns an empty ledger. DefaultLimits apply where a limit is zero.
func New(limits Limits) *Ledger { return &Ledger{limits: limits} }

// Advance sets the ledger's time, which never goes back, and drops expired
// records.
func (l *Ledger) Advance(now time.Time) {
	if now.After(l.now) {
		l.now = now
	}
	for len(l.expiry) > 0 && !l.expiry[0].Expiry.After(l.now) {
		l.dropRecord(heap.Pop(&l.expiry).(*Record))
	}
}

// dropRecord removes a record and raises the floor to its key's creation time.
// The floor refuses the key also when a later reservation names a longer
// retention than the dropped record had.
func (l *Ledger) dropRecord(r *Record) {
	delete(l.records, r.Key)
	l.bytes -= r.size()
	created, err := CreationTime(r.Key)
	if err == nil && created.After(l.floor) {
		l.floor = created
	}
}

// Reserve records the intent of attempt to run the order under key. Only the
// attempt that is granted may dispatch, and only once; it gets the same
// verdict again while it is in progress, so that it can repeat a call whose
// answer was lost. The retention is bounded by MaxRetention; zero or less
// means DefaultRetention.
func (l *Ledger) Reserve(now time.Time, key, attempt string, fingerprint uint64, deadline time.Time, retention time.Duration) (Verdict, Record) {
	l.Advance(now)
	created, err := CreationTime(key)
	if err != nil || !validAttempt(attempt) {
		return VerdictInvalid, Record{}
	}
	if r := l.records[key]; r != nil {
		return l.answerResend(r, attempt, fingerprint)
	}
	retention = boundRetention(retention)
	switch {
	case created.Sub(l.now) > MaxAhead:
		return VerdictFuture, Record{}
	case !created.Add(retention).After(l.now), !created.After(l.floor):
		return VerdictExpired, Record{}
	}
	r := &Record{Key: key, Attempt: attempt, Fingerprint: fingerprint, Deadline: l.boundDeadline(deadline)}
	if l.full(r.size()) {
		return VerdictFull, Record{}
	}
	r.Expiry = l.expiryOf(created, retention, r.Deadline)
	l.addRecord(r)
	return VerdictGranted, *r
}

// answerResend returns the answer to a reservation of a key that has the record r.
func (l *Ledger) answerResend(r *Record, attempt string, fingerprint uint64) (Verdict, Record) {
	if r.Fingerprint != fingerprint {
		return VerdictConflict, Record{}
	}
	verdict := l.resendVerdict(r)
	if verdict == VerdictInProgress && r.Attempt == attempt {
		verdict = VerdictGranted
	}
	return verdict, *r
}

// resendVerdict returns the verdict for a reservation by an attempt other than the
// holder of the grant.
func (l *Ledger) resendVerdict(r *Record) Verdict {
	switch {
	case r.Done && r.Outcome != OutcomeUnknown:
		return VerdictStored
	case r.Done || l.now.After(r.Deadline.Add(Grace)):
		return VerdictUnknown
	default:
		return VerdictInProgress
	}
}

// Complete records the outcome of an attempt. A final outcome (ran or not run)
// never changes; unknown is replaced by a final outcome of the same attempt.
// The verdict is what a resend gets from now on (stored or unknown), conflict
// when attempt does not hold the grant, and expired when there is no record.
func (l *Ledger) Complete(now time.Time, key, attempt string, outcome Outcome, code string, answer []byte) (Verdict, Record) {
	l.Advance(now)
	r := l.records[key]
	switch {
	case r == nil:
		return l.answerAbsent(key)
	case r.Attempt != attempt:
		return VerdictConflict, Record{}
	case outcome < OutcomeUnknown || outcome > OutcomeNotRun:
		return VerdictInvalid, Record{}
	}
	if !r.Done || (r.Outcome == OutcomeUnknown && outcome != OutcomeUnknown) {
		l.storeOutcome(r, outcome, code, answer)
	}
	return l.resendVerdict(r), *r
}

// answerAbsent returns the answer to a completion under a key that has no record.
func (l *Ledger) answerAbsent(key string) (Verdict, Record) {
	if _, err := CreationTime(key); err != nil {
		return VerdictInvalid, Record{}
	}
	return VerdictExpired, Record{}
}

// storeOutcome writes an outcome to a record. It never refuses: losing an outcome
// is worse than losing an answer's text, so an answer that does not fit is left
// out and marked as such.
func (l *Ledger) storeOutcome(r *Record, outcome Outcome, code string, answer []byte) {
	l.bytes -= r.size()
	r.Done = true
	r.Outcome = outcome
	r.Code = boundCode(code)
	r.Answer = nil
	r.Omitted = false
	if len(answer) > MaxAnswer || l.bytes+r.size()+len(answer) > l.maxBytes() {
		r.Omitted = true
	} else {
		r.Answer = slices.Clone(answer)
	}
	l.bytes += r.size()
}

// addRecord adds a record whose expiry is set.
func (l *Ledger) addRecord(r *Record) {
	if l.records == nil {
		l.records = map[string]*Record{}
	}
	l.records[r.Key] = r
	l.bytes += r.size()
	heap.Push(&l.expiry, r)
}

// expiryOf returns when a new record expires. It keeps the record for the
// retention window after the reservation, so that a resend within the window
// finds the answer however old the key was, and at least until the attempt has
// ended.
func (l *Ledger) expiryOf(created time.Time, retention time.Duration, deadline time.Time) time.Time {
	expiry := latest(created, l.now).Add(retention)
	return latest(expiry, deadline.Add(Grace))
}

// boundDeadline corrects a deadline that a wrong clock put into the past or
// the far future.
func (l *Ledger) boundDeadline(deadline time.Time) time.Time {
	if last := l.now.Add(MaxDeadline); deadline.After(last) {
		return last
	}
	return latest(deadline, l.now)
}

// full reports whether there is no room for another record of size bytes.
func (l *Ledger) full(size int) bool {
	return len(l.records) >= l.maxRecords() || l.bytes+size > l.maxBytes()
}

// maxRecords returns the limit on the number of records, or its default if none is
// set.
func (l *Ledger) maxRecords() int {
	if l.limits.Records > 0 {
		return l.limits.Records
	}
	return DefaultLimits.Records
}

// maxBytes returns the limit on the space of the records, or its default if none is
// set.
func (l *Ledger) maxBytes() int {
	if l.limits.Bytes > 0 {
		return l.limits.Bytes
	}
	return DefaultLimits.Bytes
}

// Find returns the record of key.
func (l *Ledger) Find(key string) (Record, bool) {
	r := l.records[key]
	if r == nil {
		return Record{}, false
	}
	return *r, true
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Bytes returns the space that the records take, as Limits.Bytes counts it.
func (l *Ledger) Bytes() int { return l.bytes }

// Snapshot is the whole content of a ledger, with the records sorted by key.
type Snapshot struct {
	// Now is the ledger's time, the latest that was passed in.
	Now time.Time
	// Floor is the latest creation time of the keys of dropped records. Restored
	// ledgers go on refusing keys that are not younger.
	Floor   time.Time
	Records []Record
}

// Snapshot returns the content of the ledger. Answers are shared, not copied.
func (l *Ledger) Snapshot() Snapshot {
	s := Snapshot{Now: l.now, Floor: l.floor, Records: make([]Record, 0, len(l.records))}
	for _, r := range l.records {
		s.Records = append(s.Records, *r)
	}
	slices.SortFunc(s.Records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return s
}

// Restore replaces the content of the ledger.
func (l *Ledger) Restore(s Snapshot) {
	*l = Ledger{limits: l.limits, now: s.Now, floor: s.Floor}
	for _, r := range s.Records {
		l.addRecord(&r)
	}
}

// boundRetention returns the retention that is used for one that a reservation names.
func boundRetention(d time.Duration) time.Duration {
	if d <= 0 {
		return DefaultRetention
	}
	return min(d, MaxRetention)
}

// boundCode shortens a code to MaxCode bytes. It keeps a cut code valid UTF-8,
// which a protobuf string has to be.
func boundCode(code string) string {
	return strings.ToValidUTF8(code[:min(len(code), MaxCode)], "")
}

// validAttempt reports whether attempt may be the name of an attempt.
func validAttempt(attempt string) bool {
	return attempt != "" && len(attempt) <= MaxAttempt
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expiryHeap orders records by the time at which they expire.
// It implements heap.Interface.
type expiryHeap []*Record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].Expiry.Before(h[j].Expiry) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(*Record)) }

func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
