package program

// Keys returns the keys of the runs whose rows the entry contains.
func (e *JournalEntry) Keys() []Key {
	keys := make([]Key, len(e.rows))
	for i := range e.rows {
		keys[i] = e.rows[i].key
	}
	return keys
}
