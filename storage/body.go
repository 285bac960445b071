package storage

// CodeMissing is the code of an ErrorResponse for a row or object that does not
// exist.
const CodeMissing = "missing"

// MaxBodyBytes is the maximum size of the body of a request or response of the
// HTTP protocol, in bytes.
const MaxBodyBytes = 16 << 20

// Paths of the HTTP protocol.
const (
	// PathTransact accepts a Transaction and responds with its Result.
	PathTransact = "/table/transact"
	// PathRow responds with one Row.
	PathRow = "/table/row"
	// PathRows responds with Rows.
	PathRows = "/table/rows"
	// PathObject stores the bytes of an object on PUT and responds with them on GET.
	PathObject = "/object"
	// PathObjects responds with Names.
	PathObjects = "/objects"
)

// Rows is the response to a list of rows.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Names is the response to a list of objects.
type Names struct {
	Names []string `json:"names"`
}

// ErrorResponse is the body of a response that does not report success.
type ErrorResponse struct {
	Code   string `json:"code"`
	Reason string `json:"reason"`
}
