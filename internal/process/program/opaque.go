package program

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
)

// slotDigits is the number of hexadecimal digits that encode the slot in an opaque id.
const slotDigits = 4

// OpaqueID returns the id that identifies the run to replicas, which must not learn
// the customer or the run's name. It begins with the slot, from which the owner of a
// cached program is found.
func (k Key) OpaqueID() string {
	sum := sha256.Sum256([]byte(k.Customer + "\x00" + k.Run))
	return fmt.Sprintf("%0*x", slotDigits, uint16(k.Slot())) + hex.EncodeToString(sum[:14])
}

// OpaqueSlot returns the slot of the run with the opaque id.
func OpaqueSlot(id string) (ownership.Slot, bool) {
	if len(id) <= slotDigits {
		return 0, false
	}
	return ownership.ParseSlot(id[:slotDigits])
}

// RecordHolder records that a replica holds cache of the run with an opaque id and
// reports whether the run exists. The cache of an ended run is then released there as
// at its other holders. RecordHolder returns true for a slot that is not loaded.
func (t *Runs) RecordHolder(s ownership.Slot, id string, h Holder) bool {
	state := t.slots[s]
	if state == nil {
		return true // this VM cannot tell whether the run exists
	}
	for key, r := range state.runs {
		if key.OpaqueID() != id {
			continue
		}
		if !slices.Contains(r.record.Holders, h) {
			// Insert at the front: the last holder is the most recent one and decides
			// the affinity.
			r.record.Holders = slices.Insert(r.record.Holders, 0, h)
		}
		return true
	}
	return false
}
