package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"
)

// format is an output format.
type format string

// Output formats. Only the burn and cost commands support HTML.
const (
	formatTable format = "table"
	formatJSON  format = "json"
	formatYAML  format = "yaml"
	formatHTML  format = "html"
	// formatText is another name of formatTable.
	formatText format = "text"
)

const flagOutput = "output"

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagOutput, Aliases: []string{"o"}, Value: string(formatTable),
		Usage: "output `FORMAT`: table, json or yaml; burn and cost also html",
	}
}

// document is the output of a command. Every format but HTML is supported.
type document interface {
	// table writes the document as text with aligned columns.
	table(out io.Writer)
}

// htmlDocument is a document that can also be written as an HTML page.
type htmlDocument interface {
	document
	html(out io.Writer) error
}

// print writes the document in the format that --output selects.
func (a *App) print(command *cli.Command, doc document) error {
	chosen, err := outputFormat(command, doc)
	if err != nil {
		return err
	}
	switch chosen {
	case formatJSON:
		return printJSON(a.Out, doc)
	case formatYAML:
		return printYAML(a.Out, doc)
	case formatHTML:
		return doc.(htmlDocument).html(a.Out)
	default:
		doc.table(a.Out)
		return nil
	}
}

func outputFormat(command *cli.Command, doc document) (format, error) {
	formats := []format{formatTable, formatJSON, formatYAML}
	if _, ok := doc.(htmlDocument); ok {
		formats = append(formats, formatHTML)
	}
	chosen := format(command.String(flagOutput))
	if chosen == formatText {
		chosen = formatTable
	}
	if !slices.Contains(formats, chosen) {
		return "", usageError("--%s is %q; expected one of %v", flagOutput, chosen, formats)
	}
	return chosen, nil
}

func printJSON(out io.Writer, doc any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(doc)
}

// printYAML converts the JSON encoding of the document, so that both formats have the same
// keys in the same order.
func printYAML(out io.Writer, doc any) error {
	encoded, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	var root yaml.Node
	if err := yaml.Unmarshal(encoded, &root); err != nil {
		return err
	}
	clearNodeStyles(&root)
	encoder := yaml.NewEncoder(out)
	encoder.SetIndent(2)
	if err := encoder.Encode(&root); err != nil {
		return err
	}
	return encoder.Close()
}

func clearNodeStyles(node *yaml.Node) {
	node.Style = 0
	for _, child := range node.Content {
		clearNodeStyles(child)
	}
}

// tableWriter writes rows in aligned columns. The first row is the header.
type tableWriter struct{ writer *tabwriter.Writer }

func newTableWriter(out io.Writer, header ...string) tableWriter {
	w := tableWriter{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	fmt.Fprintln(w.writer, strings.Join(header, "\t"))
	return w
}

func (w tableWriter) addRow(cells ...any) {
	texts := make([]string, len(cells))
	for i := range cells {
		texts[i] = sanitize(fmt.Sprint(cells[i]))
	}
	fmt.Fprintln(w.writer, strings.Join(texts, "\t"))
}

func (w tableWriter) flush() { _ = w.writer.Flush() }

// sanitize replaces control characters with question marks, since names from other
// processes could otherwise break the columns or change the state of the terminal.
func sanitize(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, text)
}
