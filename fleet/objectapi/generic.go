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
	// PathObjects is the prefix of all object paths: PathObjects + "/{kind}" for lists
	// and watches of a kind, PathObjects + "/{kind}/{name}" for one object.
	PathObjects = "/v1/objects"
	// PathHosts is the path of the host list.
	PathHosts = "/v1/hosts"
	// HeaderWriteID carries the random ID that the writer gave to a write.
	HeaderWriteID = "Platform-Write-Id"
	// HeaderCaller carries the name of the calling process.
	HeaderCaller = "Platform-Caller"
	// QueryVersion is the expected version of a conditional write.
	QueryVersion = "version"
	// QueryAfter is the revision after which a watch returns changes.
	QueryAfter = "after"
	// QueryWait is the long-poll duration of a watch in milliseconds.
	QueryWait = "wait_ms"
)

// ObjectList is the response body of a list or watch in the generic API. A watch
// returns a deleted object with an empty value and Deleted set.
type ObjectList struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// HostList is the response body of the host list in the generic API.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// Generic is the Protocol of an object API with opaque values and unpaged lists.
type Generic struct{}

var _ Protocol = Generic{}

func objectPath(kind, name string) string {
	return PathObjects + "/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// EraHeader implements Protocol. The API has no eras.
func (Generic) EraHeader() string { return "" }

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
