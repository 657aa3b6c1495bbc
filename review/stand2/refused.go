//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// greyTime, greyShare and greyReplicas are the dose of srv_grey on the sheet: 0.14 of the replicas (here one) fail 0.45 of
	// their requests for 6.5 s.
	greyTime  = 6500 * time.Millisecond
	greyShare = 0.45
	// bookingPause is the time between two bookings.
	bookingPause = 40 * time.Millisecond
)

// refusedCase: a replica fails a part of its bookings after it has run them, with a status 503 that doesn't say Not-Executed.
func refusedCase(trouble bool, program string, r *record) bool {
	w := newWorld(trouble, program, r, config(7))
	defer w.close()
	var mu sync.Mutex
	runs, byBooking := map[string]int{}, map[string]int{}
	var greyFrom time.Time
	for i := range 3 {
		w.addReplica(fmt.Sprint("i-app-", i), apps, "praha-a", 6, nil, func(p *replica, rw http.ResponseWriter, q *http.Request) {
			time.Sleep(40 * time.Millisecond)
			id := q.Header.Get("Request-Id")
			mu.Lock()
			runs[id]++
			byBooking[q.URL.Path]++
			grey := trouble && i == 0 && !greyFrom.IsZero() && time.Since(greyFrom) < greyTime && rand.Float64() < greyShare
			mu.Unlock()
			if grey {
				r.logf("%s ran %s (%s) and answers 503, without Not-Executed", p.id, id, q.URL.Path)
				p.respond(rw, http.StatusServiceUnavailable, "the calendar did not confirm in time")
				return
			}
			p.respond(rw, http.StatusOK, "booked")
		})
	}
	w.addGateway("front-praha-a-1", "praha-a", true)
	w.addGateway("front-praha-a-2", "praha-a", true)
	w.awaitReady()
	time.Sleep(2 * time.Second)
	mu.Lock()
	greyFrom = time.Now()
	mu.Unlock()

	var group sync.WaitGroup
	refused, ranThough, twice := 0, 0, 0
	for i := 0; time.Since(greyFrom) < greyTime+time.Second; i++ {
		group.Go(func() {
			path := fmt.Sprintf("/rapu33/booking-%d", i)
			// One repeat, only after a promise that the request has not run, on a new connection, as PROTOCOL.md says.
			for attempt := 1; attempt <= 2; attempt++ {
				q := call{newID("booking"), http.MethodPost, path, "sign interpreter, 9:00", nil, 4 * time.Second}
				a := send(client, w.gateways[(i+attempt)%2], q)
				mu.Lock()
				ran := runs[q.id] > 0
				mu.Unlock()
				if a.status != http.StatusOK {
					r.logf("caller: %s (%s): %v; it has run: %v", q.id, path, a, ran)
				}
				promise := a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421
				if !promise {
					break
				}
				mu.Lock()
				refused++
				if ran {
					ranThough++
				}
				mu.Unlock()
				seconds, _ := strconv.ParseFloat(a.retryAfter, 64)
				time.Sleep(time.Duration(seconds * float64(time.Second)))
			}
			mu.Lock()
			defer mu.Unlock()
			if byBooking[path] > 1 {
				twice++
				r.logf("%s was made %d times", path, byBooking[path])
			}
		})
		time.Sleep(bookingPause)
	}
	group.Wait()
	r.logf("REFUSED: %d attempts answered 503, 429, 408 or 421; %d of these had run; %d bookings made twice", refused, ranThough, twice)
	return ranThough > 0
}
