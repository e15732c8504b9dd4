// Package quarantine identifies requests that crash the endpoints that run them. It has no I/O and no clock.
//
// A request is known by its fingerprints. When an endpoint crashes under a request, its fingerprints become suspects: at most
// one request with a suspect fingerprint runs at a time, as a trial. A trial that gets its answer clears the fingerprints, a
// trial that crashes another endpoint puts them into quarantine, and further requests with them are refused for a limited time.
//
// Evidence is the result of consecutive trials, not a number of crashes: a run counts as one more crash than was known of its
// fingerprint when it was sent. Many endpoints that fail at the same moment, by a power cut for example, therefore make the
// requests on them suspects but quarantine none of them, and a crash that two nodes observe counts once.
package quarantine
