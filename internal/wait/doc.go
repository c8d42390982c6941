// Package wait provides a sleep that ends early when a context is done.
package wait
