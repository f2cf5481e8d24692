/*
 * Shares of one team's limit. Two daemons may allocate under a claim in the metadata store, two others count for their
 * zones under leased shares. Time passes in ticks, at any moment between other steps, so that every message, write and
 * process may be delayed as long as it likes. A share is a number of units; the bucket that it fills is not modelled.
 * Assertion: the shares in force are never more than the whole. Each BREAK_ switch removes one guard and must lead to
 * a violated assertion.
 */
#define UNITS 2
#define TENURE 2
#define LEASE 3
#define TIMEOUT 1
#define MAX_CLAIM 3
#define MAX_REVISION 5
#define NOBODY 2

/* The claim in the store. */
byte revision;
byte store_claim;
byte store_holder = NOBODY;
/* Counters that may hold shares, one bit each. */
byte store_members;

typedef allocation {
    /* Claim that the daemon holds or writes; 0 for none. */
    byte claim;
    byte revision;
    bool confirmed;
    byte tenure_left;
    byte recorded;
    /* A write on its way. */
    bool writing;
    bool applied;
    bool succeeded;
    byte write_revision;
    byte write_claim;
    byte write_members;
    byte write_age;
    /* What was read of another one's claim. */
    bool seen;
    byte seen_revision;
    byte seen_claim;
    byte seen_members;
    byte seen_left;
    /* Ledger. */
    byte unreported;
    byte former_left;
    byte held[2];
    byte held_left[2];
    byte offered[2];
    byte offered_left[2]
}
allocation at[2];

typedef counting {
    byte share;
    byte lease_left;
    byte claim;
    /* One request to an allocator. */
    bool asking;
    bool answered;
    byte asked;
    byte asked_held;
    byte asked_age;
    byte answer;
    byte answer_claim;
    /* One report to a new allocator. */
    bool reporting;
    byte report_to;
    byte report_claim;
    byte report_held
}
counting zone[2];

/* Claim that its holder has given up for good. */
byte ended_claim;

#define BIT(c) (1 << c)
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define HELD(a, c) (at[a].held_left[c] > 0 -> at[a].held[c] : 0)
#define OFFERED(a, c) (at[a].offered_left[c] > 0 -> at[a].offered[c] : 0)
#define LEASED(a, c) (MAX(HELD(a, c), OFFERED(a, c)))
#define IN_FORCE(c) (zone[c].lease_left > 0 -> zone[c].share : 0)

#ifdef BREAK_TENURE
#define MAY_ACT(a) (at[a].claim > 0 && at[a].confirmed)
#else
#define MAY_ACT(a) (at[a].claim > 0 && at[a].confirmed && at[a].tenure_left > 0)
#endif
#ifdef BREAK_FORMER
#define IS_OPEN(a) true
#else
#define IS_OPEN(a) (at[a].unreported == 0 || at[a].former_left == 0)
#endif

inline age(timer) {
    if
    :: timer > 0 -> timer--
    :: else
    fi
}

inline forget_claim(a) {
    at[a].claim = 0; at[a].confirmed = false; at[a].tenure_left = 0; at[a].recorded = 0;
    at[a].seen = false; at[a].seen_revision = 0; at[a].seen_claim = 0; at[a].seen_members = 0; at[a].seen_left = 0;
    at[a].unreported = 0; at[a].former_left = 0;
    at[a].held[0] = 0; at[a].held[1] = 0; at[a].held_left[0] = 0; at[a].held_left[1] = 0;
    at[a].offered[0] = 0; at[a].offered[1] = 0; at[a].offered_left[0] = 0; at[a].offered_left[1] = 0
}

/* share_ledger::begin */
inline begin(a) {
    at[a].unreported = at[a].seen_members;
    at[a].former_left = LEASE
}

/* allocator_claim::write: the members are those that may hold shares, and one that asks. */
inline send_write(a, added) {
    at[a].writing = true; at[a].applied = false; at[a].succeeded = false;
    at[a].write_revision = at[a].revision;
    at[a].write_claim = at[a].claim;
    at[a].write_age = 0;
    if
    :: at[a].confirmed ->
        at[a].write_members = at[a].unreported | added | (LEASED(a, 0) > 0 -> 1 : 0) | (LEASED(a, 1) > 0 -> 2 : 0)
    :: else ->
#ifdef BREAK_FORMER_LIST
        at[a].write_members = 0
#else
        at[a].write_members = at[a].seen_members
#endif
    fi;
    at[a].recorded = at[a].recorded & at[a].write_members
}

/* The store applies a write under its condition. */
inline apply_write(a) {
    at[a].applied = true;
    if
    :: at[a].write_revision == revision ->
        at[a].succeeded = true;
        revision++;
        store_claim = at[a].write_claim; store_holder = a; store_members = at[a].write_members
    :: else
    fi
}

/* allocator_claim::on_written */
inline hear_write(a) {
    at[a].writing = false;
    if
    :: at[a].claim != at[a].write_claim
    :: at[a].claim == at[a].write_claim && at[a].succeeded ->
        at[a].revision = at[a].write_revision + 1;
        at[a].recorded = at[a].write_members;
#ifdef BREAK_WRITE_TIME
        at[a].tenure_left = TENURE;
#else
        at[a].tenure_left = (at[a].write_age < TENURE -> TENURE - at[a].write_age : 0);
#endif
        if
        :: !at[a].confirmed -> at[a].confirmed = true; begin(a)
        :: else
        fi
    :: at[a].claim == at[a].write_claim && !at[a].succeeded -> forget_claim(a)
    fi;
    at[a].write_revision = 0; at[a].write_claim = 0; at[a].write_members = 0; at[a].write_age = 0;
    at[a].applied = false; at[a].succeeded = false
}

/* allocator_claim::observe */
inline read_claim(a) {
    if
    :: at[a].seen && at[a].seen_revision == revision
    :: else ->
        at[a].seen = true; at[a].seen_revision = revision; at[a].seen_claim = store_claim;
        at[a].seen_members = store_members;
        at[a].seen_left = (store_holder == NOBODY || store_holder == a -> 0 : TENURE)
    fi
}

/* allocator_claim::begin_claim */
inline begin_claim(a) {
    at[a].claim = at[a].seen_claim + 1;
    at[a].revision = at[a].seen_revision;
    send_write(a, 0)
}

/* share_ledger::record */
inline record(a, c, value) {
    at[a].held[c] = value; at[a].held_left[c] = LEASE;
    at[a].offered[c] = 0; at[a].offered_left[c] = 0;
    at[a].unreported = at[a].unreported & (3 - BIT(c))
}

/* share_ledger::assign */
inline assign(a, c) {
    record(a, c, zone[c].asked_held);
    zone[c].answered = true;
    zone[c].answer_claim = at[a].claim;
    if
    :: IS_OPEN(a) ->
        if
        :: zone[c].answer = 0
        :: LEASED(a, 1 - c) < UNITS -> zone[c].answer = UNITS - LEASED(a, 1 - c)
        :: LEASED(a, 1 - c) < UNITS - 1 -> zone[c].answer = 1
        fi
    :: !IS_OPEN(a) -> zone[c].answer = zone[c].asked_held
    fi;
#ifdef BREAK_LOWERED
    /* A lower share counts before its holder has reported it. */
    at[a].held[c] = zone[c].answer;
#endif
    at[a].offered[c] = zone[c].answer; at[a].offered_left[c] = LEASE
}

inline end_request(c) {
    zone[c].asking = false; zone[c].answered = false; zone[c].asked = 0; zone[c].asked_held = 0; zone[c].asked_age = 0;
    zone[c].answer = 0; zone[c].answer_claim = 0
}

/* zone_counter::on_answer */
inline apply_answer(c) {
    if
    :: zone[c].asked_age <= TIMEOUT &&
#ifndef BREAK_FENCE
       zone[c].answer_claim >= zone[c].claim &&
#endif
       true ->
        zone[c].share = zone[c].answer;
#ifdef BREAK_LEASE_TIME
        zone[c].lease_left = LEASE;
#else
        zone[c].lease_left = LEASE - zone[c].asked_age;
#endif
        zone[c].claim = MAX(zone[c].claim, zone[c].answer_claim);
        assert(IN_FORCE(0) + IN_FORCE(1) <= UNITS)
    :: else
    fi;
    end_request(c)
}

inline tick() {
    for (i : 0 .. 1) {
        age(at[i].tenure_left); age(at[i].seen_left); age(at[i].former_left);
        age(at[i].held_left[0]); age(at[i].held_left[1]); age(at[i].offered_left[0]); age(at[i].offered_left[1]);
        if
        :: at[i].writing && at[i].write_age < TENURE -> at[i].write_age++
        :: else
        fi;
        age(zone[i].lease_left);
        if
        :: zone[i].lease_left == 0 -> zone[i].share = 0
        :: else
        fi;
        if
        :: zone[i].asking && zone[i].asked_age <= TIMEOUT -> zone[i].asked_age++
        :: else
        fi
    }
    i = 0
}

active proctype system() {
    byte i = 0, a = 0, c = 0;
end:
    do
    :: atomic { tick() }
    :: atomic {
        if
        :: a = 0
        :: a = 1
        fi;
        if
        /* Allocators. */
        :: at[a].claim == 0 && !at[a].writing && store_claim < MAX_CLAIM -> read_claim(a)
        :: at[a].claim == 0 && !at[a].writing && at[a].seen && at[a].seen_claim < MAX_CLAIM &&
#ifndef BREAK_WAIT
           (at[a].seen_left == 0 || at[a].seen_claim == ended_claim) &&
#endif
           revision < MAX_REVISION -> begin_claim(a)
        :: at[a].claim > 0 && at[a].confirmed && !at[a].writing && revision < MAX_REVISION -> send_write(a, 1)
        :: at[a].claim > 0 && at[a].confirmed && !at[a].writing && revision < MAX_REVISION -> send_write(a, 2)
        :: at[a].writing && !at[a].applied -> apply_write(a)
        :: at[a].writing && at[a].applied -> hear_write(a)
        /* It stops, or says that it has lapsed. */
        :: at[a].claim > 0 && at[a].confirmed && ended_claim < at[a].claim ->
            ended_claim = at[a].claim;
#ifndef BREAK_PROMISE
            forget_claim(a)
#endif
        :: else
        fi;
        a = 0 }
    :: atomic {
        if
        :: c = 0
        :: c = 1
        fi;
        if
        :: a = 0
        :: a = 1
        fi;
        if
        /* Counters and their messages. */
        :: !zone[c].asking ->
            zone[c].asking = true; zone[c].asked = a; zone[c].asked_held = IN_FORCE(c); zone[c].asked_age = 0
        :: zone[c].asking && !zone[c].answered && zone[c].asked == a && MAY_ACT(a) &&
#ifndef BREAK_RECORD
           (at[a].recorded & BIT(c)) > 0 &&
#endif
           true -> assign(a, c)
        :: zone[c].asking && zone[c].answered -> apply_answer(c)
        :: zone[c].asking && zone[c].asked_age > TIMEOUT -> end_request(c)
        :: !zone[c].reporting && MAY_ACT(a) && (at[a].unreported & BIT(c)) > 0 ->
            zone[c].reporting = true; zone[c].report_to = a; zone[c].report_claim = at[a].claim;
            zone[c].report_held = IN_FORCE(c);
            zone[c].claim = MAX(zone[c].claim, at[a].claim)
        :: zone[c].reporting ->
            if
            :: at[zone[c].report_to].claim == zone[c].report_claim && MAY_ACT(zone[c].report_to) &&
               at[zone[c].report_to].held_left[c] == 0 -> record(zone[c].report_to, c, zone[c].report_held)
            :: else
            fi;
            zone[c].reporting = false; zone[c].report_to = 0; zone[c].report_claim = 0; zone[c].report_held = 0
        :: else
        fi;
        a = 0; c = 0 }
    od
}
