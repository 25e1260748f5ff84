package router

import (
	"fmt"
	"math"
	"strings"
	"unicode"
)

// Account is a client account. Its requests carry one of its keys.
type Account struct {
	// Name is unique among the accounts. Backend servers get it with each request.
	Name string
	// Keys are the keys of the account. It may have none.
	Keys []string
	// Priority is the priority of its requests if Ranked is true; 0 is the highest. It goes
	// before the priority of the route.
	Priority int
	Ranked   bool
	// Rate is the number of requests a second that the account may send to all hosts
	// together, 0 for no limit. Burst is the number of requests that it may send at once.
	Rate  float64
	Burst float64
	// Regions are the regions in which its requests may be processed; empty means all.
	Regions []string
}

// accountSet holds the accounts of a table. Nil stands for a table without accounts.
type accountSet struct {
	list   []Account
	byName map[string]*Account
	byKey  map[string]*Account
}

// newAccountSet returns a set that holds a copy of the accounts.
func newAccountSet(accounts []Account) *accountSet {
	s := &accountSet{list: append([]Account{}, accounts...), byName: map[string]*Account{}, byKey: map[string]*Account{}}
	for i := range s.list {
		a := &s.list[i]
		s.byName[a.Name] = a
		for _, key := range a.Keys {
			s.byKey[key] = a
		}
	}
	return s
}

// findFaults returns all faults of the accounts. It never quotes a key, because faults are
// logged.
func (s *accountSet) findFaults() []string {
	if s == nil {
		return nil
	}
	var faults []string
	for i := range s.list {
		a := &s.list[i]
		if s.byName[a.Name] != a {
			faults = append(faults, fmt.Sprintf("two accounts have the name %q", a.Name))
		}
		if !isHeaderText(a.Name) {
			faults = append(faults, fmt.Sprintf("account %q has a name that cannot be sent in a header", a.Name))
		}
		if !isAmount(a.Rate) || !isAmount(a.Burst) {
			faults = append(faults, fmt.Sprintf("account %q has rate %v and burst %v", a.Name, a.Rate, a.Burst))
		}
		for n, key := range a.Keys {
			switch {
			case !isKey(key):
				faults = append(faults, fmt.Sprintf("key %d of account %q is empty or has characters other than visible ASCII", n, a.Name))
			case s.byKey[key] != a:
				faults = append(faults, fmt.Sprintf("accounts %q and %q share a key", a.Name, s.byKey[key].Name))
			}
		}
	}
	return faults
}

// isAmount reports whether n is a finite number of at least 0.
func isAmount(n float64) bool { return n >= 0 && n <= math.MaxFloat64 }

// isKey reports whether a key consists of visible ASCII characters.
func isKey(key string) bool {
	return key != "" && strings.IndexFunc(key, func(r rune) bool { return r <= ' ' || r >= unicode.MaxASCII }) < 0
}

// isHeaderText reports whether a text can be the value of a header field without being
// changed on the way.
func isHeaderText(text string) bool {
	return text != "" && strings.TrimSpace(text) == text && strings.IndexFunc(text, unicode.IsControl) < 0
}

// HasAccounts reports whether requests need the key of an account, except on public routes.
func (t *Table) HasAccounts() bool { return t.accounts != nil }

// Authenticate returns the account that holds a key.
func (t *Table) Authenticate(key string) (*Account, bool) {
	if t.accounts == nil || key == "" {
		return nil, false
	}
	a, ok := t.accounts.byKey[key]
	return a, ok
}

// Account returns the account with the given name.
func (t *Table) Account(name string) (*Account, bool) {
	if t.accounts == nil {
		return nil, false
	}
	a, ok := t.accounts.byName[name]
	return a, ok
}

// Accounts returns all accounts in the order of the document.
func (t *Table) Accounts() []Account {
	if t.accounts == nil {
		return nil
	}
	return t.accounts.list
}

// countAccountPriorities returns one more than the lowest priority that Rank may use for an
// account, 1 if no account has a priority.
func (t *Table) countAccountPriorities() int {
	count, ranked := 1, false
	for _, a := range t.Accounts() {
		if a.Ranked {
			count, ranked = max(count, a.Priority+1), true
		}
	}
	if ranked {
		// Requests of accounts without a priority have that of their route.
		count = max(count, t.priorityCount)
	}
	return count
}

// Rank returns the rank of the requests of an account on a route, from 0 for the most urgent
// ones to RankCount()-1: the priority of the account decides before that of the route. The
// account is nil for requests without one.
func (t *Table) Rank(r *Route, a *Account) int {
	priority := max(r.Priority, 0)
	if t.accountPriorityCount <= 1 {
		return priority
	}
	first := priority
	if a != nil && a.Ranked {
		first = max(a.Priority, 0)
	}
	return first*t.priorityCount + priority
}

// RankCount returns the number of ranks.
func (t *Table) RankCount() int { return t.priorityCount * t.accountPriorityCount }
