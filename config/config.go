// Package config reads the settings files of a process: JSON with comments, one
// file a section.
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

// Error tells where a setting is wrong.
type Error struct {
	// File is the name of the settings file.
	File string
	// Line is the line in the file, from 1; 0 when the whole file is meant.
	Line int
	// Path names the setting, such as "listen.public".
	Path string
	// Problem says what is wrong.
	Problem string
}

// Error formats the place and the problem.
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

// Section is a group of settings that checks itself. Check reports each problem
// with the path of the setting.
type Section interface {
	Check(report func(path, problem string))
}

// Load reads the file into the section and checks it. All problems are joined in
// the error.
func Load(file string, s Section) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, data, s)
}

// Parse is Load for data that has been read; file is used in errors.
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

func lineAtOffset(data []byte, offset int64) int {
	offset = min(offset, int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

func syntaxErrorLine(err error) int {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &column); scanErr != nil {
		return 0
	}
	return line
}
