/*
 * One request of a daemon, from its arrival to its final response: the choice of a server, the slot
 * request, the send, the check of a response whose end proves nothing, and the repetition. Notices,
 * grants, refusals, blocks, the deadline and the caller's leaving come in any order and at any time.
 *
 * Properties:
 *   - a request that may not be repeated reaches at most one server that runs it;
 *   - a request whose caller was told "not run" has not run and never runs.
 *
 * Every guard has a switch NO_GUARD_... that takes it out. See README.md.
 */

#ifndef REPEATABLE
#define REPEATABLE 0
#endif
#ifndef SERVERS
#define SERVERS 3 /* the request is sent to so many at most */
#endif

mtype = { CHOOSING, AWAITING_SLOT, SENT, CHECKING_END, JUDGED, FINISHED };

mtype stage = CHOOSING;
byte sends = 0;
bool slotRequested = false; /* for some server since the request arrived */
bool mayHaveRun = false;
bool latestMayHaveRun = false; /* at the latest server */

/* Known to the properties only. */
byte runs = 0;
bool latestRuns = false;
bool toldNotRun = false;

/* ---- The decision functions ---- */

#ifndef NO_GUARD_SEND
#define maySend (stage != SENT && stage != CHECKING_END && stage != FINISHED \
    && (REPEATABLE || !(mayHaveRun || latestMayHaveRun)))
#else
#define maySend (stage != SENT && stage != FINISHED)
#endif

/* Whether an event that concerns requests without a server concerns this one. */
#ifndef NO_GUARD_STAGE
#define isWaiting (stage == AWAITING_SLOT)
#define isBeforeSend (stage == CHOOSING || stage == AWAITING_SLOT || stage == JUDGED)
#else
/* Guessed from fields: no send is active, and a slot was requested once. */
#define isWaiting (slotRequested && stage != SENT && stage != FINISHED)
#define isBeforeSend (stage != SENT && stage != FINISHED)
#endif

inline refuse()
{
    toldNotRun = !(mayHaveRun || latestMayHaveRun);
    stage = FINISHED;
    assert(!toldNotRun || runs == 0);
}

/* Looks for another server. */
inline dispatch()
{
    if
    :: maySend -> stage = CHOOSING
    :: !maySend && stage != SENT && stage != CHECKING_END -> refuse()
    :: else
    fi
}

inline send()
{
    if
    :: maySend && sends < SERVERS ->
        sends++;
        stage = SENT;
        mayHaveRun = mayHaveRun || latestMayHaveRun;
#ifndef NO_GUARD_FROM_SEND
        latestMayHaveRun = true;
#else
        latestMayHaveRun = false; /* until its response is judged */
#endif
        if
        :: latestRuns = true; runs++
        :: latestRuns = false
        fi;
        assert(!toldNotRun || runs == 0);
        assert(REPEATABLE || runs <= 1)
    :: else -> dispatch()
    fi
}

/* The response has ended, and its end is known: it proves that nothing ran, or it doesn't. */
inline judge()
{
    stage = JUDGED;
    if
    :: !latestRuns -> latestMayHaveRun = false
    :: latestMayHaveRun = true
    fi;
    if
    :: dispatch()
    :: refuse()
    :: stage = FINISHED /* the caller gets the response */
    fi
}

active proctype request()
{
    do
    :: atomic { stage == CHOOSING -> stage = AWAITING_SLOT; slotRequested = true }
    :: atomic { stage == CHOOSING -> send() }
    :: atomic { stage == SENT -> judge() }
    :: atomic { stage == SENT -> stage = CHECKING_END }
    :: atomic { stage == CHECKING_END -> judge() }
    :: stage == FINISHED -> break
    od
}

active proctype events()
{
    do
    /* A grant, also a late or repeated one. */
    :: atomic { isWaiting -> send() }
    /* A refusal by the owner, a notice of the server, its removal. */
    :: atomic { isWaiting -> dispatch() }
    /* The request is found to crash servers. */
    :: atomic { isBeforeSend -> refuse() }
    /* The deadline: a request that a server may be working on fails, any other is refused. */
    :: atomic { stage != FINISHED -> refuse() }
    /* The caller leaves. */
    :: atomic { stage != FINISHED -> stage = FINISHED }
    :: stage == FINISHED -> break
    od
}
