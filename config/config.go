// Package config reads and validates the settings files of a process. Each file holds one
// section as JSON with comments and trailing commas.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/tailscale/hujson"
)

// Error reports an invalid setting and its location in the file.
type Error struct {
	// File is the name of the settings file.
	File string
	// Line is the line number in the file, from 1; 0 if it is unknown.
	Line int
	// Path is the dotted path of the setting, such as "listen.public". It is empty for an
	// error that concerns no single setting.
	Path string
	// Problem describes the error.
	Problem string
}

// Error formats the error as "file:line: path: problem" without the parts that are empty.
func (e *Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Path == "" {
		return fmt.Sprintf("%s: %s", location, e.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", location, e.Path, e.Problem)
}

// Section is a group of settings that is decoded from one file. Check calls report once for
// each invalid setting, with its dotted path.
type Section interface {
	Check(report func(path, problem string))
}

// Load decodes the file into the section and validates it. It fails if the file can't be read
// or decoded, or has unknown or invalid settings. The error joins all invalid settings as
// values of *Error.
func Load(file string, s Section) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, data, s)
}

// Parse is like Load for data that is already in memory. The file name is used in errors only.
func Parse(file string, data []byte, s Section) error {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return &Error{File: file, Line: syntaxErrorLine(err), Problem: err.Error()}
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return newDecodeError(file, plain, d, err)
	}
	var problems []error
	s.Check(func(path, problem string) {
		problems = append(problems, &Error{File: file, Line: lineOfPath(plain, path), Path: path, Problem: problem})
	})
	return errors.Join(problems...)
}

// newDecodeError returns the error with the path and the line of the setting, where the decoder
// states them.
func newDecodeError(file string, plain []byte, d *json.Decoder, err error) error {
	result := &Error{File: file, Problem: err.Error()}
	var typeError *json.UnmarshalTypeError
	unknown, isUnknown := strings.CutPrefix(err.Error(), "json: unknown field ")
	switch {
	case errors.As(err, &typeError):
		result.Path = typeError.Field
		result.Line = lineAtOffset(plain, typeError.Offset)
		result.Problem = fmt.Sprintf("expected %s, got %s", typeError.Type, typeError.Value)
	case isUnknown:
		result.Path = strings.Trim(unknown, `"`)
		result.Line = lineOfPath(plain, result.Path)
		result.Problem = "unknown setting"
	default:
		result.Line = lineAtOffset(plain, d.InputOffset())
	}
	return result
}

// lineAtOffset returns the line number of the byte offset, from 1.
func lineAtOffset(data []byte, offset int64) int {
	offset = min(offset, int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// syntaxErrorLine returns the line number that an error of hujson states, or 0.
func syntaxErrorLine(err error) int {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &column); scanErr != nil {
		return 0
	}
	return line
}
