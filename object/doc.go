// Package object is a client of the platform's Object API, which stores named values
// with versions and offers conditional updates and watches. The nodes agree with each
// other only by means of Store.Update, which succeeds only if the object still has the
// version that was read.
package object
