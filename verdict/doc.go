// Package verdict defines the answer to the question a caller asks after every
// failure: did my request run? Every error that reaches a caller carries one
// Verdict, a stable reason code and, where a retry can help, a time to wait.
package verdict
