package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

type keyName struct{ section, key string }

// reader reads values from an INI file and collects the faults. Sections and keys in
// the file that were never requested are unknown.
type reader struct {
	fileName  string
	file      *ini.File       // nil if the text is not INI
	sections  map[string]bool // requested sections
	requested map[keyName]bool
	paths     map[keyName]string // the files named in the settings, for checkFiles
	pathOrder []keyName          // the keys of paths in the order in which they were read
	faults    []Fault
}

func newReader(name string, data []byte) *reader {
	r := &reader{fileName: name, sections: map[string]bool{}, requested: map[keyName]bool{}, paths: map[keyName]string{}}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true,
		// With shadows the file keeps every value of a repeated key, so that the
		// repetition can be reported.
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
	}, data)
	if err != nil {
		r.fault("", "", "%v", err)
		return r
	}
	r.file = file
	return r
}

func (r *reader) fault(section, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{File: r.fileName, Section: section, Key: key, Message: fmt.Sprintf(format, args...)})
}

// result returns either the settings or the faults, so that settings with a fault are
// never used.
func (r *reader) result(s *Settings) (*Settings, error) {
	if len(r.faults) > 0 {
		return nil, &Error{Faults: r.faults}
	}
	return s, nil
}

// text returns a value as written in the file, without interpolation. An empty value
// counts as absent.
func (r *reader) text(section, key string) (string, bool) {
	r.sections[section] = true
	r.requested[keyName{section, key}] = true
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	v := s.Key(key).Value()
	return v, v != ""
}

// requiredText returns a value as text does, and reports the key if it is absent.
func (r *reader) requiredText(section, key string) (string, bool) {
	v, ok := r.text(section, key)
	if !ok {
		r.fault(section, key, "is required")
	}
	return v, ok
}

// require reports the keys that are absent. condition says when they are required.
func (r *reader) require(section, condition string, keys ...string) {
	for _, key := range keys {
		if _, ok := r.text(section, key); !ok {
			r.fault(section, key, "is required %s", condition)
		}
	}
}

// forbid reports the keys that are present. condition says when they are forbidden.
func (r *reader) forbid(section, condition string, keys ...string) {
	for _, key := range keys {
		if _, ok := r.text(section, key); ok {
			r.fault(section, key, "must not be set %s", condition)
		}
	}
}

// name returns an identifier that is safe as a part of a row key.
func (r *reader) name(section, key string) string {
	v, ok := r.requiredText(section, key)
	if ok && strings.IndexFunc(v, invalidInName) >= 0 {
		r.fault(section, key, "%q may contain only letters, digits, '-', '_' and '.'", v)
	}
	return v
}

func invalidInName(c rune) bool {
	return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.'
}

func (r *reader) address(section, key string) netip.AddrPort {
	v, ok := r.requiredText(section, key)
	if !ok {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		r.fault(section, key, "%q is not an address of the form IP:port", v)
		return netip.AddrPort{}
	}
	return a
}

func (r *reader) boolean(section, key string) bool {
	v, ok := r.text(section, key)
	if ok && v != "true" && v != "false" {
		r.fault(section, key, "%q must be true or false", v)
	}
	return v == "true"
}

func (r *reader) integer(section, key string, defaultValue, minimum, maximum int) int {
	v, ok := r.text(section, key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < minimum || n > maximum {
		r.fault(section, key, "%q must be a whole number from %d to %d", v, minimum, maximum)
		return defaultValue
	}
	return n
}

func (r *reader) duration(section, key string, defaultValue, minimum, maximum time.Duration) time.Duration {
	v, ok := r.text(section, key)
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < minimum || d > maximum {
		r.fault(section, key, "%q must be a duration with a unit, from %s to %s", v, minimum, maximum)
		return defaultValue
	}
	return d
}

func (r *reader) digest(section, key string) (digest [sha256.Size]byte, ok bool) {
	v, ok := r.text(section, key)
	if !ok {
		return digest, false
	}
	raw, err := hex.DecodeString(v)
	if err != nil || len(raw) != sha256.Size {
		// The message omits the value, which may be the key itself, entered by mistake.
		r.fault(section, key, "must be the SHA-256 digest of the key as %d hexadecimal digits", 2*sha256.Size)
		return digest, false
	}
	return [sha256.Size]byte(raw), true
}

// path returns a file name. A relative name is resolved against the directory of the
// settings file.
func (r *reader) path(section, key string) string {
	v, ok := r.text(section, key)
	if !ok {
		return ""
	}
	if !filepath.IsAbs(v) {
		v = filepath.Join(filepath.Dir(r.fileName), v)
	}
	k := keyName{section, key}
	r.paths[k] = v
	r.pathOrder = append(r.pathOrder, k)
	return v
}

// checkFiles reports the files named in the settings that cannot be opened.
func (r *reader) checkFiles() {
	for _, k := range r.pathOrder {
		f, err := os.Open(r.paths[k])
		if err != nil {
			r.fault(k.section, k.key, "%v", err)
			continue
		}
		f.Close()
	}
}

// reportUnknown reports sections and keys that were not requested, keys outside any
// section, and repeated keys.
func (r *reader) reportUnknown() {
	for _, s := range r.file.Sections() {
		section := s.Name()
		if section == ini.DefaultSection {
			for _, k := range s.Keys() {
				r.fault("", k.Name(), "is outside any section")
			}
			continue
		}
		if !r.sections[section] {
			r.fault(section, "", "unknown section")
			continue
		}
		for _, k := range s.Keys() {
			if !r.requested[keyName{section, k.Name()}] {
				r.fault(section, k.Name(), "unknown key")
			} else if len(k.ValueWithShadows()) > 1 {
				r.fault(section, k.Name(), "is set more than once")
			}
		}
	}
}
