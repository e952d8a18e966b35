/* Places of one model server under changing orderers: load and unload orders that are answered, lost, or
   carried out late, and a handover between two daemons through the store's record.

   The server holds at most PLACES adapters; one load too many crashes it. It refuses an order whose sequence isn't
   its own, and one whose fencing token is below the highest it has seen. Orders without an answer stay on the way
   and may arrive at any later time. Mutants take one guard out.

   With SERVER_IGNORES_TOKENS the server takes any token. Then a daemon orders only while it has the right to: until
   its lease ends by its own clock, and again only after a renewal and a reading that shows its record. The store
   may remove a record under a holder that still has the right; the successor waits until it has ended. */

#ifndef PLACES
#define PLACES 1
#endif
#define ADAPTERS 2
#define DAEMONS 2
#define LATE_MAX 2   /* unanswered orders on the way at once */
#define ORDERS_MAX 4
#define FENCE_MAX 2

#ifdef NO_GUARD_REPORT_FIRST
#define PROVED(d) true
#else
#define PROVED(d) daemon[d].proved
#endif

#ifndef SERVER_IGNORES_TOKENS
#define RIGHT(d) true
#elif defined(NO_GUARD_OWN_CLOCK)
#define RIGHT(d) !daemon[1 - d].right
#elif defined(NO_GUARD_SUCCESSOR_WAITS)
#define RIGHT(d) daemon[d].right
#else
#define RIGHT(d) (daemon[d].right && !daemon[1 - d].right)
#endif

#define MAY_ORDER(d) (PROVED(d) && RIGHT(d))

/* The server. */
bool held[ADAPTERS];
byte heldCount = 0;
byte sequence = 0;
byte highestFence = 0;
byte lastHolder = DAEMONS;

/* The store's record: who orders, under which token. */
byte recordHolder = DAEMONS; /* nobody */
byte recordFence = 0;

/* Orders on the way without an answer. */
typedef late_order { bool there; bool load; byte adapter; byte expected; byte fence; byte holder };
late_order late[LATE_MAX];

byte orders = 0;

typedef daemon_state { bool owns; byte fence; bool proved; byte sequence; bool believes[ADAPTERS]; bool right };
daemon_state daemon[DAEMONS];

inline carryOut(isLoad, which, expects, token, sender, result)
{
    /* 0 refused, 1 done */
    result = 1;
#if !defined(NO_GUARD_SERVER_FENCE) && !defined(SERVER_IGNORES_TOKENS)
    if :: token < highestFence -> result = 0 :: else -> skip fi;
#endif
#ifndef NO_GUARD_SEQUENCE
    if :: expects != sequence -> result = 0 :: else -> skip fi;
#endif
    if
    :: result == 1 ->
        /* One token never stands for two holders. */
        assert(!(token == highestFence && lastHolder != DAEMONS && lastHolder != sender));
        highestFence = (token > highestFence -> token : highestFence);
        lastHolder = sender;
        sequence = sequence + 1;
        if
        :: isLoad && !held[which] -> held[which] = true; heldCount = heldCount + 1
        :: !isLoad && held[which] -> held[which] = false; heldCount = heldCount - 1
        :: else -> skip
        fi
    :: else -> skip
    fi;
    /* Never more than fits. */
    assert(heldCount <= PLACES)
}

/* Places that a daemon counts as taken: by adapters it believes in. */
inline countTaken(d, taken)
{
    taken = 0;
    if :: daemon[d].believes[0] -> taken = taken + 1 :: else -> skip fi;
    if :: daemon[d].believes[1] -> taken = taken + 1 :: else -> skip fi
}

proctype orderer(byte me)
{
    byte adapter;
    byte taken;
    byte answer;
    bool load;
    byte slot;
end:
    do
    /* Claims what nobody orders, by compare-and-swap; the token is the record's revision. */
    :: atomic { recordHolder == DAEMONS && recordFence < FENCE_MAX ->
        recordHolder = me;
#ifndef NO_GUARD_UNIQUE_FENCE
        recordFence = recordFence + 1;
#else
        recordFence = 1;
#endif
        daemon[me].owns = true; daemon[me].fence = recordFence; daemon[me].proved = false;
        daemon[me].right = true }
#ifdef SERVER_IGNORES_TOKENS
    /* Its lease ends by its own clock, before it ends at the store. */
    :: atomic { daemon[me].right -> daemon[me].right = false }
    /* A renewal, and a reading that shows its record. */
#ifndef NO_GUARD_READING
    :: atomic { daemon[me].owns && !daemon[me].right && recordHolder == me && recordFence == daemon[me].fence ->
        daemon[me].right = true }
#else
    :: atomic { daemon[me].owns && !daemon[me].right -> daemon[me].right = true }
#endif
#endif
    /* Its lease runs out while it is cut off: the record goes, and it may not know yet. */
    :: atomic { recordHolder == me -> recordHolder = DAEMONS }
    /* It hears that it no longer orders. */
    :: atomic { daemon[me].owns && recordHolder != me -> daemon[me].owns = false }
    /* A report proves what is held. */
    :: atomic { daemon[me].owns && !daemon[me].proved ->
        daemon[me].sequence = sequence;
        daemon[me].believes[0] = held[0]; daemon[me].believes[1] = held[1];
        daemon[me].proved = true }
    /* An order, answered at once, or lost on the way to arrive late or never. */
    :: atomic { daemon[me].owns && orders < ORDERS_MAX && MAY_ORDER(me) ->
        orders = orders + 1;
        if :: adapter = 0 :: adapter = 1 fi;
        countTaken(me, taken);
        load = !daemon[me].believes[adapter];
        if
        :: load && taken >= PLACES -> skip /* no room: nothing is ordered */
        :: else ->
#ifdef SERVER_IGNORES_TOKENS
            /* Nobody orders after its successor has. */
            assert(daemon[me].fence >= highestFence);
#endif
            if
            :: carryOut(load, adapter, daemon[me].sequence, daemon[me].fence, me, answer);
                if
                :: answer == 1 ->
                    daemon[me].believes[adapter] = load;
                    daemon[me].sequence = daemon[me].sequence + 1
                :: else -> daemon[me].proved = false
                fi
            :: !late[0].there || !late[1].there ->
                slot = (late[0].there -> 1 : 0);
                late[slot].there = true; late[slot].load = load; late[slot].adapter = adapter;
                late[slot].expected = daemon[me].sequence; late[slot].fence = daemon[me].fence;
                late[slot].holder = me;
                daemon[me].proved = false
            fi
        fi }
    :: orders >= ORDERS_MAX -> break
    od
}

/* The network brings unanswered orders at any time, or never. */
proctype network()
{
    byte answer;
end:
    do
    :: atomic { late[0].there ->
        late[0].there = false;
        carryOut(late[0].load, late[0].adapter, late[0].expected, late[0].fence, late[0].holder, answer) }
    :: atomic { late[1].there ->
        late[1].there = false;
        carryOut(late[1].load, late[1].adapter, late[1].expected, late[1].fence, late[1].holder, answer) }
    :: orders >= ORDERS_MAX && !late[0].there && !late[1].there -> break
    od
}

init
{
    atomic { run orderer(0); run orderer(1); run network() }
}
