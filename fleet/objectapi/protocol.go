package objectapi

import (
	"net/http"
	"net/url"
	"time"
)

// MaxPollWait is the longest long poll that the platform supports.
const MaxPollWait = 30 * time.Second

// Call is an HTTP request to an object API.
type Call struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
}

// Page is one page of a list of objects, or the changes that a watch returned.
type Page struct {
	Objects []Object
	// Revision is the revision of the store that the page reflects.
	Revision uint64
	// Next is the name of the object after which the list continues. It is empty on
	// the last page.
	Next string
}

// Protocol encodes the calls of a Store for an object API and decodes the responses.
// It is stateless; Client adds timeouts and retries.
//
// Decoders receive the body of a response with status 200, or 409 for the stored
// object of a conflict.
type Protocol interface {
	// EraHeader returns the name of the response header with the era of the store, an
	// integer that rises each time the store returns from an older copy. Empty means that
	// the API has none.
	EraHeader() string
	// Get encodes a read of one object.
	Get(kind, name string) Call
	// List encodes a list of the objects of a kind whose names are greater than after.
	List(kind, after string) Call
	// Watch encodes a long poll for the changes of a kind after a revision.
	Watch(kind string, after uint64, wait time.Duration) Call
	// Put encodes a write of o on condition that the stored version is o.Version.
	Put(o Object) (Call, error)
	// Delete encodes a deletion on condition that the stored version is o.Version.
	Delete(o Object) Call
	// Hosts encodes a read of the host list. It returns false if the API has none.
	Hosts() (Call, bool)
	// DecodeObject decodes one object of a kind.
	DecodeObject(kind string, body []byte) (Object, error)
	// DecodePage decodes the response to a list or watch.
	DecodePage(kind string, body []byte) (Page, error)
	// DecodeHosts decodes the host list.
	DecodeHosts(body []byte) ([]Host, error)
}
