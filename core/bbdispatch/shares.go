package bbdispatch

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the half-life of what an account got: about the length of the bursts in the deployment
	// specifications, so that an account that was idle has a limited advantage.
	usageHalfLife = 5 * time.Second
	// rescaleAfter bounds the exponent of the decay, far below the largest floating-point number.
	rescaleAfter = 500 * usageHalfLife
	// averageInterval is how often the mean over all accounts is computed, and negligible what an account must have
	// got lately to count, in seconds of endpoint time: less than one call.
	averageInterval = 250 * time.Millisecond
	negligible      = 0.01
	// maxAccounts bounds the accounts whose usage is kept; the usage of the others counts as none.
	maxAccounts = 50000
)

// Shares records what client accounts got of the endpoints' time, relative to their weights.
type Shares struct {
	// Weight returns the weight of an account; nil or a weight of 0 or less means 1.
	Weight func(account string) float64

	accounts map[string]*usage
	// epoch is the time to which the decayed usages refer.
	epoch time.Duration
	// mean is what accounts got lately on average, as of averagedAt.
	mean       float64
	averagedAt time.Duration
	// changed is called after the usage of an account has changed.
	changed func(account string)
}

// usage is what one account got, in seconds of endpoint time for a weight of 1. A later second counts for more, by
// the decay since the epoch, so that the usages of all accounts can be compared without decaying each.
type usage struct {
	account string
	scaled  float64
}

// NewShares returns shares without any usage.
func NewShares() *Shares {
	return &Shares{
		accounts: make(map[string]*usage),
		changed:  func(string) {},
	}
}

// Served records that an account got some time of an endpoint.
func (s *Shares) Served(now time.Duration, account string, work time.Duration) {
	if now-s.epoch > rescaleAfter {
		s.rescale(now)
	}
	weight := 1.0
	if s.Weight != nil {
		if w := s.Weight(account); w > 0 {
			weight = w
		}
	}
	s.of(account).scaled += work.Seconds() / weight * growth(now-s.epoch)
	s.changed(account)
}

// Recent returns what an account got lately, in seconds for a weight of 1.
func (s *Shares) Recent(now time.Duration, account string) float64 {
	u := s.accounts[account]
	if u == nil {
		return 0
	}
	return u.scaled / growth(now-s.epoch)
}

// Excess returns how much more than the average an account got lately, as a fraction of the average from 0 to 1. The
// average is that of the accounts that got anything in the last half-lives.
func (s *Shares) Excess(now time.Duration, account string) float64 {
	if now-s.averagedAt >= averageInterval || s.averagedAt == 0 {
		s.average(now)
	}
	if s.mean == 0 {
		return 0
	}
	return min(1, max(0, s.Recent(now, account)/s.mean-1))
}

// average computes the mean of what accounts got lately.
func (s *Shares) average(now time.Duration) {
	sum, active := 0.0, 0
	scale := growth(now - s.epoch)
	for _, u := range s.accounts {
		if recent := u.scaled / scale; recent > negligible {
			sum += recent
			active++
		}
	}
	s.mean = sum / float64(max(1, active))
	s.averagedAt = now
}

// growth is the factor by which work after a time counts for more than work at the epoch.
func growth(since time.Duration) float64 {
	return math.Exp2(float64(since) / float64(usageHalfLife))
}

// rescale moves the epoch to now, and drops the accounts that got nothing lately. Those with waiting requests
// keep their usage by reference.
func (s *Shares) rescale(now time.Duration) {
	factor := growth(now - s.epoch)
	for _, u := range s.accounts {
		u.scaled /= factor
	}
	s.epoch = now
	for account, u := range s.accounts {
		if u.scaled == 0 {
			delete(s.accounts, account)
		}
	}
}

// of returns the usage of an account.
func (s *Shares) of(account string) *usage {
	u := s.accounts[account]
	if u != nil {
		return u
	}
	u = &usage{
		account: account,
	}
	if len(s.accounts) < maxAccounts {
		s.accounts[account] = u
	}
	return u
}

// before orders accounts by what they got. The name decides between equals, so that decisions can be replayed.
func (u *usage) before(o *usage) bool {
	if u.scaled != o.scaled {
		return u.scaled < o.scaled
	}
	return u.account < o.account
}
