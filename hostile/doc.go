// Package hostile holds tests that start hornbeamvaled --platform as a child process and
// send it what uncontrolled clients send. They measure the resident memory and the open
// descriptors of the whole process, so they run one at a time and apart from other tests:
// "make hostile", build tag "hostile".
package hostile
