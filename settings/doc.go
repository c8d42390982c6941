// Package settings holds the settings of a daemon: a JSON file that is read
// once at start and validated as a whole. Errors name the field.
package settings
