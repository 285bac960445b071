package storage

// CodeMissing is the code of a Refusal for a row or object that is not there.
const CodeMissing = "missing"

// MaxBodyBytes bounds a request or answer of the HTTP protocol, in bytes.
const MaxBodyBytes = 16 << 20

// Paths of the HTTP protocol.
const (
	// PathTransact takes a Transaction and answers with its Result.
	PathTransact = "/table/transact"
	// PathRow answers with one Row.
	PathRow = "/table/row"
	// PathRows answers with Rows.
	PathRows = "/table/rows"
	// PathObject stores or answers with the bytes of an object.
	PathObject = "/object"
	// PathObjects answers with Names.
	PathObjects = "/objects"
)

// Rows is the answer to a list of rows.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Names is the answer to a list of objects.
type Names struct {
	Names []string `json:"names"`
}

// ErrorResponse is the body of an answer other than success.
type ErrorResponse struct {
	Code   string `json:"code"`
	Reason string `json:"reason"`
}
