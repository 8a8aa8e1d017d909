// Package version holds one accepted configuration, compiled for lookups. A Version is
// immutable. The process replaces the current one as a whole by an atomic pointer, and a
// request keeps the one that it was admitted with.
package version
