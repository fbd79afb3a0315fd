package standin

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
)

const (
	// LockSilenceLimit is how long a LockCaller waits for a response before it gives the call up.
	LockSilenceLimit = time.Second
	// maxDisconnectDelay is the longest random DisconnectDelay.
	maxDisconnectDelay = 3 * time.Second

	minLockTTL, maxLockTTL = 100 * time.Millisecond, 2600 * time.Millisecond
	maxRenewals            = 4
	// A call without a clear answer is repeated this often at most, at other nodes.
	maxLockAttempts = 4
	lockRetryPause  = 50 * time.Millisecond
)

// LockCaller is an application that uses locks as the users' platform does. It has one holder name
// for all its holds, also after it stopped while it held a lock; it sends no request IDs. A call
// without an answer is given up after LockSilenceLimit and repeated at another node, or not at all:
// in particular, a release is sometimes given up and the lock acquired again. Calls that were given
// up may still be executed. Every call is recorded in the history.
type LockCaller struct {
	Host      environment.Host
	History   *checker.History
	Holder    string
	Locks     []string // names of the locks that it uses
	Addresses []string // API addresses of the nodes that it calls
	Random    *rand.Rand
	// DisconnectDelay is the time from giving a call up until its connection is closed, as when the
	// packet that closes it is lost and sent again. Zero draws a random time.
	DisconnectDelay time.Duration

	address string // the node that answered the last call, if it was answered
	clients map[string]*api.Client
}

// lockHold is a lock that a LockCaller holds.
type lockHold struct {
	name  string
	token uint64
	until time.Duration // end of the hold, in the history's time
}

// Use acquires a random lock, may renew it, and then releases it or stops using it without a
// release. It may then acquire it again at once. The context ends calls early.
func (c *LockCaller) Use(ctx context.Context) {
	name := c.Locks[c.Random.IntN(len(c.Locks))]
	for {
		hold := c.acquire(ctx, name)
		if hold == nil || !c.keep(ctx, hold) {
			return
		}
		if c.Random.IntN(6) == 0 {
			return // it dies; its holder name is used again later
		}
		c.release(ctx, hold)
		if ctx.Err() != nil || c.Random.IntN(2) == 0 {
			return
		}
	}
}

// acquire acquires a lock, and repeats a call without a clear answer at other nodes. It returns nil
// if another holder has the lock or no call succeeded.
func (c *LockCaller) acquire(ctx context.Context, name string) *lockHold {
	hold := &lockHold{name: name}
	if c.callUntilAnswered(ctx, api.LockVerbAcquire, hold, maxLockAttempts) != checker.OutcomeDone {
		return nil
	}
	return hold
}

// keep holds a lock for some time and renews it, either by a renewal or by acquiring it again. It
// sometimes sleeps past the end of the hold. It reports false if the lock is lost or given up.
func (c *LockCaller) keep(ctx context.Context, hold *lockHold) bool {
	for range c.Random.IntN(maxRenewals + 1) {
		remaining := hold.until - c.History.Now()
		if remaining <= 0 {
			return true
		}
		sleep(ctx, time.Duration(c.Random.Int64N(int64(remaining))))
		if c.Random.IntN(10) == 0 {
			sleep(ctx, remaining) // it oversleeps
		}
		verb := api.LockVerbRenew
		if c.Random.IntN(6) == 0 {
			verb = api.LockVerbAcquire
		}
		until := hold.until
		if c.callUntilAnswered(ctx, verb, hold, 2) == checker.OutcomeRefused || c.History.Now() > until {
			return false // the lock is lost, or the renewal came too late and the lock is given up
		}
	}
	sleep(ctx, time.Duration(c.Random.Int64N(int64(maxLockTTL/4))))
	return true
}

// release releases a lock. It sends half of the releases once, whatever the answer, and repeats the
// others until they are answered.
func (c *LockCaller) release(ctx context.Context, hold *lockHold) {
	c.callUntilAnswered(ctx, api.LockVerbRelease, hold, 1+c.Random.IntN(2)*(maxLockAttempts-1))
}

// callUntilAnswered makes a call and repeats it at other nodes while the answer is not clear, with
// at most the given number of attempts. On success it updates the hold. It returns the outcome of
// the last attempt.
func (c *LockCaller) callUntilAnswered(ctx context.Context, verb api.LockVerb, hold *lockHold, attempts int) (outcome string) {
	for attempt := range attempts {
		if c.address == "" || c.Random.IntN(3) == 0 {
			c.address = c.Addresses[c.Random.IntN(len(c.Addresses))]
		}
		outcome = c.attempt(ctx, verb, hold)
		if outcome == checker.OutcomeDone || outcome == checker.OutcomeRefused || ctx.Err() != nil {
			return outcome
		}
		c.address = ""
		sleep(ctx, time.Duration(1+attempt)*lockRetryPause)
	}
	return outcome
}

// attempt makes one call with a random TTL and updates the hold if it succeeded.
func (c *LockCaller) attempt(ctx context.Context, verb api.LockVerb, hold *lockHold) (outcome string) {
	ttl := minLockTTL + time.Duration(c.Random.Int64N(int64(maxLockTTL-minLockTTL))).Truncate(time.Millisecond)
	sentAt := c.History.Now()
	token, outcome := c.Call(ctx, LockCall{Address: c.address, Verb: verb, Name: hold.name, Token: hold.token, TTL: ttl})
	if outcome == checker.OutcomeDone && verb != api.LockVerbRelease {
		hold.token, hold.until = token, max(hold.until, sentAt+ttl)
	}
	return outcome
}

// LockCall is one call of a LockCaller. Token is not sent with the verb acquire, TTL not with release.
type LockCall struct {
	Address string // API address of the node
	Verb    api.LockVerb
	Name    string
	Token   uint64
	TTL     time.Duration // in whole milliseconds
}

// Call makes one call, records it, and returns its outcome and the lock's fencing token. It gives
// the call up after LockSilenceLimit; the outcome is unknown then, and the connection is closed
// later by DisconnectDelay.
func (c *LockCaller) Call(ctx context.Context, call LockCall) (token uint64, outcome string) {
	request := &api.Call{Name: call.Name, Holder: api.NewOptString(c.Holder)}
	if call.Verb != api.LockVerbRelease {
		request.TTL = api.NewOptInt64(call.TTL.Milliseconds())
	}
	if call.Verb != api.LockVerbAcquire {
		token = call.Token
		request.Fence = api.NewOptUint64(token)
	}
	record := checker.Record{Kind: checker.CoordinationCall, Start: c.History.Now(), Op: string(call.Verb), Name: call.Name, Holder: c.Holder, TTL: call.TTL}
	receipt, err := c.send(ctx, call.Address, call.Verb, request)
	record.Outcome, record.Code = outcomeOfLockCall(err), CodeOf(err)
	if err != nil {
		record.Note = err.Error()
	} else if call.Verb == api.LockVerbAcquire {
		token = receipt.Fence.Or(0)
	}
	record.FencingToken = token
	c.History.Add(record)
	return token, record.Outcome
}

// send sends a request to a node and returns the response, or context.DeadlineExceeded after
// LockSilenceLimit.
func (c *LockCaller) send(ctx context.Context, address string, verb api.LockVerb, request *api.Call) (*api.Receipt, error) {
	type response struct {
		receipt *api.Receipt
		err     error
	}
	client, delay := c.client(address), c.disconnectDelay()
	responses := make(chan response, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, LockSilenceLimit+delay)
		defer cancel()
		receipt, err := client.Lock(callCtx, request, api.LockParams{Verb: verb})
		responses <- response{receipt, err}
	}()
	timer := time.NewTimer(LockSilenceLimit)
	defer timer.Stop()
	select {
	case r := <-responses:
		return r.receipt, r.err
	case <-timer.C:
		return nil, context.DeadlineExceeded
	}
}

// client returns the client for a node.
func (c *LockCaller) client(address string) *api.Client {
	if c.clients[address] == nil {
		if c.clients == nil {
			c.clients = map[string]*api.Client{}
		}
		c.clients[address] = NewAPIClient(c.Host, address)
	}
	return c.clients[address]
}

func (c *LockCaller) disconnectDelay() time.Duration {
	if c.DisconnectDelay > 0 {
		return c.DisconnectDelay
	}
	return time.Duration(c.Random.Int64N(int64(maxDisconnectDelay)))
}

// outcomeOfLockCall returns the outcome of a call for a history: unknown without an answer that
// states it.
func outcomeOfLockCall(err error) string {
	if err == nil {
		return checker.OutcomeDone
	}
	problem := problemOf(err)
	switch {
	case problem == nil || problem.Outcome.Or("") == checker.OutcomeUnknown:
		return checker.OutcomeUnknown
	case problem.Outcome.Or("") == checker.OutcomeNotRun:
		return checker.OutcomeNotRun
	}
	return checker.OutcomeRefused
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
