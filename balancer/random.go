package balancer

// randSource is a SplitMix64 generator. Its value is its whole state, so that a snapshot can store it.
type randSource uint64

// float returns a number in [0,1).
func (s *randSource) float() float64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// index returns a random index below n, or 0 if n is 0.
func (s *randSource) index(n int) int { return int(s.float() * float64(n)) }

// below returns a duration in [0,d).
func (s *randSource) below(d Micros) Micros { return Micros(s.float() * float64(d)) }
