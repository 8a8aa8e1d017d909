package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
)

// NewKey returns the entry of a caller's key. It contains the digest of the secret and
// not the secret.
func NewKey(id, secret string) Key {
	digest := sha256.Sum256([]byte(secret))
	return Key{ID: id, SHA256: hex.EncodeToString(digest[:])}
}

// Print writes the document as indented JSON that conforms to schema.json. Equal documents
// give equal bytes. The error is that of the writer, or of encoding/json for a number that
// JSON cannot represent.
func (d *Document) Print(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(d.withLists())
}

// withLists returns a copy in which required lists are empty instead of nil, since nil
// would be printed as null.
func (d *Document) withLists() *Document {
	c := *d
	c.Customers = append([]Customer{}, d.Customers...)
	c.Programs = append([]Program{}, d.Programs...)
	c.Endpoints = append([]Endpoint{}, d.Endpoints...)
	for i := range c.Customers {
		customer := &c.Customers[i]
		customer.Keys = append([]Key{}, customer.Keys...)
		customer.Endpoints = append([]string{}, customer.Endpoints...)
		customer.Programs = append([]string{}, customer.Programs...)
	}
	return &c
}

// Clone returns a deep copy of the document.
func (d *Document) Clone() (*Document, error) {
	text, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	var c Document
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, err
	}
	return &c, nil
}
