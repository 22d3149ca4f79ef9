// Package slotscmd implements "cassiarampctl slots", which shows second by second what the
// slots of targets were used for, from the logs of entries.
package slotscmd

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// ErrNoRequests reports that the logs contain no request that was sent to a target.
var ErrNoRequests = errors.New("no request that was sent to a target in the logs")

// Command holds the arguments of "cassiarampctl slots".
type Command struct {
	Files []string `arg:"positional" placeholder:"FILE" help:"logs of entries, in any order; standard input without any"`
	JSON  bool     `arg:"--json" help:"print one JSON document"`
}

// Description is shown by --help.
func (*Command) Description() string {
	return "Show second by second how many slots of each service were used by requests on time, late and in vain, and how many requests were refused meanwhile."
}

// Epilogue is shown by --help.
func (*Command) Epilogue() string {
	return `A line may have a prefix before "ts=". Requests without an end in the logs are left out.
Example: cat entry-*.log | cassiarampctl slots`
}

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Run prints the table. Its error wraps ErrNoRequests when there is nothing to show.
func (c *Command) Run(_ context.Context, out io.Writer) error {
	u := newUsage()
	if err := c.readAll(u); err != nil {
		return err
	}
	rows := u.rows()
	if len(rows) == 0 {
		return ErrNoRequests
	}
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(struct {
			Skipped int   `json:"skipped_lines"`
			Rows    []Row `json:"rows"`
		}{u.skipped, rows})
	}
	return printRows(out, rows, u.skipped)
}

// readAll reads the files or, without any, standard input.
func (c *Command) readAll(u *usage) error {
	if len(c.Files) == 0 {
		return readLog(u, "standard input", os.Stdin)
	}
	for _, name := range c.Files {
		if err := readFile(u, name); err != nil {
			return err
		}
	}
	return nil
}

func readFile(u *usage, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return readLog(u, name, f)
}

func readLog(u *usage, name string, in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		u.add(lines.Bytes())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	return nil
}

func printRows(out io.Writer, rows []Row, skipped int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "service\tsecond\tslots\ton time\tlate\tin vain\trefused\tover allowance\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%d\t%d\t\n", r.Service, r.Second, r.Slots, r.OnTime, r.Late, r.InVain, r.Refused, r.OverAllowance)
	}
	if skipped > 0 {
		fmt.Fprintf(w, "%d lines that could not be read were left out\n", skipped)
	}
	return w.Flush()
}
