//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client opens a connection for each request, as many callers do.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 20 * time.Second}

// keeping keeps its connections.
var keeping = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}, Timeout: 20 * time.Second}

func statusOf(url string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	res, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

var lastID atomic.Int64

func newID(prefix string) string { return fmt.Sprintf("%s-%06d", prefix, lastID.Add(1)) }

// call is a request of a caller.
type call struct {
	id, method, path, body string
	headers                map[string]string
	timeout                time.Duration
}

// answer is what a caller got.
type answer struct {
	status     int
	stamp      string
	retryAfter string
	body       string
	// whole is set if the answer has ended as it should.
	whole bool
	err   error
	took  time.Duration
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return fmt.Sprintf("no answer (%v) after %d ms", a.err, a.took.Milliseconds())
	}
	text := fmt.Sprintf("%d", a.status)
	if a.stamp == "" {
		text += " without a stamp"
	}
	if a.retryAfter != "" {
		text += ", Retry-After " + a.retryAfter
	}
	if !a.whole {
		text += ", broken off"
	}
	if a.status != http.StatusOK {
		text += ", body " + short(a.body)
	}
	return fmt.Sprintf("%s after %d ms", text, a.took.Milliseconds())
}

// send sends a request to a gateway.
func send(c *http.Client, g *gateway, q call) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+g.public+q.path, strings.NewReader(q.body))
	must(err)
	r.Host = host
	r.Header.Set("Request-Id", q.id)
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.timeout.Milliseconds()))
	for k, v := range q.headers {
		r.Header.Set(k, v)
	}
	res, err := c.Do(r)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return answer{
		status: res.StatusCode, stamp: res.Header.Get("Server-Stamp"), retryAfter: res.Header.Get("Retry-After"), body: string(data),
		whole: err == nil, err: err, took: time.Since(began),
	}
}
