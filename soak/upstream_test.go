package soak

import (
	"fmt"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

const (
	// deadlyPart is the part of prompts that ends each engine which begins to answer it.
	deadlyPart = "dead1"
	// lapseTime is the time from the end of an upstream to the end of its key.
	lapseTime = 300 * time.Millisecond
	// pauseTime is the pause that an upstream asks for.
	pauseTime = 2 * time.Second
	// noticeTime is the time within which a notice reaches the gateways: it is how long requests that were
	// under way when an upstream told it may arrive.
	noticeTime = 500 * time.Millisecond
	// drainTime is the platform's bound on requests to an upstream that leaves.
	drainTime = 2 * time.Second
	// restartTime is the time from an end by the deadly part to the next process.
	restartTime = time.Second
)

// upstream is an upstream that runs in one process after the other.
type upstream struct {
	fleet         *fleet
	name, service string

	mu sync.Mutex // guards the fields below
	// process is the number of the process; replica is nil while none runs. Gateways reach it by link.
	process int
	replica *fakes.Replica
	link    *link
	// leaves is set once the process said that it leaves, at leftAt by the time in which all gateways reach the
	// store; late is the number of requests later than drainTime, leaveFaults is like pauseFaults.
	leaves            bool
	leftAt            time.Duration
	late, leaveFaults int
	// pauseFrom and pauseUntil are when requests of a pause count, paused is the number of those that arrived in
	// the last one, pauseFaults the number of faults by which gateways forget what they were told.
	pauseFrom, pauseUntil time.Time
	paused, pauseFaults   int
	old                   []*fakes.Replica
	// unsized are the connections, by their other ends, on which answers without a length are being written.
	unsized map[string]bool
	// connections are the connections by their other ends.
	connections map[string]connection
}

// connection is what earlier answers left on a connection.
type connection struct {
	// late is what is written once the next request was read.
	late string
	// spoiled is set if one of them had a fault.
	spoiled bool
}

func newUpstream(f *fleet, name, service string) *upstream {
	u := &upstream{fleet: f, name: name, service: service, connections: map[string]connection{}, unsized: map[string]bool{}}
	assert.NilError(f.t, u.start())
	return u
}

// id returns the id of the current process. The caller holds u.mu.
func (u *upstream) id() string { return fmt.Sprint(u.name, "-", u.process) }

// start starts a process and writes its key.
func (u *upstream) start() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.process++
	process := u.process
	var l *link
	replica, err := fakes.NewReplica(u.id(), func(r *fakes.Request) {
		u.mu.Lock()
		behind := l
		u.mu.Unlock()
		u.serve(process, behind, r)
	})
	if err != nil {
		return fmt.Errorf("start %s: %w", u.name, err)
	}
	if l, err = newLink(replica.Addr()); err != nil {
		replica.Close()
		return err
	}
	u.link = l
	replica.Advertise(u.link.addr())
	replica.LeaveUnread(uploadBytes)
	if u.service == fakes.EngineService {
		replica.AddModel("small", "a1")
	}
	u.replica, u.leaves, u.pauseUntil = replica, false, time.Time{}
	u.describe()
	return nil
}

// describe writes the key of the process that runs. The caller holds u.mu.
func (u *upstream) describe() {
	state := "ready"
	if u.leaves {
		state = "draining"
	}
	u.fleet.store.Put(fakes.UpstreamKeyPrefix+u.id(), u.replica.Description(u.service, "zone-a", state))
}

// crash ends the process if it is the one with the number and it runs. It reports whether it did.
func (u *upstream) crash(process int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.replica == nil || u.process != process {
		return false
	}
	key := fakes.UpstreamKeyPrefix + u.id()
	u.link.refuse()
	for address := range u.unsized {
		// Nobody could tell the end of a connection from the end of such an answer.
		u.link.resetGateway(address)
	}
	u.replica.Crash()
	u.link.close()
	u.old = append(u.old, u.replica)
	u.replica, u.connections = nil, map[string]connection{}
	time.AfterFunc(lapseTime, func() { u.fleet.store.Delete(key) })
	return true
}

// current returns the number of the process, and false if none runs.
func (u *upstream) current() (int, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.process, u.replica != nil
}

// currentLink returns the link to the process, nil if none runs.
func (u *upstream) currentLink() *link {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.replica == nil {
		return nil
	}
	return u.link
}

// startAfter starts the next process after a time, which the fleet waits for at the end.
func (u *upstream) startAfter(span time.Duration) {
	u.fleet.lasting.Go(func() {
		time.Sleep(span)
		if err := u.start(); err != nil {
			u.fleet.record.breach("%v", err)
		}
	})
}

// leave lets the process say in its answers and in the store that it leaves. It returns the number of the process, and
// false if none runs that stays.
func (u *upstream) leave() (int, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.replica == nil || u.leaves {
		return 0, false
	}
	u.leaves, u.leftAt, u.late, u.leaveFaults = true, u.fleet.storeUp.read(), 0, int(u.fleet.faultsEnded.Load())
	u.describe()
	return u.process, true
}

// pause lets the process refuse requests and ask for a pause.
func (u *upstream) pause() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := time.Now(); now.After(u.pauseUntil) {
		u.pauseFrom, u.pauseUntil, u.paused = now.Add(noticeTime), now.Add(pauseTime), 0
		// Faults that last excuse as well.
		u.pauseFaults = int(u.fleet.faultsEnded.Load())
	}
}

func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.replica != nil {
		u.link.close()
		u.replica.Close()
	}
	for _, r := range u.old {
		r.Close()
	}
}

// count counts a request that arrived, and reports how long the process wants no more; 0 if it takes the request.
func (u *upstream) count() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	// What a link held back arrives when its fault ends.
	if u.leaves && u.fleet.storeUp.read()-u.leftAt > drainTime && !u.link.disturbedSince(now.Add(-noticeTime)) {
		u.late++
		faults := int(u.fleet.faultsBegun.Load()) - u.leaveFaults
		if u.late > 2*faults {
			u.fleet.record.breach("%s got %d requests more than %v after it said that it leaves", u.id(), u.late, drainTime)
		}
	}
	if !now.Before(u.pauseUntil) {
		return 0
	}
	// A link that is disturbed holds back requests, and the notice of the pause.
	if now.After(u.pauseFrom) && !u.link.disturbedSince(u.pauseFrom.Add(-noticeTime)) {
		u.paused++
		faults := int(u.fleet.faultsBegun.Load()) - u.pauseFaults
		if limit := 2 * (gatewayCount + faults); u.paused > limit {
			u.fleet.record.breach("%s got %d requests within a pause, %d may be under way", u.id(), u.paused, limit)
		}
	}
	return u.pauseUntil.Sub(now)
}

// serve answers a request that reached a process.
func (u *upstream) serve(process int, l *link, r *fakes.Request) {
	if s := u.fleet.silence.Load(); s.isComplete() {
		u.fleet.record.spoil(r.RequestID)
		<-s.end
		r.ResetConnection()
		return
	}
	pause := u.count()
	switch {
	case pause > 0:
		r.RejectForPause(fmt.Sprintf("%.3f", pause.Seconds()))
	case r.HasPromptPart(deadlyPart):
		time.Sleep(20 * time.Millisecond)
		if u.crash(process) {
			u.fleet.record.addDeadlyEnd()
			u.startAfter(restartTime)
		}
	default:
		u.answer(l, r)
	}
}

// answer answers a request, maybe with a fault.
func (u *upstream) answer(l *link, r *fakes.Request) {
	attempt := u.fleet.record.addRun(r.RequestID, l)
	a := newAnswer(r, u.notices(), attempt, u.service == fakes.EngineService)
	spoiled := u.fleet.spoil.Load() && a.spoil(u.fleet.randomOf(r.RequestID, attempt))
	if !spoiled && u.fleet.endings && u.fleet.spoil.Load() {
		spoiled = a.vary(u.fleet.randomOf(r.RequestID+" end", attempt), u.fleet.silence.Load())
	}
	late, spoiledBefore := u.swapConnection(r, connection{a.late, spoiled})
	if spoiled || spoiledBefore {
		u.fleet.record.spoil(r.RequestID)
	}
	if a.framing == closing {
		u.setUnsized(r.RemoteAddr, true)
		defer u.setUnsized(r.RemoteAddr, false)
	}
	switch {
	case a.early && late == "":
		a.writeEarly(r, l)
	case !r.Unread || r.ReadUpload(wholeUpload) == nil:
		a.write(r, l, late)
	}
}

// setUnsized sets whether an answer without a length is being written on the connection from the address.
func (u *upstream) setUnsized(address string, unsized bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if unsized {
		u.unsized[address] = true
	} else {
		delete(u.unsized, address)
	}
}

// swapConnection sets what an answer leaves on its connection. It returns the bytes that the answer before left, and
// whether any one before had a fault.
func (u *upstream) swapConnection(r *fakes.Request, next connection) (late string, spoiled bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var before connection
	if r.NumberOnConnection > 1 {
		// Else another connection had the same port.
		before = u.connections[r.RemoteAddr]
	}
	next.spoiled = next.spoiled || before.spoiled
	u.connections[r.RemoteAddr] = next
	return before.late, before.spoiled
}

// notices returns the headers by which the process says something of itself.
func (u *upstream) notices() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.leaves {
		return ""
	}
	return fakes.LeavingHeader
}
