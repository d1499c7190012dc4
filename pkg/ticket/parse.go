package ticket

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// MaxBytes bounds the size of a ticket file.
const MaxBytes = 1 << 20

// FieldError is one fault in a ticket with the path of the member it concerns.
type FieldError struct {
	Path    string
	Line    int
	Message string
}

// String returns the mistake as one line of text.
func (mi FieldError) String() string {
	if mi.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", mi.Line, mi.Path, mi.Message)
	}
	return mi.Path + ": " + mi.Message
}

// FieldErrors is the error that lists every mistake found in a ticket.
type FieldErrors []FieldError

// Error returns one line for each mistake.
func (ms FieldErrors) Error() string {
	lines := make([]string, 0, len(ms))
	for _, mi := range ms {
		lines = append(lines, mi.String())
	}
	return strings.Join(lines, "\n")
}

// Parse reads a ticket and validates it; the error is of type Mistakes.
func Parse(data []byte) (Ticket, error) {
	var ti Ticket
	if len(data) > MaxBytes {
		return ti, FieldErrors{{Path: "/", Message: fmt.Sprintf("the ticket has %d bytes, at most %d are allowed", len(data), MaxBytes)}}
	}
	if err := json.Unmarshal(data, &ti, json.RejectUnknownMembers(true)); err != nil {
		return ti, FieldErrors{decodeMistake(data, err)}
	}
	if ms := ti.Validate(); len(ms) > 0 {
		return ti, ms
	}
	return ti, nil
}

func decodeMistake(data []byte, err error) FieldError {
	mi := FieldError{Path: "/", Message: err.Error()}
	var sem *json.SemanticError
	if errors.As(err, &sem) {
		mi.Path = pathOf(sem.JSONPointer)
		mi.Line = lineAt(data, sem.ByteOffset)
		mi.Message = "not a valid value"
		if sem.Err != nil {
			mi.Message = sem.Err.Error()
		}
		return mi
	}
	var syn *jsontext.SyntacticError
	if errors.As(err, &syn) {
		mi.Path = pathOf(syn.JSONPointer)
		mi.Line = lineAt(data, syn.ByteOffset)
		mi.Message = syn.Err.Error()
	}
	return mi
}

func pathOf(ptr jsontext.Pointer) string {
	if ptr == "" {
		return "/"
	}
	return string(ptr)
}

func lineAt(data []byte, offset int64) int {
	end := min(max(offset, 0), int64(len(data)))
	return 1 + bytes.Count(data[:end], []byte{'\n'})
}
