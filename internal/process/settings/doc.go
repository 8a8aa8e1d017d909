// Package settings reads the INI settings of a process. They are read once at the
// start and do not change while the process runs. What operators change at run time is
// in the configuration document instead.
//
// Durations have a unit ("500ms", "10s", "2m"). Addresses are "IP:port".
package settings
