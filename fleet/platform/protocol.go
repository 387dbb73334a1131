package platform

import "time"

// Paths, headers and query parameters of the platform's HTTP API.
const (
	// PathObjects is the prefix of all object paths: PathObjects + "/{kind}" lists
	// or watches a kind, PathObjects + "/{kind}/{name}" names one object.
	PathObjects = "/v1/objects"
	// PathHosts is the path of the host list.
	PathHosts = "/v1/hosts"
	// HeaderWriteID carries the writer's random ID of a write.
	HeaderWriteID = "Platform-Write-Id"
	// HeaderCaller names the process that calls.
	HeaderCaller = "Platform-Caller"
	// QueryVersion is the expected version of a conditional write.
	QueryVersion = "version"
	// QueryAfter is the revision after which a watch reports objects.
	QueryAfter = "after"
	// QueryWait bounds a watch in milliseconds.
	QueryWait = "wait_ms"
)

// MaxPollWait is the longest time for which the platform holds a watch open.
const MaxPollWait = 30 * time.Second

// ObjectList is the answer to a list or watch. A deleted object appears in the
// answer to a watch with an empty value and Deleted set.
type ObjectList struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// HostList is the answer to a request for the host list.
type HostList struct {
	Hosts []Host `json:"hosts"`
}
