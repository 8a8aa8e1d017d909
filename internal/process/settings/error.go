package settings

import "strings"

// Error lists all faults of a settings file.
type Error struct {
	Faults []Fault
}

// Fault is one fault of a settings file. Section is empty for a key outside any section,
// Key for an unknown section. Both are empty if the file could not be read as INI.
type Fault struct {
	File    string
	Section string
	Key     string
	Message string
}

// Error returns the faults, one on each line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// String returns "file: [section] key: message".
func (f Fault) String() string {
	s := f.File + ": "
	if f.Section != "" {
		s += "[" + f.Section + "] "
	}
	if f.Key != "" {
		s += f.Key + ": "
	}
	return s + f.Message
}
