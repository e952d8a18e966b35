/*
 * Ownership of one backend server: session lease, record {owner, epoch}, fencing token, takeover.
 *
 * Safety is asserted where it can break, at the engine:
 *   - an unload never hits an adapter that is serving a request;
 *   - on a checking engine no order takes effect after one with a higher token, and no two daemons
 *     ever use the same token.
 * Liveness (LIVENESS=1): a server without an owner is owned again once faults stop.
 *
 * Time is a set of countdowns that one tick lowers together. Whatever is due at the engine (the end
 * of an order's life, a run's deadline) blocks the next tick until it is handled, so bounds on delays
 * hold exactly and the state space is finite without a horizon.
 *
 * No daemon is ever forced to take a step, so a pause of any length at any place, and a kill, are
 * among the behaviours searched; only the liveness variant needs an explicit kill.
 *
 * Every guard has a switch NO_GUARD_... that takes it out. See README.md.
 */

#ifndef CHECKS_FENCING
#define CHECKS_FENCING 1 /* the engine refuses a token lower than the highest it has seen */
#endif
#ifndef DAEMONS
#define DAEMONS 2
#endif
#ifndef OUTAGES
#define OUTAGES 1 /* how often the key-value service goes down */
#endif
#ifndef ENGINE_RESTARTS
#define ENGINE_RESTARTS 0 /* how often the engine restarts cold, forgetting tokens and adapters */
#endif
#ifndef ENGINE_LOAD_REPLACES
#define ENGINE_LOAD_REPLACES 0 /* a load into a full slot evicts instead of being refused */
#endif
#ifndef LIVENESS
#define LIVENESS 0
#endif
#ifndef EPOCH_MAX
#define EPOCH_MAX 2 /* takeovers through the service stop here, which bounds the search */
#endif

/* All durations in ticks. */
#define LEASE 2
#define ORDER_LIFE 1 /* from send() to effect at the latest: TCP_USER_TIMEOUT + the engine's queue */
#define GRACE 1 /* graceMs: how long after its lapse an owner may run on a non-checking engine */
#define LONGEST_DEADLINE 1 /* of all requests that are admitted; the engine ends a run at its deadline */

/* How long a sender counts work without an answer as in progress: one instant past the bound. */
#define IN_FLIGHT_AT_MOST (ORDER_LIFE + LONGEST_DEADLINE + 1)
#define UNLOADING_AT_MOST (ORDER_LIFE + 1)

/* What a new owner on a non-checking engine waits for, from the end of the old session. */
#define SERVE_WAIT ORDER_LIFE
#ifdef NO_GUARD_EVICT_WAIT_GRACE
#define EVICT_WAIT (ORDER_LIFE + LONGEST_DEADLINE)
#else
#define EVICT_WAIT (GRACE + ORDER_LIFE + LONGEST_DEADLINE)
#endif

/* On a checking engine safety rests on no lease at all: there, any session may end at any time. Only
 * the liveness variant needs leases on that engine. */
#define TIMED_LEASES (!CHECKS_FENCING || LIVENESS)

#define NOBODY 255
#define NONE 0 /* no token, no order */

/* token = epoch * TOKENS_PER_EPOCH + round: round 0 comes from the service, others from outage claims. */
#define TOKENS_PER_EPOCH 4

mtype = { LOAD, UNLOAD, RUN };
mtype = { CAS_SEEN, CAS_AMBIGUOUS };
mtype = { RENEW_SENT, RENEW_EXTENDED, RENEW_GONE };

/* An order or a run on its way to the engine. */
typedef message {
    byte kind;
    byte token;
    byte life;
};

typedef daemon_state {
    /* Session lease, as the daemon counts it. */
    byte leaseLeft;
    byte graceLeft;
    byte renewal; /* NONE or RENEW_... */
    byte renewalAge;

    /* Tenure. The token is NONE when the daemon does not take itself for the owner. */
    byte token;
    bool claimed; /* checking engine: it has confirmed fence(token) */
    byte serveWait; /* non-checking engine: until old orders can no longer arrive */
    byte evictWait; /* non-checking engine: until old runs can no longer be in progress */
    bool reportIdle; /* the last engine report that carried our token showed the adapter not running */

    /* Takeover through the service. */
    byte cas; /* NONE or CAS_... */
    byte seenEpoch; /* of the record, when the compare-and-swap was decided */

    byte pending; /* decided by user code and not sent yet: a pause can fall in between */

    /* Own work at the engine. */
    bool inFlight;
    byte inFlightLeft;
    bool unloading; /* an unload that may still take effect */
    byte unloadingLeft;
};

daemon_state daemon[DAEMONS];

/* Key-value service. */
bool serviceUp = true;
byte sessionLeft[DAEMONS];
bool sessionDue[DAEMONS]; /* ran out while the service was down */
byte recordOwner = 0;
byte recordEpoch = 1;
bool recordSessionGone = false; /* the session named in the record has ended */

/* Engine with one adapter, and the wire to it. The adapter counts as resident at any time (loads and
 * runs are never refused for want of it), which only adds behaviours. */
byte highestToken = NONE;
byte tokenHolder = NOBODY; /* who used highestToken; known to the property only */
bool running[DAEMONS]; /* a request of this daemon runs on the adapter */
byte runningLeft[DAEMONS];
message orderWire[DAEMONS]; /* load, unload */
message runWire[DAEMONS];

/* Faults. */
byte outagesLeft = OUTAGES;
byte restartsLeft = ENGINE_RESTARTS;
bool claimedInOutage[DAEMONS]; /* one claim each, which bounds the search */
bool dead[DAEMONS];
bool faultsOver = false;

/* The daemon is one event loop: it takes no other step while a decision waits to be sent. */
#define idle(d) (!dead[d] && daemon[d].pending == NONE)

/* ---- The decision functions ---- */

#if TIMED_LEASES
#define lapsed(d) (daemon[d].leaseLeft == 0)
#else
#define lapsed(d) false
#endif

#ifdef NO_GUARD_GRACE
#define inGrace(d) true
#else
#define inGrace(d) (daemon[d].graceLeft > 0)
#endif

#ifdef NO_GUARD_SERVE_WAIT
#define serveWaitOver(d) true
#else
#define serveWaitOver(d) (daemon[d].serveWait == 0)
#endif

#ifdef NO_GUARD_EVICT_WAIT
#define evictWaitOver(d) true
#else
#define evictWaitOver(d) (daemon[d].evictWait == 0)
#endif

#ifdef NO_GUARD_STALE_NO_EVICT
#define mayEvictLapsed(d) inGrace(d)
#else
#define mayEvictLapsed(d) false
#endif

#ifdef NO_GUARD_REPORT
#define idleInReport(d) true
#else
#define idleInReport(d) daemon[d].reportIdle
#endif

#ifdef NO_GUARD_REPORT_TOKEN
#define carriesOurToken(d) true
#else
#define carriesOurToken(d) (daemon[d].claimed && highestToken == daemon[d].token)
#endif

#ifdef NO_GUARD_INFLIGHT
#define serving(d) false
#else
#define serving(d) daemon[d].inFlight
#endif

#ifdef NO_GUARD_UNLOAD_OUTSTANDING
#define unloadOutstanding(d) false
#else
#define unloadOutstanding(d) daemon[d].unloading
#endif

#if CHECKS_FENCING
/* The engine is the arbiter, so a lapsed lease alone stops nothing. */
#define maySend(d) (daemon[d].token != NONE && daemon[d].claimed)
#define mayEvict(d) (maySend(d) && idleInReport(d) && !serving(d))
#else
#define maySend(d) (daemon[d].token != NONE && serveWaitOver(d) && (!lapsed(d) || inGrace(d)))
#define mayEvict(d) (maySend(d) && evictWaitOver(d) && (!lapsed(d) || mayEvictLapsed(d)) && !serving(d))
#endif
#define mayRun(d) (maySend(d) && !unloadOutstanding(d))

/* The session named in the record has ended, or it is an earlier tenure of our own. */
#if defined(NO_GUARD_TAKEOVER_AFTER_LEASE) || !TIMED_LEASES
#define mayTakeOver(d) true
#elif defined(NO_GUARD_RETAKE)
#define mayTakeOver(d) recordSessionGone
#else
#define mayTakeOver(d) (recordSessionGone || recordOwner == d)
#endif

/* A claim made at the engine during an outage, which the record does not know of. */
#define mustRepair(d) (daemon[d].token % TOKENS_PER_EPOCH != 0)

/* No two peers may ever choose the same token, whatever their views of the membership. */
#ifdef NO_GUARD_UNIQUE_TOKEN
#define outageRound(d) 1
#else
#define outageRound(d) (1 + d)
#endif

#define epochLimit (faultsOver -> EPOCH_MAX + 3 : EPOCH_MAX)

/* ---- Changes of a daemon's state ---- */

inline loseTenure(d)
{
    if
    :: daemon[d].token != NONE -> printf("daemon %d: gives up token %d\n", d, daemon[d].token)
    :: else
    fi;
    daemon[d].token = NONE;
    daemon[d].claimed = false;
    daemon[d].serveWait = 0;
    daemon[d].evictWait = 0;
    daemon[d].reportIdle = false
}

inline endCas(d)
{
    daemon[d].cas = NONE;
    daemon[d].seenEpoch = 0
}

/* The record names this daemon at `epoch`. */
inline beginTenure(d, epoch)
{
    loseTenure(d);
    daemon[d].token = (epoch) * TOKENS_PER_EPOCH;
#if !CHECKS_FENCING
    daemon[d].serveWait = SERVE_WAIT;
    daemon[d].evictWait = EVICT_WAIT;
#endif
    printf("daemon %d: owner, token %d\n", d, daemon[d].token);
    endCas(d)
}

inline forgetRun(d)
{
    daemon[d].inFlight = false;
    daemon[d].inFlightLeft = 0
}

inline forgetUnload(d)
{
    daemon[d].unloading = false;
    daemon[d].unloadingLeft = 0
}

/* The order sockets are shut: what was decided before cannot be sent any more. */
inline fence(d)
{
    if
    :: daemon[d].pending == RUN -> forgetRun(d)
    :: daemon[d].pending == UNLOAD -> forgetUnload(d)
    :: else
    fi;
    if
    :: daemon[d].pending != NONE -> printf("daemon %d: fenced before it sent\n", d)
    :: else
    fi;
    daemon[d].pending = NONE
}

/* ---- Daemon: session lease ---- */

inline endRenewal(d)
{
    daemon[d].renewal = NONE;
    daemon[d].renewalAge = 0
}

#if TIMED_LEASES
proctype leaseTask(byte d)
{
    do
    :: atomic {
        idle(d) && daemon[d].renewal == NONE && daemon[d].leaseLeft < LEASE ->
        daemon[d].renewal = RENEW_SENT;
        printf("daemon %d: renewal sent\n", d)
    }
    /* The service handles the renewal; its answer may reach the daemon much later. */
    :: atomic {
        serviceUp && daemon[d].renewal == RENEW_SENT ->
        if
        :: sessionLeft[d] > 0 ->
            sessionLeft[d] = LEASE;
            daemon[d].renewal = RENEW_EXTENDED;
            printf("service: session of %d extended\n", d)
        :: else -> daemon[d].renewal = RENEW_GONE
        fi
    }
    :: atomic {
        idle(d) && daemon[d].renewal == RENEW_EXTENDED ->
        /* Counted from before the send: the service began to count no earlier than that. */
#ifdef NO_GUARD_LEASE_FROM_SEND
        daemon[d].leaseLeft = LEASE;
#else
        daemon[d].leaseLeft = LEASE - daemon[d].renewalAge;
#endif
        printf("daemon %d: lease renewed, %d left\n", d, daemon[d].leaseLeft);
        endRenewal(d)
    }
    /* The lease is gone. The tenure belongs to the session and ends with it, except a claim made at
     * the engine during an outage: that one is written into the record now. */
    :: atomic {
        idle(d) && daemon[d].renewal == RENEW_GONE && serviceUp ->
        if
        :: mustRepair(d)
        :: else -> loseTenure(d)
        fi;
        printf("daemon %d: learns that its session is gone, opens a new one\n", d);
        sessionLeft[d] = LEASE;
        daemon[d].leaseLeft = LEASE;
        endRenewal(d)
    }
    :: atomic { dead[d] -> break }
    od
}

#endif

/* ---- Daemon: takeover ---- */

proctype takeoverTask(byte d)
{
    byte known;
    do
    :: atomic {
        idle(d) && serviceUp && daemon[d].cas == NONE && !lapsed(d) && recordEpoch < epochLimit &&
        ((daemon[d].token == NONE && mayTakeOver(d)) || mustRepair(d)) ->
        daemon[d].seenEpoch = recordEpoch;
        daemon[d].cas = CAS_SEEN
    }
    :: atomic {
        idle(d) && serviceUp && daemon[d].cas == CAS_SEEN ->
        if
        :: recordEpoch == daemon[d].seenEpoch ->
            recordOwner = d;
            recordEpoch++;
            printf("service: record is {%d, %d}\n", d, recordEpoch);
#if TIMED_LEASES
            recordSessionGone = (sessionLeft[d] == 0);
#endif
            if
            :: beginTenure(d, recordEpoch)
            :: !faultsOver -> daemon[d].cas = CAS_AMBIGUOUS /* written, and the answer is lost */
            fi
        :: else ->
            if
            :: endCas(d)
            :: !faultsOver -> daemon[d].cas = CAS_AMBIGUOUS /* refused, and the answer is lost */
            fi
        fi
    }
    /* Only the record itself tells whether the write is in. */
    :: atomic {
        idle(d) && serviceUp && daemon[d].cas == CAS_AMBIGUOUS ->
        if
#ifdef NO_GUARD_READ_BACK
        :: true -> beginTenure(d, daemon[d].seenEpoch + 1)
#else
        :: recordOwner == d && recordEpoch == daemon[d].seenEpoch + 1 && !recordSessionGone ->
            beginTenure(d, recordEpoch)
        :: else -> endCas(d)
#endif
        fi
    }
    /* A daemon that reads a newer epoch of another one gives way. */
    :: atomic {
        idle(d) && serviceUp && recordOwner != d && daemon[d].token != NONE &&
        daemon[d].token < recordEpoch * TOKENS_PER_EPOCH ->
        loseTenure(d);
        endCas(d)
    }
#if !TIMED_LEASES
    /* The session ended. A claim made at the engine outlives it. */
    :: atomic { idle(d) && daemon[d].token != NONE && !mustRepair(d) -> loseTenure(d); endCas(d) }
#endif
#if CHECKS_FENCING
    /* Outage: membership shows the owner dead. That may be wrong, and the epoch known here may lag, so
     * nothing is assumed of either: the claim takes a token of its own, and the engine decides. */
    :: atomic {
        idle(d) && !serviceUp && daemon[d].token == NONE && daemon[d].cas == NONE && !claimedInOutage[d] ->
        select(known : 1 .. EPOCH_MAX);
        if
        :: known <= recordEpoch ->
            daemon[d].token = known * TOKENS_PER_EPOCH + outageRound(d);
            claimedInOutage[d] = true;
            printf("daemon %d: outage claim, token %d\n", d, daemon[d].token)
        :: else
        fi;
        known = 0
    }
    /* A report or a refusal shows a higher token. If the record still names this daemon (the claimant
     * died before it repaired the record), it takes a new epoch. */
    :: atomic { idle(d) && daemon[d].claimed && daemon[d].token < highestToken -> loseTenure(d) }
    /* fence(token). The answer may be lost; the daemon then claims again. */
    :: atomic {
        idle(d) && daemon[d].token != NONE && !daemon[d].claimed ->
        if
        :: daemon[d].token < highestToken -> loseTenure(d)
        :: else ->
            assert(daemon[d].token > highestToken || tokenHolder == d);
            highestToken = daemon[d].token;
            tokenHolder = d;
            printf("engine: fence(%d) of %d\n", highestToken, d);
            if
            :: daemon[d].claimed = true
            :: !faultsOver
            fi
        fi
    }
#endif
    :: atomic { dead[d] -> break }
    od
}

/* ---- Daemon: orders and runs ---- */

inline put(wire, what, d)
{
    wire.kind = what;
    wire.token = daemon[d].token;
    wire.life = ORDER_LIFE;
    printf("daemon %d: sends %e with token %d\n", d, what, wire.token)
}

#if !LIVENESS
proctype orderTask(byte d)
{
    byte i;
    do
    :: atomic {
        idle(d) && mayRun(d) && !daemon[d].inFlight ->
        daemon[d].inFlight = true;
        daemon[d].inFlightLeft = IN_FLIGHT_AT_MOST;
        daemon[d].pending = RUN;
        printf("daemon %d: decides to run\n", d)
    }
    :: atomic {
        idle(d) && mayEvict(d) && orderWire[d].kind == NONE && !daemon[d].unloading ->
        daemon[d].unloading = true;
        daemon[d].unloadingLeft = UNLOADING_AT_MOST;
        daemon[d].pending = UNLOAD;
        printf("daemon %d: decides to unload\n", d)
    }
#if ENGINE_LOAD_REPLACES
    /* A stale owner loads another adapter, into a slot that was free when it last looked. */
    :: atomic {
        idle(d) && maySend(d) && lapsed(d) && !serving(d) && orderWire[d].kind == NONE -> daemon[d].pending = LOAD
    }
#endif
    :: atomic {
        !dead[d] && daemon[d].pending == RUN ->
        daemon[d].inFlightLeft = IN_FLIGHT_AT_MOST;
        put(runWire[d], RUN, d);
        daemon[d].pending = NONE
    }
    :: atomic {
        !dead[d] && daemon[d].pending == UNLOAD ->
        daemon[d].unloadingLeft = UNLOADING_AT_MOST;
        put(orderWire[d], UNLOAD, d);
        daemon[d].pending = NONE
    }
    :: atomic {
        !dead[d] && daemon[d].pending == LOAD ->
        put(orderWire[d], LOAD, d);
        daemon[d].pending = NONE
    }
#if CHECKS_FENCING
    /* An engine report. It counts only if it carries our token: no run of an older tenure can start
     * after it, so what it shows idle is served by nobody but us. */
    :: atomic {
        idle(d) && daemon[d].token != NONE && carriesOurToken(d) ->
        printf("daemon %d: reads an engine report\n", d);
        daemon[d].reportIdle = true;
        for (i : 0 .. DAEMONS - 1) {
            if
            :: running[i] -> daemon[d].reportIdle = false
            :: else
            fi
        }
        i = 0
    }
#endif
    /* Without an answer, work counts as in progress until it cannot be any more. */
    :: atomic { idle(d) && daemon[d].inFlight && daemon[d].inFlightLeft == 0 -> forgetRun(d) }
    :: atomic { idle(d) && daemon[d].unloading && daemon[d].unloadingLeft == 0 -> forgetUnload(d) }
    od
}
#endif

/* ---- Engine ---- */

inline clear(wire)
{
    wire.kind = NONE;
    wire.token = NONE;
    wire.life = 0
}

/* Does the engine obey this token? If so, it is the highest one that took effect. */
inline judge(presented, d)
{
    obeyed = true;
#if CHECKS_FENCING
#ifndef NO_GUARD_ENGINE_CHECKS
    obeyed = (presented >= highestToken);
#endif
    if
    :: obeyed ->
        assert(presented > highestToken || (presented == highestToken && tokenHolder == d));
        highestToken = presented;
        tokenHolder = d
    :: else
    fi
#endif
}

inline assertNotServing()
{
    for (i : 0 .. DAEMONS - 1) {
        assert(!running[i])
    }
    i = 0
}

inline takeOrder(d)
{
    judge(orderWire[d].token, d);
    printf("engine: order of %d, token %d, obeyed %d\n", d, orderWire[d].token, obeyed);
    if
    :: obeyed -> assertNotServing()
    :: !obeyed && idle(d) && daemon[d].token == orderWire[d].token -> loseTenure(d) /* StaleFencing */
    :: !obeyed /* the answer is lost or late */
    fi;
    if
    :: orderWire[d].kind == UNLOAD -> forgetUnload(d)
    :: true /* the answer is lost or late */
    fi;
    clear(orderWire[d])
}

inline takeRun(d)
{
    judge(runWire[d].token, d);
    printf("engine: run of %d, token %d, started %d\n", d, runWire[d].token, obeyed);
    if
    :: obeyed ->
        running[d] = true;
        runningLeft[d] = LONGEST_DEADLINE
    :: !obeyed -> forgetRun(d)
    :: !obeyed
    fi;
    clear(runWire[d])
}

inline endRun(d)
{
    running[d] = false;
    runningLeft[d] = 0;
    printf("engine: run of %d ends\n", d);
    if
    :: forgetRun(d)
    :: true
    fi
}

proctype engineTask(byte d)
{
    bool obeyed;
    byte i;
    do
    :: atomic { orderWire[d].kind != NONE -> takeOrder(d); obeyed = false }
    :: atomic { orderWire[d].kind != NONE -> clear(orderWire[d]) } /* the connection broke first */
    :: atomic { runWire[d].kind != NONE -> takeRun(d); obeyed = false }
    :: atomic { runWire[d].kind != NONE -> clear(runWire[d]) }
    :: atomic { running[d] -> endRun(d) }
    od
}

/* ---- Time ---- */

#ifdef NO_GUARD_ORDER_LIFE
#define orderDue(d) false
#else
#define orderDue(d) (orderWire[d].kind != NONE && orderWire[d].life == 0)
#endif
#define dueAtEngine(d) (orderDue(d) || \
    (runWire[d].kind != NONE && runWire[d].life == 0) || (running[d] && runningLeft[d] == 0))

/* Once faults stop, a live daemon renews before its lease ends. */
#define renewsInTime(d) (!faultsOver || dead[d] || daemon[d].leaseLeft != 1)

#if DAEMONS > 2
#define anyDueAtEngine (dueAtEngine(0) || dueAtEngine(1) || dueAtEngine(2))
#define allRenewInTime (renewsInTime(0) && renewsInTime(1) && renewsInTime(2))
#else
#define anyDueAtEngine (dueAtEngine(0) || dueAtEngine(1))
#define allRenewInTime (renewsInTime(0) && renewsInTime(1))
#endif

#define lower(countdown) countdown = (countdown > 0 -> countdown - 1 : 0)

/* The fence is a timer signal to the sending thread. It is pending while the process is stopped, and
 * its handler runs before any user code after SIGCONT, so to the daemon it fires exactly in time. */
inline tickDaemon(d)
{
    if
    :: daemon[d].leaseLeft == 1 ->
        daemon[d].leaseLeft = 0;
#if !CHECKS_FENCING
        daemon[d].graceLeft = GRACE;
#endif
#ifndef NO_GUARD_SELF_FENCE
        fence(d)
#endif
    :: daemon[d].leaseLeft == 0 && daemon[d].graceLeft == 1 ->
        daemon[d].graceLeft = 0;
#ifndef NO_GUARD_GRACE_FENCE
        fence(d)
#endif
    :: else ->
        lower(daemon[d].leaseLeft);
        lower(daemon[d].graceLeft)
    fi;
    if
    :: (daemon[d].renewal == RENEW_SENT || daemon[d].renewal == RENEW_EXTENDED) && daemon[d].renewalAge < LEASE ->
        daemon[d].renewalAge++
    :: else
    fi;
    lower(daemon[d].serveWait);
    lower(daemon[d].evictWait);
    lower(daemon[d].inFlightLeft);
    lower(daemon[d].unloadingLeft)
}

inline noteSessionEnd(d)
{
    if
    :: recordOwner == d -> recordSessionGone = true
    :: else
    fi
}

/* A lease that runs out while the service is down ends at its return, or is granted its whole time anew.
 * It never ends before its time. */
inline tickSession(d)
{
    if
    :: sessionLeft[d] > 0 ->
        sessionLeft[d]--;
        if
        :: sessionLeft[d] == 0 && serviceUp -> noteSessionEnd(d)
        :: sessionLeft[d] == 0 && !serviceUp -> sessionDue[d] = true
        :: else
        fi
    :: else
    fi
}

inline tickEngine(d)
{
    lower(orderWire[d].life);
    lower(runWire[d].life);
    lower(runningLeft[d])
}

proctype clock()
{
    byte d;
    do
    :: atomic {
        !anyDueAtEngine && allRenewInTime ->
        printf("-- tick --\n");
        for (d : 0 .. DAEMONS - 1) {
            tickDaemon(d);
            tickSession(d);
            tickEngine(d)
        }
        d = 0
    }
    od
}

/* ---- Faults ---- */

proctype faults()
{
    byte d;
    do
    :: atomic { outagesLeft > 0 && serviceUp -> serviceUp = false; outagesLeft--; printf("service: down\n") }
    :: atomic {
        !serviceUp ->
        for (d : 0 .. DAEMONS - 1) {
            if
            :: sessionDue[d] -> noteSessionEnd(d)
            :: sessionDue[d] -> sessionLeft[d] = LEASE
            :: !sessionDue[d]
            fi;
            sessionDue[d] = false
        }
        d = 0;
        serviceUp = true;
        printf("service: up\n")
    }
#if ENGINE_RESTARTS
    :: atomic {
        restartsLeft > 0 ->
        restartsLeft--;
        printf("engine: restarts cold\n");
        highestToken = NONE;
        tokenHolder = NOBODY;
        for (d : 0 .. DAEMONS - 1) {
            running[d] = false;
            runningLeft[d] = 0;
            clear(orderWire[d]);
            clear(runWire[d]);
#ifndef NO_GUARD_CLAIM_PER_CONNECTION
            /* No connection outlives the engine, and orders go out only on a connection that the
             * claim was made on: the daemon must connect, claim and read a report again. */
            fence(d);
            daemon[d].claimed = false;
            daemon[d].reportIdle = false
#endif
        }
        d = 0
    }
#endif
#if LIVENESS
    :: atomic { serviceUp -> outagesLeft = 0; faultsOver = true; break }
    :: atomic {
        serviceUp ->
        if
        :: d = 0
        :: d = 1
        fi;
        loseTenure(d);
        endCas(d);
        endRenewal(d);
        daemon[d].leaseLeft = 0;
        daemon[d].graceLeft = 0;
        dead[d] = true;
        printf("daemon %d: killed\n", d);
        d = 0;
        outagesLeft = 0;
        faultsOver = true;
        break
    }
#endif
    od
}

init
{
    byte d;
    atomic {
#if TIMED_LEASES
        for (d : 0 .. DAEMONS - 1) {
            daemon[d].leaseLeft = LEASE;
            sessionLeft[d] = LEASE
        }
#endif
        daemon[0].token = TOKENS_PER_EPOCH;
#if CHECKS_FENCING
        daemon[0].claimed = true;
        highestToken = TOKENS_PER_EPOCH;
        tokenHolder = 0;
#endif
        for (d : 0 .. DAEMONS - 1) {
#if TIMED_LEASES
            run leaseTask(d);
#endif
            run takeoverTask(d);
#if !LIVENESS
            run orderTask(d);
            run engineTask(d)
#endif
        }
        d = 0;
        run clock();
        run faults()
    }
}

#if LIVENESS
#if CHECKS_FENCING
#define inForce(d) (daemon[d].claimed && daemon[d].token == highestToken)
#else
#define inForce(d) (daemon[d].serveWait == 0 && daemon[d].evictWait == 0)
#endif
#define owns(d) (!dead[d] && daemon[d].token != NONE && !lapsed(d) && recordOwner == d && inForce(d))
ltl owned_again { [] (faultsOver -> <> (owns(0) || owns(1))) }
#endif
