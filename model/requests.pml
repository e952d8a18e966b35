/*
 * One logical request, up to ATTEMPTS attempts by the caller with the same idempotency key, each
 * through another entry: admission, home daemon of the key, forward, run at an engine, outcome.
 *
 * Properties:
 *   - a non-idempotent request runs at most once, over all attempts;
 *   - an attempt whose caller was told NotRun has not run and never runs;
 *   - Done is told only of a request that has finished, with its own answer.
 *
 * There is no time here: a message may be delayed for any while, an entry may stop for any while
 * (which covers its death), and the caller may send the next attempt at any moment.
 * Every guard has a switch NO_GUARD_... that takes it out. See README.md.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef IDEMPOTENT
#define IDEMPOTENT 0 /* an idempotent request may be sent again after a timeout */
#endif
#ifndef CALLER_REPEATS_ATTEMPT
#define CALLER_REPEATS_ATTEMPT 0 /* a caller, or a balancer in between, calls every attempt "1" */
#endif

#define SENDS 2 /* an entry hands one attempt to an engine at most so often */
#define HOMES 2 /* daemons that some view of the membership takes for the key's home */

#define NONE 0

mtype = { IN_FLIGHT, RUNNING, FINISHED, REFUSED, NOT_SENT };
mtype = { STARTED, DONE };
mtype = { GRANTED, ALREADY_STARTED, ALREADY_DONE, CANNOT_KNOW };
mtype = { Done, NotRun, Unknown };

/* What became of each send of each attempt; index: attempt * SENDS + send. */
byte sends[(ATTEMPTS + 1) * SENDS];
#define sendOf(n, s) sends[(n) * SENDS + (s)]

/* Per home: its memory of the key. */
byte record[HOMES]; /* NONE, STARTED or DONE */
byte recordAttempt[HOMES]; /* the attempt that was granted */
byte notRunUpTo[HOMES]; /* attempts 1..n are certain not to have run */

/* Known to the properties only. */
byte runs = 0;
bool finished = false;
byte told[ATTEMPTS + 1];

/* ---- The decision functions ---- */

/* May a home without a STARTED or DONE record grant attempt n? Only if no earlier attempt can have
 * been granted, here or at a daemon that another view of the membership took for the home. A first
 * attempt has no earlier one; of a later one it takes word that the one just before did not run.
 *
 * HOME_TRUSTS_ITS_VIEW is the weaker rule "Unknown only if the membership changed lately". A daemon
 * that was wrongly taken for dead sees no change, and grants what the new home (1) granted before. */
#if defined(NO_GUARD_HOME_KNOWS)
#define mayGrant(h, n) true
#elif defined(HOME_TRUSTS_ITS_VIEW)
#define mayGrant(h, n) (n == 1 || h == 0)
#elif defined(NO_GUARD_NEXT_ATTEMPT)
#define mayGrant(h, n) (n == 1 || notRunUpTo[h] > 0)
#else
#define mayGrant(h, n) (n == notRunUpTo[h] + 1)
#endif

/* ---- Home daemon ---- */

/* The entry of attempt n asks home h whether it may run. Asking again is harmless: the record names
 * the attempt, and an attempt has one entry. */
inline askHome(h, n, reply)
{
    if
#ifndef NO_GUARD_HOME_RECORDS
    :: record[h] == DONE -> reply = ALREADY_DONE
    :: record[h] == STARTED && recordAttempt[h] != n -> reply = ALREADY_STARTED
    :: record[h] == STARTED && recordAttempt[h] == n -> reply = GRANTED
    :: record[h] == NONE && !mayGrant(h, n) -> reply = CANNOT_KNOW
    :: record[h] == NONE && mayGrant(h, n) ->
        record[h] = STARTED;
        recordAttempt[h] = n;
        reply = GRANTED
#else
    :: reply = GRANTED
#endif
    fi
}

inline tellHomeDone(h, n)
{
    if
    :: record[h] == STARTED && recordAttempt[h] == n -> record[h] = DONE
    :: else
    fi
}

/* The entry of attempt n vouches that it did not run and will not. It may tell every home it asked. */
inline tellHomesNotRun(n)
{
    for (h : 0 .. HOMES - 1) {
        if
        :: record[h] == STARTED && recordAttempt[h] == n ->
            record[h] = NONE;
            recordAttempt[h] = NONE;
            notRunUpTo[h] = n
        :: record[h] == NONE && notRunUpTo[h] + 1 == n -> notRunUpTo[h] = n
        :: true /* the message is lost, or does not apply */
        fi
    }
    h = 0
}

/* ---- Engine, with the owner and the network before it ---- */

proctype engine(byte n)
{
    byte s;
    do
    :: atomic {
        select(s : 0 .. SENDS - 1);
        if
        /* Refused by the owner or the engine before it started; the refusal may get lost. */
        :: sendOf(n, s) == IN_FLIGHT ->
            sendOf(n, s) = REFUSED;
            printf("attempt %d: send %d refused\n", n, s)
        :: sendOf(n, s) == IN_FLIGHT ->
            sendOf(n, s) = RUNNING;
            runs++;
            printf("attempt %d: send %d starts to run\n", n, s);
            assert(told[n] != NotRun);
            assert(IDEMPOTENT || runs <= 1)
        :: sendOf(n, s) == RUNNING ->
            sendOf(n, s) = FINISHED;
            finished = true
        :: else
        fi;
        s = 0
    }
    od
}

/* ---- Entry ---- */

inline tell(n, outcome)
{
    told[n] = outcome;
    printf("attempt %d: caller is told %e\n", n, outcome);
    assert(outcome != Done || finished);
    assert(outcome != NotRun ||
        (sendOf(n, 0) != RUNNING && sendOf(n, 0) != FINISHED && sendOf(n, 1) != RUNNING && sendOf(n, 1) != FINISHED))
}

/* A later send that was refused says nothing of an earlier one without an answer. */
#ifdef NO_GUARD_ALL_SENDS
#define certainNotRun (!lastUnanswered)
#else
#define certainNotRun (!anyUnanswered)
#endif

proctype entry(byte attempt)
{
    byte n = attempt; /* what the caller calls it */
    byte home;
    byte h;
    byte reply = NONE;
    byte s = 0;
    bool lastUnanswered = false;
    bool anyUnanswered = false;

#if CALLER_REPEATS_ATTEMPT
    n = 1;
#endif

    /* This entry's view of the membership names either daemon. */
    select(home : 0 .. HOMES - 1);

    do
    :: atomic {
        askHome(home, n, reply);
        printf("attempt %d: home %d says %e\n", attempt, home, reply);
        if
        :: break
        :: reply = NONE /* the answer is lost: ask again, perhaps another home by a newer view */
        fi;
        select(home : 0 .. HOMES - 1)
    }
    /* Never handed to an engine, so this is certain whatever the home has recorded. */
    :: atomic { tellHomesNotRun(n); tell(attempt, NotRun); goto ended }
    od;

    if
    :: atomic { reply == ALREADY_DONE -> tell(attempt, Done); goto ended }
    :: atomic { reply == ALREADY_STARTED || reply == CANNOT_KNOW -> tell(attempt, Unknown); goto ended }
    :: reply == GRANTED
    fi;

    do
    /* Nothing is outstanding: send, or send to another server after a refusal. */
    :: atomic {
        s < SENDS ->
        if
        :: sendOf(attempt, s) = IN_FLIGHT
        :: sendOf(attempt, s) = NOT_SENT /* no connection: certain that no byte left */
        fi;
        if
        :: atomic { sendOf(attempt, s) == FINISHED -> tellHomeDone(home, n); tell(attempt, Done); goto ended }
        :: atomic { sendOf(attempt, s) == REFUSED || sendOf(attempt, s) == NOT_SENT -> lastUnanswered = false }
        /* Timeout or broken connection: it may run now, later or never. */
        :: atomic { sendOf(attempt, s) != NOT_SENT -> lastUnanswered = true; anyUnanswered = true }
#ifdef NO_GUARD_ANSWER_CHECK
        /* A late answer to another request arrives on this connection and passes for ours. */
        :: atomic { sendOf(attempt, s) != NOT_SENT -> tell(attempt, Done); goto ended }
#endif
        fi;
        s++;
        if
#if !IDEMPOTENT && !defined(NO_GUARD_NO_RESEND)
        :: anyUnanswered -> break
        :: !anyUnanswered
#else
        :: true
#endif
        fi
    }
    :: s > 0 -> break
    od;

    atomic {
        if
#ifdef NO_GUARD_UNKNOWN_ON_TIMEOUT
        :: true -> tellHomesNotRun(n); tell(attempt, NotRun)
#else
        :: certainNotRun -> tellHomesNotRun(n); tell(attempt, NotRun)
        :: !certainNotRun -> tell(attempt, Unknown)
#endif
        fi
    }
ended:
    skip
}

init
{
    byte n;
    /* The caller sends the next attempt at any moment, answered or not. */
    for (n : 1 .. ATTEMPTS) {
        atomic { run entry(n); run engine(n) }
    }
}
