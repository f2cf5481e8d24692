/*
 * Shares of one team's limit, leased to two counters by allocators that follow one another; that two never act at once
 * is the subject of quota_claim.pml. Time passes in ticks, at any moment between other steps, so that every message and
 * process may be delayed as long as it likes. A share is a number of units; the bucket that it fills is not modelled.
 * Assertion: the shares in force are never more than the whole. Each BREAK_ switch removes one guard and must lead to a
 * violated assertion.
 */
#define UNITS 2
#define LEASE 2
#define TIMEOUT 1
#ifdef BREAK_FORMER_LIST
#define ALLOCATORS 3
#else
#define ALLOCATORS 2
#endif
#define BIT(c) (1 << c)
#define ALL 3

/* Allocator that acts, and the counters that its object in the store lists. */
byte claim = 1;
byte members;

/* Ledger of the allocator. */
byte unreported;
byte former_left;
typedef record_of_counter {
    byte held;
    byte held_left;
    byte offered;
    byte offered_left
}
record_of_counter ledger[2];

typedef counting {
    byte share;
    byte lease_left;
    /* Answers under lower claims are dropped. */
    byte claim;
    /* One request, and its answer. */
    bool asking;
    bool answered;
    byte asked_held;
    byte asked_age;
    byte answer;
    byte answer_claim;
    bool answer_extends;
    /* One report to a new allocator. */
    bool reporting;
    byte report_claim;
    byte report_held
}
counting zone[2];

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define HELD(c) (ledger[c].held_left > 0 -> ledger[c].held : 0)
#define OFFERED(c) (ledger[c].offered_left > 0 -> ledger[c].offered : 0)
#define LEASED(c) (MAX(HELD(c), OFFERED(c)))
#define IN_FORCE(c) (zone[c].lease_left > 0 -> zone[c].share : 0)
#ifdef BREAK_FORMER
#define IS_OPEN true
#else
#define IS_OPEN (unreported == 0 || former_left == 0)
#endif

inline age(left) {
    if
    :: left > 0 -> left--
    :: else
    fi
}

inline end_request(c) {
    zone[c].asking = false; zone[c].answered = false; zone[c].asked_held = 0; zone[c].asked_age = 0;
    zone[c].answer = 0; zone[c].answer_claim = 0; zone[c].answer_extends = false
}

/* share_ledger::begin: the members are those that the former claim listed. */
inline begin_allocation() {
    claim++;
#ifdef BREAK_FORMER_LIST
    members = 0;
#endif
    unreported = members;
    former_left = LEASE;
    for (i : 0 .. 1) {
        ledger[i].held = 0; ledger[i].held_left = 0; ledger[i].offered = 0; ledger[i].offered_left = 0
    }
    i = 0
}

/* share_ledger::record */
inline record(c, value) {
    ledger[c].held = value; ledger[c].held_left = LEASE; ledger[c].offered = 0; ledger[c].offered_left = 0;
    unreported = unreported & (ALL - BIT(c))
}

/* share_ledger::assign */
inline assign(c) {
    record(c, zone[c].asked_held);
    zone[c].answered = true; zone[c].answer_claim = claim;
    if
    :: IS_OPEN ->
        if
        :: zone[c].answer = 0
        :: LEASED(1 - c) < UNITS -> zone[c].answer = 1
        :: LEASED(1 - c) == 0 -> zone[c].answer = UNITS
        fi
    /* Only what is held, and only if it still is when the answer arrives. */
    :: !IS_OPEN -> zone[c].answer = zone[c].asked_held; zone[c].answer_extends = true
    fi;
#ifdef BREAK_LOWERED
    ledger[c].held = zone[c].answer;
#endif
    ledger[c].offered = zone[c].answer; ledger[c].offered_left = LEASE
}

/* zone_counter::on_answer */
inline apply_answer(c) {
    if
    :: zone[c].asked_age <= TIMEOUT &&
#ifndef BREAK_FENCE
       zone[c].answer_claim >= zone[c].claim &&
#endif
#ifndef BREAK_EXTENSION
       (!zone[c].answer_extends || zone[c].lease_left > 0) &&
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
    age(former_left);
    for (i : 0 .. 1) {
        age(ledger[i].held_left); age(ledger[i].offered_left);
        age(zone[i].lease_left);
        if
        :: zone[i].lease_left == 0 -> zone[i].share = 0
        :: else
        fi;
        if
        :: ledger[i].held_left == 0 -> ledger[i].held = 0
        :: else
        fi;
        if
        :: ledger[i].offered_left == 0 -> ledger[i].offered = 0
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
    byte i = 0, c = 0;
end:
    do
    :: atomic { tick() }
    :: atomic { claim < ALLOCATORS -> begin_allocation() }
    :: atomic {
        if
        :: c = 0
        :: c = 1
        fi;
        if
        /* allocator_claim::write */
        :: (members & BIT(c)) == 0 -> members = members | BIT(c)
        :: (members & BIT(c)) > 0 && LEASED(c) == 0 &&
           ((unreported & BIT(c)) == 0 || former_left == 0) -> members = members & (ALL - BIT(c))
        :: !zone[c].asking -> zone[c].asking = true; zone[c].asked_held = IN_FORCE(c)
        :: zone[c].asking && !zone[c].answered &&
#ifndef BREAK_RECORD
           (members & BIT(c)) > 0 &&
#endif
           true -> assign(c)
        :: zone[c].asking && zone[c].answered -> apply_answer(c)
        :: zone[c].asking && zone[c].asked_age > TIMEOUT -> end_request(c)
        :: !zone[c].reporting && (unreported & BIT(c)) > 0 ->
            zone[c].reporting = true; zone[c].report_claim = claim; zone[c].report_held = IN_FORCE(c);
            zone[c].claim = MAX(zone[c].claim, claim)
        :: zone[c].reporting ->
            if
            :: zone[c].report_claim == claim && ledger[c].held_left == 0 -> record(c, zone[c].report_held)
            :: else
            fi;
            zone[c].reporting = false; zone[c].report_claim = 0; zone[c].report_held = 0
        :: else
        fi;
        c = 0 }
    od
}
