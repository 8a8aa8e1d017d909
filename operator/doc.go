// Package operator builds configuration documents for hornbeamvale and prints them as
// JSON. Operators write a small program with this package, or print the same JSON from
// another language, and submit the result with hornbeamvalectl.
//
// The types of this package describe one configuration version. They hold no connection
// and no state beyond the document.
package operator
