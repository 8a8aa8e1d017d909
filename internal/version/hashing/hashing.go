// Package hashing computes evenly distributed hashes of names that are the same in every
// process.
package hashing

// Parameters of 64-bit FNV-1a and of the finalizer of SplitMix64. FNV-1a alone leaves
// the high bits of the hashes of short names correlated.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	mixA      = 0xbf58476d1ce4e5b9
	mixB      = 0x94d049bb133111eb
)

// Sum returns the hash of a sequence of parts.
func Sum(parts ...string) uint64 {
	h := uint64(fnvOffset)
	for _, p := range parts {
		for i := range len(p) {
			h = (h ^ uint64(p[i])) * fnvPrime
		}
		h = (h ^ 0xff) * fnvPrime // separates the parts, since 0xff does not occur in UTF-8
	}
	h = (h ^ h>>30) * mixA
	h = (h ^ h>>27) * mixB
	return h ^ h>>31
}

// Fraction returns the hash of the parts as a number in [0, 1).
func Fraction(parts ...string) float64 {
	return float64(Sum(parts...)>>11) / (1 << 53)
}
