// Package health runs health checks (probes) of the backend servers. Prober
// probes the instances that rendezvous hashing assigns to this node, and all
// members of a group on demand. Table holds the newest evidence of each instance:
// a report with the time at which its probe was sent, from which the age of the
// evidence is counted. A failed probe removes older evidence at once.
package health
