package netconn

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// ErrUnknownStatus is returned for a response whose status is not one of HTTP. Such a response is no
// answer, and nothing on its connection can be trusted.
var ErrUnknownStatus = errors.New("response with an unknown status")

// ErrUnknownVersion is returned for a response in another version of HTTP than 1.
var ErrUnknownVersion = errors.New("response in an unknown version of HTTP")

// maxStatus is the highest status that HTTP knows (RFC 9110, section 15).
const maxStatus = 599

// CheckStatus returns an error if a status is none that a final response may have. HTTP libraries parse
// any number.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("%w: %d", ErrUnknownStatus, status)
	}
	return nil
}

// CheckVersion returns an error if the major version of a response is not that of the connections.
func CheckVersion(major int) error {
	if major != 1 {
		return fmt.Errorf("%w: %d", ErrUnknownVersion, major)
	}
	return nil
}

// IsInterim reports whether a status is that of an interim response, which a final one follows. Behind 101
// the connection has another protocol.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// StatusReader checks the status lines of a response as it is read from a connection, for HTTP libraries
// that do not tell an unknown status or version from another. Its zero value awaits the start of a response.
type StatusReader struct {
	line    []byte // of the head, as far as it has arrived; only its beginning is kept
	interim bool   // the lines are those of an interim response, behind its status
	done    bool   // the final status was read
	err     error
}

// maxStatusLine is how much of a line StatusReader keeps: the version, the status and the spaces before it.
const maxStatusLine = 64

// Read takes the next bytes of the response. It returns an error from an unknown status or version
// on. Lines that are no status lines are left to the HTTP library.
func (r *StatusReader) Read(p []byte) error {
	for _, b := range p {
		if r.done || r.err != nil {
			break
		}
		if b != '\n' {
			if len(r.line) < maxStatusLine {
				r.line = append(r.line, b)
			}
			continue
		}
		r.endLine(strings.TrimSuffix(string(r.line), "\r"))
		r.line = r.line[:0]
	}
	return r.err
}

// endLine takes a line of the head. Empty lines before a status line are skipped.
func (r *StatusReader) endLine(line string) {
	switch {
	case r.interim:
		r.interim = line != ""
	case line != "":
		version, rest, _ := strings.Cut(line, " ")
		if major, _, ok := http.ParseHTTPVersion(version); ok {
			if r.err = CheckVersion(major); r.err != nil {
				return
			}
		}
		code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
		status, err := strconv.Atoi(code)
		if r.interim = err == nil && IsInterim(status); r.interim {
			return
		}
		r.done = true
		if err == nil {
			r.err = CheckStatus(status)
		}
	}
}
