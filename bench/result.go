package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/magnolialever/magnolialever/clock"
)

// count is the number of requests, and of those that started before their deadline.
type count struct{ all, good int }

func (c *count) add(good bool) {
	c.all++
	if good {
		c.good++
	}
}

func (c *count) share() float64 { return float64(c.good) / float64(max(c.all, 1)) }

// Result is what a policy achieved.
type Result struct {
	Policy string
	// Attainment is the share of requests within their deadline, of those that the
	// customers' rates admit.
	Attainment float64
	// GoodputPerAccelerator is the number of requests within their deadline in an hour, for
	// each accelerator.
	GoodputPerAccelerator float64
	// Moves counts loads after the start.
	Moves int
	// WorstCustomerAttainment is the attainment of the worst-served customer.
	WorstCustomerAttainment float64
	// OutageAttainment is the attainment while a zone is out.
	OutageAttainment float64
	// Refused counts orders that agents or the weight store refused.
	Refused int

	total     count
	absent    count
	customers []count
}

func (r *Result) count(o *Options, q *request, good bool) {
	r.total.add(good)
	r.customers[q.customer].add(good)
	if from, to := o.absence(); !q.at.Before(from) && q.at.Before(to) {
		r.absent.add(good)
	}
}

func (r *Result) finish(o *Options) {
	r.Attainment = r.total.share()
	hours := float64(o.Length) / float64(clock.Hour)
	r.GoodputPerAccelerator = float64(r.total.good) / hours / float64(o.Site.Replicas*acceleratorsPerReplica)
	r.WorstCustomerAttainment = 1
	for i := range r.customers {
		r.WorstCustomerAttainment = min(r.WorstCustomerAttainment, r.customers[i].share())
	}
	r.OutageAttainment = r.absent.share()
}

// Table is the outcome of one site.
type Table struct {
	Options  Options
	Requests int
	Results  []Result
}

// Result returns the row of the policy.
func (t *Table) Result(policy string) Result {
	for _, r := range t.Results {
		if r.Policy == policy {
			return r
		}
	}
	return Result{}
}

// Write prints the table.
func (t *Table) Write(w io.Writer) error {
	var b strings.Builder
	tw := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	site := t.Options.Site
	_, _ = fmt.Fprintf(tw, "%s: %d replicas, %d models, %d adapters, %d requests in %v, seed %d\n",
		site.Name, site.Replicas, site.Models, site.Adapters, t.Requests, t.Options.Length.Duration(), t.Options.Seed)
	_, _ = fmt.Fprintln(tw, "placement\twithin deadline\tper accelerator and hour\tmoves\tworst customer\tzone absent\torders refused")
	for _, r := range t.Results {
		_, _ = fmt.Fprintf(tw, "%s\t%.4f\t%.1f\t%d\t%.4f\t%.4f\t%d\n",
			r.Policy, r.Attainment, r.GoodputPerAccelerator, r.Moves, r.WorstCustomerAttainment, r.OutageAttainment, r.Refused)
	}
	_ = tw.Flush()
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
