// Package predictionscmd implements "cassiarampctl predictions", which compares the predicted
// with the actual times of requests.
package predictionscmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cassiaramp/cassiaramp/internal/ctl/vars"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// ErrNoPredictions reports that no process publishes predictions.
var ErrNoPredictions = errors.New("no process publishes predictions")

// Command holds the arguments of "cassiarampctl predictions".
type Command struct {
	vars.ProcessFlags
	JSON bool `arg:"--json" help:"print one JSON document"`
}

// Description is shown by --help.
func (*Command) Description() string {
	return "Compare predicted with actual times to the start and to the end of responses, by service, route, speed of the target and load, summed over all entries."
}

// Epilogue is shown by --help.
func (*Command) Epilogue() string {
	return `"ratio" is the geometric mean of actual / predicted; ">1.5" and ">2" are the shares above. "cut" counts requests cut off by their deadline.
Example: cassiarampctl predictions --store IP:PORT`
}

// Run prints the table. Its error wraps ErrNoPredictions when there is nothing to show.
func (c *Command) Run(ctx context.Context, out io.Writer) error {
	urls, err := c.AdminURLs(ctx)
	if err != nil {
		return err
	}
	rows, errs := merge(vars.Fetch(ctx, urls))
	if len(rows) == 0 {
		return errors.Join(append([]error{ErrNoPredictions}, errs...)...)
	}
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(rows)
	} else {
		err = printRows(out, rows)
	}
	return errors.Join(append([]error{err}, errs...)...)
}

// merge adds up the rows of all processes, in the order in which they first occur, and returns
// the errors of those that could not be read.
func merge(readings []vars.Reading) (rows []*state.CalibrationRow, errs []error) {
	type key struct {
		service            state.Service
		route, speed, load string
	}
	sums := make(map[key]*state.CalibrationRow)
	for _, r := range readings {
		if r.Error != "" {
			errs = append(errs, errors.New(r.Error))
		}
		for _, row := range r.Metrics.Predictions {
			k := key{row.Service, row.Route, row.Speed, row.Load}
			sum := sums[k]
			if sum == nil {
				sum = &state.CalibrationRow{Service: row.Service, Route: row.Route, Speed: row.Speed, Load: row.Load}
				sums[k], rows = sum, append(rows, sum)
			}
			sum.Start.Add(row.Start)
			sum.End.Add(row.End)
			sum.Cut += row.Cut
		}
	}
	return rows, errs
}

func printRows(out io.Writer, rows []*state.CalibrationRow) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "service\troute\ttarget\tload\tstarts\tratio\t>1.5\t>2\tends\tratio\t>1.5\t>2\tcut\n")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\n", r.Service, r.Route, r.Speed, r.Load, formatErrors(&r.Start), formatErrors(&r.End), r.Cut)
	}
	return w.Flush()
}

// formatErrors returns the cells for one kind of prediction.
func formatErrors(e *state.PredictionErrors) string {
	over15, over2 := e.Shares()
	return fmt.Sprintf("%d\t%.2f\t%.2f\t%.2f", e.Count, e.MeanRatio(), over15, over2)
}
