package quota

// rateWindowS is the time in seconds over which an organisation's jobs are counted: the window over
// which the platform judges limits.
const rateWindowS = 5

// bucket is a token bucket of an organisation's jobs. It holds as many tokens as the organisation
// may send jobs in rateWindowS, and at least one.
type bucket struct {
	tokens   float64
	filledMS int64 // Unix milliseconds; 0 before the first job
}

// take removes a token and reports whether there was one.
func (b *bucket) take(rate float64, nowMS int64) bool {
	size := max(rateWindowS*rate, 1)
	if b.filledMS == 0 {
		b.tokens = size
	}
	if elapsed := nowMS - b.filledMS; b.filledMS != 0 && elapsed > 0 {
		b.tokens = min(size, b.tokens+rate*float64(elapsed)/1000)
	}
	b.filledMS = max(b.filledMS, nowMS)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NoteJob records a job that an organisation has sent, at the time of its acceptance in Unix
// milliseconds. Jobs are passed in the order of that time as far as it is known, so that a new
// owner decides as the former one did.
func (l *Ledger) NoteJob(organisation, job string, acceptedMS int64) {
	a := l.account(organisation)
	if rate := a.organisation.Weight; rate > 0 && !a.bucket.take(rate, acceptedMS) {
		l.beyond[job] = true
	}
}

// WithinRate reports whether the job was within the number of jobs per second of its
// organisation. Others are placed after those of the same priority when there is too little room.
func (l *Ledger) WithinRate(job string) bool { return !l.beyond[job] }

// ForgetJob forgets a job that has ended.
func (l *Ledger) ForgetJob(job string) { delete(l.beyond, job) }
