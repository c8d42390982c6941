// Package object is the client side of the platform's Object API: named values
// with versions, conditional updates and watches. All agreement in the system
// rests on Store.Update, which succeeds only on the version that was read.
package object
