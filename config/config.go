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
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Path == "" {
		return fmt.Sprintf("%s: %s", place, e.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", place, e.Path, e.Problem)
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
		return &Error{File: file, Line: lineInMessage(err), Problem: err.Error()}
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return decodeError(file, plain, d, err)
	}
	var problems []error
	s.Check(func(path, problem string) {
		problems = append(problems, &Error{File: file, Line: lineOf(plain, path), Path: path, Problem: problem})
	})
	return errors.Join(problems...)
}

func decodeError(file string, plain []byte, d *json.Decoder, err error) error {
	e := &Error{File: file, Problem: err.Error()}
	var wrong *json.UnmarshalTypeError
	unknown, isUnknown := strings.CutPrefix(err.Error(), "json: unknown field ")
	switch {
	case errors.As(err, &wrong):
		e.Path = wrong.Field
		e.Line = lineAt(plain, wrong.Offset)
		e.Problem = fmt.Sprintf("expected %s, got %s", wrong.Type, wrong.Value)
	case isUnknown:
		e.Path = strings.Trim(unknown, `"`)
		e.Line = lineOf(plain, e.Path)
		e.Problem = "unknown setting"
	default:
		e.Line = lineAt(plain, d.InputOffset())
	}
	return e
}

func lineAt(data []byte, offset int64) int {
	offset = min(offset, int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

func lineInMessage(err error) int {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &column); scanErr != nil {
		return 0
	}
	return line
}
