package table

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// yamlErrorPrefix matches the prefix of a YAML library error and captures the line number,
// which the library reports only in the text.
var yamlErrorPrefix = regexp.MustCompile(`^yaml: (?:line (\d+): )?`)

// parserErrorPrefix is the prefix of errors in which the YAML library gives a 0-based line
// number. That line is the start of the unfinished block.
const parserErrorPrefix = "did not find expected"

// addSyntaxError adds an error of the YAML library. The line in it may be the start of a
// block, so the problem text also says up to which line the value was read.
func (d *decoder) addSyntaxError(data []byte, err error) {
	syntaxError := ValidationError{Kind: ErrorKindSyntax, File: d.file, Line: 1, Column: 1, Expected: "a YAML document"}
	if errors.Is(err, io.EOF) {
		syntaxError.Problem = "the value is empty"
		d.collector.add(syntaxError)
		return
	}
	lastLine := linesRead(data)
	text := err.Error()
	syntaxError.Line = lastLine
	if match := yamlErrorPrefix.FindStringSubmatch(text); match != nil {
		text = text[len(match[0]):]
		if line, err := strconv.Atoi(match[1]); err == nil {
			syntaxError.Line = line
		}
	}
	if strings.HasPrefix(text, parserErrorPrefix) {
		syntaxError.Line++
	}
	syntaxError.Column = firstColumn(data, syntaxError.Line)
	syntaxError.Problem = fmt.Sprintf("%s (read up to line %d)", text, lastLine)
	d.collector.add(syntaxError)
}

// firstColumn returns the column of the first character of the line that is not a space or
// tab, or 1 if there is none.
func firstColumn(data []byte, line int) int {
	for range line - 1 {
		_, rest, found := bytes.Cut(data, []byte("\n"))
		if !found {
			return 1
		}
		data = rest
	}
	content, _, _ := bytes.Cut(data, []byte("\n"))
	indent := len(content) - len(bytes.TrimLeft(content, " \t"))
	if indent == len(content) {
		return 1
	}
	return indent + 1
}

// linesRead returns the number of lines that the YAML library reads before it fails.
func linesRead(data []byte) int {
	reader := &lineReader{rest: data}
	documents := yaml.NewDecoder(reader)
	for {
		var node yaml.Node
		if documents.Decode(&node) != nil {
			return max(reader.lines, 1)
		}
	}
}

// lineReader returns at most one line per Read and counts the lines that were read.
type lineReader struct {
	rest  []byte
	lines int
}

// Read implements io.Reader.
func (r *lineReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	end := bytes.IndexByte(r.rest, '\n') + 1
	if end == 0 {
		end = len(r.rest)
	}
	n := copy(p, r.rest[:end])
	if n == end {
		r.lines++
	}
	r.rest = r.rest[n:]
	return n, nil
}
