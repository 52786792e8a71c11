package routing

// Random is a seeded SplitMix64 generator.
type Random struct{ state uint64 }

// NewRandom returns a generator for the seed.
func NewRandom(seed uint64) *Random { return &Random{state: seed} }

// IntN returns a random number in [0, n).
func (r *Random) IntN(n int) int {
	return int((r.next() >> 32) * uint64(n) >> 32)
}

func (r *Random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	return mix(r.state)
}

// mix is the SplitMix64 output function, in which every input bit affects all output bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
