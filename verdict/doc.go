// Package verdict defines the errors that callers and operators get. Each carries a
// Verdict, which says whether the request was executed, a stable reason code and, if a
// retry can help, a time to wait.
package verdict
