package schedule

// A fencing token has the term in its upper bits. Its lower bits start at the incarnation of
// the worker, a log index that stays below 2^28, and grow with each poll that follows one
// that was not accepted and with orders after one that names recorded ends. With terms below
// 2^25, the token fits into the 53 bits that every JSON reader represents exactly.
const incarnationBits = 28

func termOf(token uint64) uint64 { return token >> incarnationBits }

// firstToken returns the token of the first calls to an incarnation of a worker. It is
// larger than the tokens of earlier terms and those of earlier incarnations.
func (s *Scheduler) firstToken(term, incarnation uint64) uint64 {
	token := term<<incarnationBits | incarnation&(1<<incarnationBits-1)
	if token <= s.raisedToken {
		return s.largerToken(s.raisedToken)
	}
	return token
}

// largerToken returns a token for a worker that is larger than its present one.
func (s *Scheduler) largerToken(token uint64) uint64 {
	s.raisedToken = max(s.raisedToken, token+1)
	return token + 1
}
