package objectapi

import (
	"net/http"
	"net/url"
	"time"
)

// MaxPollWait is the longest time for which the platform holds a watch open.
const MaxPollWait = 30 * time.Second

// Call is one HTTP call to an object API.
type Call struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
}

// Page is a part of the objects of a kind, or the events of a watch.
type Page struct {
	Objects []Object
	// Revision is the revision of the store that the page reflects.
	Revision uint64
	// Next names the object after which the list continues, empty at its end.
	Next string
}

// Protocol translates the calls of a Store to one object API and back. It
// neither keeps state nor decides; Client adds time limits and retries.
//
// Decoders receive the body of an answer with status 200, or 409 for the stored
// object of a conflict.
type Protocol interface {
	// Get asks for one object.
	Get(kind, name string) Call
	// List asks for the objects of a kind whose names follow after.
	List(kind, after string) Call
	// Watch asks for the changes after a revision and lets the API wait for one.
	Watch(kind string, after uint64, wait time.Duration) Call
	// Put asks for a conditional write of o.
	Put(o Object) (Call, error)
	// Delete asks for the deletion of the object at o.Version.
	Delete(o Object) Call
	// Hosts asks for the host list. It is false if the API has none.
	Hosts() (Call, bool)
	// DecodeObject decodes one object of a kind.
	DecodeObject(kind string, body []byte) (Object, error)
	// DecodePage decodes the answer to a list or watch.
	DecodePage(kind string, body []byte) (Page, error)
	// DecodeHosts decodes the host list.
	DecodeHosts(body []byte) ([]Host, error)
}
