// Package quarantine keeps requests from replicas that they would crash. It collects the
// runs of a request that ended with a broken connection, from this VM and from others,
// and blocks the request once enough replicas have broken off in a row. It is pure: time
// is an argument, there is no I/O and no lock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies what a customer sent, whatever the id of the request. It is a
// cryptographic hash, so that no customer can make a request that blocks another one's.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. customer is empty on a route that
// needs no key. body is the body as the caller sent it, without the history of a turn.
func FingerprintOf(customer, path, query string, body []byte) Fingerprint {
	return sum("body", customer, path, query, string(body))
}

// PathFingerprintOf returns the fingerprint of all requests of a customer with a path.
func PathFingerprintOf(customer, path, query string) Fingerprint {
	return sum("path", customer, path, query)
}

func sum(parts ...string) Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		_ = binary.Write(hash, binary.BigEndian, int64(len(part))) // a hash takes every write
		hash.Write([]byte(part))
	}
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
