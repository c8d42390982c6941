// Package standin simulates the system's environment for tests, demos and
// measurements: the platform (Object API, instance list, weight store), model
// engines and plain servers. Every stand-in listens on its own address and
// accepts injected faults at POST /control/....
package standin
