// Package settings reads the INI settings of a process. They are read once at the
// start and do not change while the process runs. What operators change at run time is
// in the configuration document instead.
//
// A VM that the platform starts has no INI file. Package platform/process reads its
// settings into a FleetVM.
//
// Durations have a unit ("500ms", "10s", "2m"). Addresses are "IP:port".
package settings
