// Package explain selects from the logs of a fleet the lines that explain the
// outcome of one request.
package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// Line is one parsed line of a log.
type Line struct {
	// At is the time of the line in milliseconds since 1970.
	At float64
	// Source is the text before the JSON object, such as the name of the process.
	Source string
	// Event is the message of the line.
	Event string
	// Fields is the whole JSON object.
	Fields map[string]any
	// Text is the unchanged line.
	Text string
}

const (
	// maxLine is the length of the longest line that is read, in bytes.
	maxLine = 1 << 20
	// windowBefore and windowAfter are the times before the first and after the
	// last line of the request from which other lines are included, in
	// milliseconds.
	windowBefore, windowAfter = 3000, 500
)

// contextEvents are the events that may affect the outcome of any request.
var contextEvents = map[string]bool{
	"role": true, "configuration": true, "exchange failed": true, "quarantined": true, "notice": true, "started": true, "signal": true, "stopped": true,
}

// Read parses the lines of a log as logs.NewStream writes them. It skips lines
// that contain no JSON object or no message. A line whose time is not a number,
// as in the logs of logs.New, gets time 0. The error is one of reading.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if x, ok := parse(s.Text()); ok {
			lines = append(lines, x)
		}
	}
	return lines, errors.Wrap(s.Err(), "explain.Read")
}

func parse(text string) (Line, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	x := Line{Source: strings.TrimSpace(text[:i]), Text: text}
	if json.Unmarshal([]byte(text[i:]), &x.Fields) != nil {
		return Line{}, false
	}
	x.At, _ = x.Fields["ts"].(float64)
	x.Event, _ = x.Fields["msg"].(string)
	return x, x.Event != ""
}

// NotFound is the error if no line names the request.
type NotFound struct{ Request string }

// Error describes the failure.
func (e NotFound) Error() string { return "no line names request " + e.Request }

// Request returns, ordered by time, the lines of the request with the given ID
// and the other lines of about the same time that may explain its outcome: those
// that name a target to which it was sent, such as health changes, and the
// events that may affect any request. The error wraps NotFound.
func Request(lines []Line, id string) ([]Line, error) {
	var requestLines []Line
	targets := map[string]bool{}
	for _, x := range lines {
		if x.Fields["request"] != id {
			continue
		}
		requestLines = append(requestLines, x)
		if t, ok := x.Fields["target"].(string); ok {
			targets[t] = true
		}
		tried, _ := x.Fields["tried"].([]any)
		for _, t := range tried {
			if n, ok := t.(string); ok {
				targets[n] = true
			}
		}
	}
	if len(requestLines) == 0 {
		return nil, errors.WithStack(NotFound{id})
	}
	sortLines(requestLines)
	from, to := requestLines[0].At-windowBefore, requestLines[len(requestLines)-1].At+windowAfter
	found := requestLines
	for _, x := range lines {
		if x.At < from || x.At > to || x.Fields["request"] != nil {
			continue
		}
		t, _ := x.Fields["target"].(string)
		if contextEvents[x.Event] || targets[t] {
			found = append(found, x)
		}
	}
	sortLines(found)
	return found, nil
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At < lines[j].At })
}
