// Package settings loads the settings of a daemon from a JSON file, which is read
// once at start and validated as a whole. Errors name the invalid fields.
package settings
