package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/magnolialever/magnolialever/clock"
)

// requestCount counts all requests, and those that started before their deadline.
type requestCount struct{ total, inTime int }

func (c *requestCount) add(inTime bool) {
	c.total++
	if inTime {
		c.inTime++
	}
}

func (c *requestCount) share() float64 { return float64(c.inTime) / float64(max(c.total, 1)) }

// Result holds the measurements of one policy.
type Result struct {
	Policy string
	// Attainment is the share, 0 to 1, of requests that started before their deadline. Requests
	// rejected by rate limits do not count.
	Attainment float64
	// GoodputPerAccelerator is the number of requests per hour and accelerator that started before
	// their deadline.
	GoodputPerAccelerator float64
	// Moves counts loads after the initial placement.
	Moves int
	// WorstCustomerAttainment is the lowest attainment of any customer.
	WorstCustomerAttainment float64
	// OutageAttainment is the attainment of requests that arrived during the zone outage.
	OutageAttainment float64
	// Refused counts load and unload orders that the simulated agents or weight store refused.
	Refused int

	allRequests    requestCount
	outageRequests requestCount
	customers      []requestCount
}

// record counts a request; inTime is true if it started before its deadline.
func (r *Result) record(o *Options, q *request, inTime bool) {
	r.allRequests.add(inTime)
	r.customers[q.customer].add(inTime)
	if from, to := o.outage(); !q.arrival.Before(from) && q.arrival.Before(to) {
		r.outageRequests.add(inTime)
	}
}

// computeRates sets the exported rates from the counts.
func (r *Result) computeRates(o *Options) {
	r.Attainment = r.allRequests.share()
	hours := float64(o.Length) / float64(clock.Hour)
	r.GoodputPerAccelerator = float64(r.allRequests.inTime) / hours / float64(o.Site.Replicas*acceleratorsPerReplica)
	r.WorstCustomerAttainment = 1
	for i := range r.customers {
		r.WorstCustomerAttainment = min(r.WorstCustomerAttainment, r.customers[i].share())
	}
	r.OutageAttainment = r.outageRequests.share()
}

// Table holds the results of all policies at one site. Requests is the number of admitted requests.
type Table struct {
	Options  Options
	Requests int
	Results  []Result
}

// Result returns the result of the named policy, or a zero Result if the table has none.
func (t *Table) Result(policy string) Result {
	for _, r := range t.Results {
		if r.Policy == policy {
			return r
		}
	}
	return Result{}
}

// Write writes the table as aligned text. It fails only if w does.
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
