// Package crowd tests a node against crowds of clients that nobody controls. Each test
// starts one process, lets a crowd send or hold back what it can, and checks that the
// process lives, that its memory and descriptors stay below a bound, and that an ordinary
// request is answered meanwhile and afterwards. Nothing in it depends on the speed of the
// machine.
package crowd
