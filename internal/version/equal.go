package version

import (
	"bytes"
	"encoding/json"
)

// equal compares two values of a document by their stored encoding, so that an empty
// list equals an absent one.
func equal(a, b any) bool {
	x, errA := json.Marshal(a)
	y, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(x, y)
}
