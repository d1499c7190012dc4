package ticket

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// MaxBytes is the maximum size of a ticket file.
const MaxBytes = 1 << 20

// FieldError describes one invalid JSON member of a ticket; Path is a JSON pointer, and Line is zero if it is unknown.
type FieldError struct {
	Path    string
	Line    int
	Message string
}

// String returns the error as one line of text.
func (fe FieldError) String() string {
	if fe.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", fe.Line, fe.Path, fe.Message)
	}
	return fe.Path + ": " + fe.Message
}

// FieldErrors lists all invalid members of a ticket; it is an error.
type FieldErrors []FieldError

// Error returns one line for each invalid member.
func (fes FieldErrors) Error() string {
	lines := make([]string, 0, len(fes))
	for _, fe := range fes {
		lines = append(lines, fe.String())
	}
	return strings.Join(lines, "\n")
}

// Parse decodes a ticket from JSON and validates it; the error is of type FieldErrors.
func Parse(data []byte) (Ticket, error) {
	var ti Ticket
	if len(data) > MaxBytes {
		return ti, FieldErrors{{Path: "/", Message: fmt.Sprintf("the ticket has %d bytes, at most %d are allowed", len(data), MaxBytes)}}
	}
	if err := json.Unmarshal(data, &ti, json.RejectUnknownMembers(true)); err != nil {
		return ti, FieldErrors{decodeError(data, err)}
	}
	if fes := ti.Validate(); len(fes) > 0 {
		return ti, fes
	}
	return ti, nil
}

func decodeError(data []byte, err error) FieldError {
	fe := FieldError{Path: "/", Message: err.Error()}
	var sem *json.SemanticError
	if errors.As(err, &sem) {
		fe.Path = pathOf(sem.JSONPointer)
		fe.Line = lineAt(data, sem.ByteOffset)
		fe.Message = "not a valid value"
		if sem.Err != nil {
			fe.Message = sem.Err.Error()
		}
		return fe
	}
	var syn *jsontext.SyntacticError
	if errors.As(err, &syn) {
		fe.Path = pathOf(syn.JSONPointer)
		fe.Line = lineAt(data, syn.ByteOffset)
		fe.Message = syn.Err.Error()
	}
	return fe
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
