package objectapi

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Paths, headers and query parameters of the generic object API.
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

// ObjectList is the generic API's answer to a list or watch. A deleted object
// appears in the answer to a watch with an empty value and Deleted set.
type ObjectList struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// HostList is the generic API's answer to a request for the host list.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// Generic is the Protocol of an object API whose values are opaque bytes and
// whose lists are whole.
type Generic struct{}

var _ Protocol = Generic{}

func objectPath(kind, name string) string {
	return PathObjects + "/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// Get implements Protocol.
func (Generic) Get(kind, name string) Call {
	return Call{Method: http.MethodGet, Path: objectPath(kind, name)}
}

// List implements Protocol.
func (Generic) List(kind, _ string) Call {
	return Call{Method: http.MethodGet, Path: PathObjects + "/" + url.PathEscape(kind)}
}

// Watch implements Protocol.
func (g Generic) Watch(kind string, after uint64, wait time.Duration) Call {
	c := g.List(kind, "")
	c.Query = url.Values{
		QueryAfter: {strconv.FormatUint(after, 10)},
		QueryWait:  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c
}

// Put implements Protocol.
func (Generic) Put(o Object) (Call, error) {
	c := conditional(http.MethodPut, o)
	c.Body = o.Value
	return c, nil
}

// Delete implements Protocol.
func (Generic) Delete(o Object) Call { return conditional(http.MethodDelete, o) }

func conditional(method string, o Object) Call {
	return Call{
		Method: method, Path: objectPath(o.Kind, o.Name),
		Query:  url.Values{QueryVersion: {strconv.FormatUint(o.Version, 10)}},
		Header: http.Header{HeaderWriteID: {o.WriteID}},
	}
}

// Hosts implements Protocol.
func (Generic) Hosts() (Call, bool) { return Call{Method: http.MethodGet, Path: PathHosts}, true }

// DecodeObject implements Protocol.
func (Generic) DecodeObject(_ string, body []byte) (o Object, err error) {
	err = json.Unmarshal(body, &o)
	return o, err
}

// DecodePage implements Protocol.
func (Generic) DecodePage(_ string, body []byte) (Page, error) {
	var l ObjectList
	err := json.Unmarshal(body, &l)
	return Page{Objects: l.Objects, Revision: l.Revision}, err
}

// DecodeHosts implements Protocol.
func (Generic) DecodeHosts(body []byte) ([]Host, error) {
	var l HostList
	err := json.Unmarshal(body, &l)
	return l.Hosts, err
}
