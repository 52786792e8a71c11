package catalog

// ZoneOut is the decoded form of a published item that takes a zone out of service: its
// upstreams receive no requests.
type ZoneOut string
