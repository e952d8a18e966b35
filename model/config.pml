/*
 * The configuration head {version, patch ids} in the key-value service, racing operators, and the
 * daemons that learn it.
 *
 * Each operator submits one patch, made against the version it last read, and learns one of
 * Accepted, Stale or Undetermined. Properties:
 *   - no accepted patch is lost: the head's history keeps it at base version + 1 for ever;
 *   - Accepted is told only of a patch that is in, Stale only of one that is not and never will be;
 *   - no daemon's version ever goes down, and no daemon holds a version that never was;
 *   - live: once faults stop, every daemon reaches the head's version.
 *
 * Every guard has a switch NO_GUARD_... that takes it out. See README.md.
 */

#ifndef PROPAGATION
#define PROPAGATION 0 /* 0: operators race for the head; 1: daemons learn the versions of a head that moves on */
#endif
#ifndef OUTAGES
#define OUTAGES 1
#endif
#ifndef LIVENESS
#define LIVENESS 0
#endif

#define DAEMONS 3
#define OPERATORS 3
#define TRIES 2 /* an operator's command sends its compare-and-swap at most so often */
#define WINDOW 1 /* the head keeps the ids of so many last patches */
#define VERSION_MAX OPERATORS
#define NONE 0

mtype = { Pending, Accepted, Stale, Undetermined };

/* Key-value service: the head. patchOf is the whole history; only the window of it can be read. */
bool serviceUp = true;
byte headVersion = 0;
byte patchOf[VERSION_MAX + 2]; /* the patch that made a version; NONE if there is none */

/* Writes on their way: operator p's compare-and-swap may take effect long after a timeout. */
byte writesInFlight[OPERATORS + 1];
byte baseOf[OPERATORS + 1]; /* the version that operator p made the patch against */

byte told[OPERATORS + 1];
byte version[DAEMONS];

byte outagesLeft = OUTAGES;
bool faultsOver = false;

/* ---- Decisions of the operator's command ---- */

/* What does a read of the head say of patch p, made against `base`? It can only be version base + 1. */
#define headMoved(base) (headVersion > base)
#ifdef NO_GUARD_WINDOW
#define inWindow(v) true
#define readable(v) (headVersion - (v) < WINDOW -> patchOf[v] : NONE)
#else
#define inWindow(v) (headVersion - (v) < WINDOW)
#define readable(v) patchOf[v]
#endif

/* ---- Service ---- */

/* One compare-and-swap on the head takes effect, or fails for certain. */
inline compareAndSwap(p, base, ok)
{
    if
#ifdef NO_GUARD_CAS
    :: true ->
        /* A plain write of what the operator made from `base`. */
        headVersion = base + 1;
        patchOf[base + 1] = p;
        ok = true
#else
    :: headVersion == base ->
        headVersion = base + 1;
        patchOf[base + 1] = p;
        ok = true
    :: headVersion != base -> ok = false
#endif
    fi;
    printf("service: patch %d on %d, ok %d; head is %d\n", p, base, ok, headVersion);
    assert(!ok || told[p] != Stale);
    assertAcceptedKept()
}

inline assertAcceptedKept()
{
    for (q : 1 .. OPERATORS) {
        if
        :: told[q] == Accepted ->
            found = false;
            for (v : 1 .. VERSION_MAX) {
                if
                :: v <= headVersion && patchOf[v] == q -> found = true
                :: else
                fi
            }
            assert(found)
        :: else
        fi
    }
    q = 0;
    v = 0;
    found = false
}

#if !PROPAGATION
/* ---- Operator's command ---- */

inline tell(p, verdict)
{
    told[p] = verdict;
    printf("operator %d is told %e\n", p, verdict);
    assert(verdict != Accepted || patchOf[baseOf[p] + 1] == p);
    assert(verdict != Stale || patchOf[baseOf[p] + 1] != p)
}

proctype operator(byte p)
{
    byte tries = 0;
    byte q;
    byte v;
    bool ok;
    bool found;

    atomic { serviceUp -> baseOf[p] = headVersion };

send:
    atomic {
        tries++;
        if
        :: serviceUp ->
            compareAndSwap(p, baseOf[p], ok);
            if
            :: ok -> tell(p, Accepted); goto ended
            :: !ok -> goto conflict
            :: goto resolve /* the answer is lost */
            fi
        /* Timeout: the write is still on its way. */
        :: writesInFlight[p]++; goto resolve
        :: !serviceUp -> goto resolve
        fi
    };

conflict:
    /* Somebody's patch is in. It may be our own, by an earlier try whose answer was lost. */
#ifdef NO_GUARD_PATCH_ID
    atomic { tell(p, Stale); goto ended };
#endif

resolve:
    atomic {
        if
        :: serviceUp ->
            if
            :: headMoved(baseOf[p]) && inWindow(baseOf[p] + 1) && readable(baseOf[p] + 1) == p -> tell(p, Accepted); goto ended
            /* The head has left our base, so a write still on its way can only fail. */
            :: headMoved(baseOf[p]) && inWindow(baseOf[p] + 1) && readable(baseOf[p] + 1) != p -> tell(p, Stale); goto ended
            :: headMoved(baseOf[p]) && !inWindow(baseOf[p] + 1) -> tell(p, Undetermined); goto ended
#ifdef NO_GUARD_RESOLVE
            :: !headMoved(baseOf[p]) -> tell(p, Stale); goto ended
#else
            /* Not in, and it may get in yet: only sending it again brings certainty. */
            :: !headMoved(baseOf[p]) && tries < TRIES -> goto send
            :: !headMoved(baseOf[p]) && tries == TRIES -> tell(p, Undetermined); goto ended
#endif
            fi
        :: !faultsOver -> tell(p, Undetermined); goto ended /* the operator gives up and asks again later */
        fi
    };

ended:
    skip
}

/* A write still on its way takes effect, fails or is lost, at any moment. */
proctype delayedWrites(byte p)
{
    byte q;
    byte v;
    bool ok;
    bool found;
end:
    do
    :: atomic {
        serviceUp && writesInFlight[p] > 0 ->
        compareAndSwap(p, baseOf[p], ok);
        writesInFlight[p]--;
        ok = false
    }
    :: atomic { writesInFlight[p] > 0 -> writesInFlight[p]-- }
    od
}

#else
/* Accepted patches, one after the other. */
proctype head()
{
    do
    :: atomic { serviceUp && headVersion < VERSION_MAX -> headVersion++ }
    :: headVersion == VERSION_MAX -> break
    od
}

/* ---- Daemons ---- */

/* `heard` is a version that was true somewhere once: from the service, or from a peer, late. */
inline learn(d, heard)
{
#ifdef NO_GUARD_MONOTONE
    assert(heard >= version[d]);
    version[d] = heard
#else
    if
    :: heard > version[d] ->
        assert(heard <= headVersion);
        version[d] = heard
    :: else
    fi
#endif
}

/* The daemon holds one answer from the service or a peer while others come and go. */
proctype configTask(byte d)
{
    byte heard;
    byte peer;
    do
    :: atomic { serviceUp -> heard = headVersion }
    :: atomic { select(peer : 0 .. DAEMONS - 1); heard = version[peer]; peer = 0 }
    :: atomic { heard > 0 -> learn(d, heard); heard = 0 }
    od
}

/* A watch on the service delivers in the end, once faults are over. */
proctype watchTask(byte d)
{
    do
    :: atomic { serviceUp && version[d] < headVersion -> version[d] = headVersion }
    od
}

#endif

proctype faults()
{
end:
    do
    :: atomic { outagesLeft > 0 && serviceUp -> serviceUp = false; outagesLeft-- }
    :: atomic { !serviceUp -> serviceUp = true }
#if LIVENESS
    :: atomic { serviceUp -> outagesLeft = 0; faultsOver = true; break }
#endif
    od
}

init
{
    byte i;
    atomic {
#if PROPAGATION
        run head();
        for (i : 0 .. DAEMONS - 1) {
            run watchTask(i);
            run configTask(i)
        }
#else
        for (i : 1 .. OPERATORS) {
            told[i] = Pending;
            run operator(i);
            run delayedWrites(i)
        }
#endif
        run faults()
    }
}

#if LIVENESS
#define allReached (version[0] == headVersion && version[1] == headVersion && version[2] == headVersion)
ltl in_force { [] (faultsOver -> <> allReached) }
#endif
