package bbresumption

import (
	"cmp"
	"context"
	"time"

	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbprovenance"
)

const (
	// asked is the number of VMs that are asked for a record of those that stay, and of those that are leaving: VMs that
	// were lost or have joined since it was copied shift the order of the holders by a few places.
	asked = 2 * bbprovenance.Copies
	// lookupTimeout bounds a search: a round trip between regions with one retransmission.
	lookupTimeout = 300 * time.Millisecond
	// maxLookups bounds the searches in progress.
	maxLookups = 256
)

// Finding is the result of a search for who began a stream.
type Finding struct {
	// Record is set if Found is true.
	Record bbprovenance.Record
	Found  bool
	// Contradicted is true if records contradict each other; then none is found.
	Contradicted bool
	// Sole is the version of the service in the question that other VMs have seen for as long as the stream may last;
	// empty if none has, if they differ, or if something else decides.
	Sole string
	// Inquiries are the questions to other VMs that ended before the search did.
	Inquiries []Inquiry
}

// add adds what a VM knows.
func (f *Finding) add(a bbprovenance.Answer) {
	switch {
	case a.Contradicted || f.Found && a.Found && !a.Record.SameOrigin(f.Record):
		f.Record, f.Found, f.Contradicted = bbprovenance.Record{}, false, true
	case a.Found && !f.Contradicted:
		f.Record, f.Found = a.Record, true
	}
}

// Inquiry is a question to another VM.
type Inquiry struct {
	Member bbgossip.Member
	// Answer is the VM's answer, or zero if Err isn't nil.
	Answer bbprovenance.Answer
	Err    error
}

// Find searches for who began the stream of an attempt. What this VM knows decides, or the first other VM that knows
// something and answers within lookupTimeout: there is one such stream, so that VMs don't know different things of it.
// The stream can only have begun at a service, or at one of several if that is empty.
func (r *Resumptions) Find(ctx context.Context, attempt, service string) Finding {
	return r.find(ctx, attempt, service, false)
}

// FindContent searches for who began the streams with a content. A VM may know of some of them only, so all VMs are
// waited for, at most for lookupTimeout, and nothing is found if what they know differs.
func (r *Resumptions) FindContent(ctx context.Context, content, service string) Finding {
	return r.find(ctx, content, service, true)
}

// find searches for the record of a key, which several streams share if isShared is true.
func (r *Resumptions) find(ctx context.Context, key, service string, isShared bool) Finding {
	if key == "" {
		return Finding{}
	}
	hash := bbhash.Name(key)
	var f Finding
	f.add(r.Answer(hash))
	if f.isDecided(isShared) {
		return f
	}
	select {
	case r.lookups <- struct{}{}:
	default:
		r.hooks.AskFailed("", hash, errTooManyLookups)
		return Finding{}
	}
	defer func() { <-r.lookups }()
	r.search(ctx, hash, service, isShared, &f)
	if !f.Found && !f.Contradicted {
		f.Sole = soleVersion(f.Inquiries)
	}
	return f
}

// soleVersion returns the version that VMs have seen alone; empty if none has or if they differ.
func soleVersion(inquiries []Inquiry) string {
	sole := ""
	for _, q := range inquiries {
		version := q.Answer.Sole
		if version != "" && sole != "" && version != sole {
			return ""
		}
		sole = cmp.Or(sole, version)
	}
	return sole
}

// isDecided reports whether further answers can't change the result.
func (f *Finding) isDecided(isShared bool) bool {
	return f.Contradicted || f.Found && !isShared
}

// search asks the VMs that may have an attempt's record, all at once, and adds their answers.
func (r *Resumptions) search(ctx context.Context, attempt uint64, service string, isShared bool, f *Finding) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	sources := bbprovenance.Sources(r.hooks.Members(), r.self, attempt, asked)
	// The channel takes all answers, so that none blocks after the search has ended.
	inquiries := make(chan Inquiry, len(sources))
	for _, m := range sources {
		go func() { inquiries <- r.ask(ctx, m, attempt, service) }()
	}
	for range sources {
		select {
		case q := <-inquiries:
			f.Inquiries = append(f.Inquiries, q)
			f.add(q.Answer)
		case <-ctx.Done():
			return
		}
		if f.isDecided(isShared) {
			return
		}
	}
}

// ask asks one VM who began the stream of an attempt.
func (r *Resumptions) ask(ctx context.Context, m bbgossip.Member, attempt uint64, service string) Inquiry {
	answer, err := r.hooks.Ask(ctx, m.Peer, attempt, service)
	if err == nil && answer.Found {
		err = checkAnswer(answer.Record, attempt)
	}
	// A search that was canceled has been answered by another VM, or its caller is gone.
	if err != nil && ctx.Err() != context.Canceled {
		r.hooks.AskFailed(m.Peer, attempt, err)
	}
	if err != nil {
		answer = bbprovenance.Answer{}
	}
	return Inquiry{
		Member: m,
		Answer: answer,
		Err:    err,
	}
}
