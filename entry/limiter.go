package entry

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/quota"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// withdrawalTimeout is how long a request waits for the answer of one pool. A gateway on a small
	// VM may be descheduled for most of a tenth of a second.
	withdrawalTimeout = 80 * time.Millisecond
	// lateGrantTTL is how long a grant that arrives after its timeout is still credited.
	lateGrantTTL = 5 * clock.Second
	// depositInterval is the interval between two deposits of tokens.
	depositInterval = 500 * clock.Millisecond
)

// rateLimiter connects a quota.Limiter with the other gateways. It implements relay.Limiter and is
// safe for concurrent use.
type rateLimiter struct {
	vm    units.VMID
	clock clock.Clock
	peers *peers.Transport

	mu    sync.Mutex // guards the fields below
	quota *quota.Limiter
	// customers are those of the current configuration.
	customers map[units.CustomerID]*fleet.Customer
	// addresses are those of the other gateways.
	addresses map[units.VMID]string
	// withdrawals are the unanswered ones by number; lastWithdrawal is the number of the last one.
	withdrawals    map[uint64]*withdrawal
	lastWithdrawal uint64
	// deposited identifies the last deposits received from each gateway.
	deposited   map[units.VMID]depositNumber
	depositedAt clock.Time
	// incarnation and depositCount number the deposits of this process.
	incarnation, depositCount uint64
}

// withdrawal is an unanswered withdrawal.
type withdrawal struct {
	customer *fleet.Customer
	sentAt   clock.Time
	// granted receives the answer, once.
	granted chan quota.Grant
	// abandoned is set when no request waits for the answer any longer.
	abandoned bool
}

// depositNumber identifies a Deposits message of one gateway.
type depositNumber struct{ incarnation, number uint64 }

func newRateLimiter(vm units.VMID, c clock.Clock, q *quota.Limiter, incarnation uint64) *rateLimiter {
	return &rateLimiter{
		vm: vm, clock: c, quota: q, incarnation: incarnation,
		customers: map[units.CustomerID]*fleet.Customer{}, addresses: map[units.VMID]string{},
		withdrawals: map[uint64]*withdrawal{}, deposited: map[units.VMID]depositNumber{},
	}
}

// setGateways sets the number of gateways that share rates and the registered ones.
func (l *rateLimiter) setGateways(n int, registered []member.Gateway) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.addresses)
	for _, g := range registered {
		l.addresses[g.VM] = g.Address
	}
	l.quota.SetGateways(n, registered)
}

// setCustomers sets the customers of the current configuration.
func (l *rateLimiter) setCustomers(customers []*fleet.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.customers)
	for _, c := range customers {
		l.customers[c.ID] = c
	}
}

// Take implements relay.Limiter: it reports whether the customer may use the tokens now, and if not,
// after which delay a retry may succeed. It may wait for the answers of the customer's pools.
func (l *rateLimiter) Take(ctx context.Context, c *fleet.Customer, tokens float64) (bool, clock.Span) {
	l.mu.Lock()
	d := l.quota.Take(l.clock.Now(), c, tokens)
	l.mu.Unlock()
	if d.Granted || len(d.Withdraw) == 0 {
		return d.Granted, d.RetryAfter
	}
	collected := d.Collect(func(vm units.VMID, w quota.Withdrawal) (quota.Grant, bool) { return l.withdraw(ctx, vm, c, w) })
	if !collected.Answered {
		stats.Event("quota_pools_silent")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	d = l.quota.Settle(l.clock.Now(), c, d, collected)
	return d.Granted, d.RetryAfter
}

// withdraw asks a pool for tokens. It returns false if the pool does not answer in time.
func (l *rateLimiter) withdraw(ctx context.Context, vm units.VMID, c *fleet.Customer, request quota.Withdrawal) (quota.Grant, bool) {
	address, id, w := l.newWithdrawal(vm, c)
	if address == "" {
		l.abandon(id)
		return quota.Grant{}, false
	}
	l.peers.Send(&wire.Datagram{Body: &wire.Datagram_Withdrawal{Withdrawal: &wire.Withdrawal{
		Id: id, Customer: string(c.ID), Tokens: request.Tokens, Extra: request.Extra, Unspent: request.Unspent,
	}}}, address)
	timeout := time.NewTimer(withdrawalTimeout)
	defer timeout.Stop()
	select {
	case g := <-w.granted:
		return g, l.endWithdrawal(id, vm, true)
	case <-ctx.Done():
	case <-timeout.C:
		l.endWithdrawal(id, vm, false)
	}
	l.abandon(id)
	return quota.Grant{}, false
}

// endWithdrawal records whether the pool on a VM has answered, and returns that.
func (l *rateLimiter) endWithdrawal(id uint64, vm units.VMID, answered bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		delete(l.withdrawals, id)
		l.quota.RecordAnswer(vm)
	} else {
		l.quota.RecordSilence(l.clock.Now(), vm)
	}
	return answered
}

// abandon makes the gateway credit the answer to a withdrawal for which no request waits any longer.
func (l *rateLimiter) abandon(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.withdrawals[id]
	w.abandoned = true
	select {
	case g := <-w.granted:
		l.credit(id, w, g)
	default:
	}
}

// credit adds the tokens of a grant to the gateway's bucket. The caller holds l.mu.
func (l *rateLimiter) credit(id uint64, w *withdrawal, g quota.Grant) {
	delete(l.withdrawals, id)
	l.quota.Credit(l.clock.Now(), w.customer, g.Tokens)
}

// newWithdrawal registers a withdrawal at the pool on a VM, and returns the pool's address and the
// withdrawal's number. The address is empty if the VM is not known.
func (l *rateLimiter) newWithdrawal(vm units.VMID, c *fleet.Customer) (string, uint64, *withdrawal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastWithdrawal++
	w := &withdrawal{customer: c, sentAt: l.clock.Now(), granted: make(chan quota.Grant, 1)}
	l.withdrawals[l.lastWithdrawal] = w
	return l.addresses[vm], l.lastWithdrawal, w
}

// Spend implements relay.Limiter: a request whose tokens were taken is sent.
func (l *rateLimiter) Spend(c *fleet.Customer, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota.Spend(l.clock.Now(), c, tokens)
}

// Unspend implements relay.Limiter: a request that was sent has not run and waits again.
func (l *rateLimiter) Unspend(c *fleet.Customer, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota.Unspend(l.clock.Now(), c, tokens)
}

// Refund implements relay.Limiter: it returns the tokens of a request that waits and will not run.
func (l *rateLimiter) Refund(c *fleet.Customer, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota.Refund(l.clock.Now(), c, tokens)
}

// handleMessage handles a message about tokens from another gateway.
func (l *rateLimiter) handleMessage(m *wire.Datagram, from netip.AddrPort) {
	switch {
	case m.GetWithdrawal() != nil:
		l.peers.Reply(&wire.Datagram{Body: &wire.Datagram_Grant{Grant: l.handleWithdrawal(m.GetWithdrawal(), from)}}, from)
	case m.GetGrant() != nil:
		l.handleGrant(m.GetGrant())
	case m.GetDeposits() != nil:
		l.handleDeposits(m.GetDeposits())
	}
}

// unknownCustomerRetry is the delay sent for a customer that this gateway's configuration doesn't have.
const unknownCustomerRetry = 500 * clock.Millisecond

func (l *rateLimiter) handleWithdrawal(w *wire.Withdrawal, from netip.AddrPort) *wire.TokenGrant {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.customers[units.CustomerID(w.GetCustomer())]
	if !ok {
		stats.Event("quota_customers_unknown")
		return &wire.TokenGrant{Id: w.GetId(), RetryAfterMs: int64(unknownCustomerRetry)}
	}
	g := l.quota.Withdraw(l.clock.Now(), c, from.String(), quota.Withdrawal{Tokens: w.GetTokens(), Extra: w.GetExtra(), Unspent: w.GetUnspent()})
	return &wire.TokenGrant{Id: w.GetId(), Tokens: g.Tokens, Available: g.Available, RetryAfterMs: int64(g.RetryAfter)}
}

// handleGrant passes a grant to the request that waits for it, or credits it if none does. Each grant
// counts once.
func (l *rateLimiter) handleGrant(m *wire.TokenGrant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.withdrawals[m.GetId()]
	if !ok {
		return
	}
	g := quota.Grant{Tokens: m.GetTokens(), Available: m.GetAvailable(), RetryAfter: clock.Span(m.GetRetryAfterMs())}
	if w.abandoned {
		l.credit(m.GetId(), w, g)
		return
	}
	select {
	case w.granted <- g:
	default:
		stats.Event("quota_grants_repeated")
	}
}

// handleDeposits credits deposits unless they are a repeated or delayed message.
func (l *rateLimiter) handleDeposits(m *wire.Deposits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	vm, number := units.VMID(m.GetVm()), depositNumber{m.GetLife(), m.GetNumber()}
	if last := l.deposited[vm]; last.incarnation == number.incarnation && last.number >= number.number {
		return
	}
	l.deposited[vm] = number
	now := l.clock.Now()
	for _, d := range m.GetDeposits() {
		if c, ok := l.customers[units.CustomerID(d.GetCustomer())]; ok {
			l.quota.Receive(now, c, d.GetTokens())
		}
	}
}

// onTick deposits surplus tokens when this is due and forgets withdrawals that were never answered.
func (l *rateLimiter) onTick(now clock.Time) {
	if now.Sub(l.depositedAt) < depositInterval {
		return
	}
	l.depositedAt = now
	l.mu.Lock()
	for id, w := range l.withdrawals {
		if w.abandoned && now.Sub(w.sentAt) > lateGrantTTL {
			delete(l.withdrawals, id)
		}
	}
	messages := map[string]*wire.Deposits{}
	for vm, deposits := range l.quota.Deposits(now, slices.Collect(maps.Values(l.customers))) {
		l.depositCount++
		m := &wire.Deposits{Vm: string(l.vm), Life: l.incarnation, Number: l.depositCount}
		for _, d := range deposits {
			m.Deposits = append(m.Deposits, &wire.Deposit{Customer: string(d.Customer), Tokens: d.Tokens})
		}
		messages[l.addresses[vm]] = m
	}
	l.mu.Unlock()
	for address, m := range messages {
		l.peers.Send(&wire.Datagram{Body: &wire.Datagram_Deposits{Deposits: m}}, address)
	}
}
