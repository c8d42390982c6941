// Package standin simulates what surrounds the system: the platform (Object
// API, instance list, weight store), model engines and plain servers. Every
// stand-in listens on an address of its own and takes fault orders at
// POST /control/....
package standin
