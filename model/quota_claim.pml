/*
 * Claim to allocate the shares of teams. Two daemons write one object of the metadata store under the condition of its
 * revision. Time passes in ticks, at any moment between other steps, so that every write and process may be delayed as
 * long as it likes. Assertion: two daemons never allocate at once. Each BREAK_ switch removes one guard and must lead
 * to a violated assertion.
 */
#define TENURE 2
#define MAX_REVISION 6
#define NOBODY 2

byte revision;
byte store_claim;
byte store_holder = NOBODY;

typedef claimant {
    /* Claim that the daemon holds or writes; 0 for none. */
    byte claim;
    byte revision;
    bool confirmed;
    byte tenure_left;
    /* A write on its way. */
    bool writing;
    bool applied;
    bool succeeded;
    byte write_revision;
    byte write_claim;
    byte write_age;
    /* What was read of another one's claim. */
    bool seen;
    byte seen_revision;
    byte seen_claim;
    byte seen_left
}
claimant at[2];

/* Claim whose holder has said that it will not act under it any more. */
byte ended_claim;

#ifdef BREAK_TENURE
#define MAY_ACT(a) (at[a].claim > 0 && at[a].confirmed)
#else
#define MAY_ACT(a) (at[a].claim > 0 && at[a].confirmed && at[a].tenure_left > 0)
#endif

inline age(left) {
    if
    :: left > 0 -> left--
    :: else
    fi
}

inline forget(a) {
    at[a].claim = 0; at[a].revision = 0; at[a].confirmed = false; at[a].tenure_left = 0;
    at[a].seen = false; at[a].seen_revision = 0; at[a].seen_claim = 0; at[a].seen_left = 0
}

/* allocator_claim::write */
inline send_write(a) {
    at[a].writing = true;
    at[a].write_revision = at[a].revision; at[a].write_claim = at[a].claim; at[a].write_age = 0
}

inline apply_write(a) {
    at[a].applied = true;
    if
#ifdef BREAK_CONDITION
    :: true ->
#else
    :: at[a].write_revision == revision ->
#endif
        at[a].succeeded = true; revision++; store_claim = at[a].write_claim; store_holder = a
#ifndef BREAK_CONDITION
    :: else
#endif
    fi
}

/* allocator_claim::on_written */
inline hear_write(a) {
    if
    :: at[a].claim == at[a].write_claim && at[a].succeeded ->
        at[a].revision = at[a].write_revision + 1;
        at[a].confirmed = true;
#ifdef BREAK_WRITE_TIME
        at[a].tenure_left = TENURE
#else
        at[a].tenure_left = TENURE - at[a].write_age
#endif
    :: at[a].claim == at[a].write_claim && !at[a].succeeded -> forget(a)
    :: else
    fi;
    at[a].writing = false; at[a].applied = false; at[a].succeeded = false;
    at[a].write_revision = 0; at[a].write_claim = 0; at[a].write_age = 0;
    assert(!(MAY_ACT(0) && MAY_ACT(1)))
}

/* allocator_claim::observe */
inline read_claim(a) {
    if
    :: at[a].seen && at[a].seen_revision == revision
    :: else ->
        at[a].seen = true; at[a].seen_revision = revision; at[a].seen_claim = store_claim;
        at[a].seen_left = (store_holder == NOBODY || store_holder == a -> 0 : TENURE)
    fi
}

inline tick() {
    for (i : 0 .. 1) {
        age(at[i].tenure_left); age(at[i].seen_left);
        if
        :: at[i].writing && at[i].write_age < TENURE -> at[i].write_age++
        :: else
        fi
    }
    i = 0
}

active proctype system() {
    byte i = 0, a = 0;
end:
    do
    :: atomic { tick() }
    :: atomic {
        if
        :: a = 0
        :: a = 1
        fi;
        if
        :: at[a].claim == 0 && !at[a].writing -> read_claim(a)
        :: at[a].claim == 0 && !at[a].writing && at[a].seen &&
#ifndef BREAK_WAIT
           (at[a].seen_left == 0 || at[a].seen_claim == ended_claim) &&
#endif
           revision < MAX_REVISION ->
            at[a].claim = at[a].seen_claim + 1; at[a].revision = at[a].seen_revision; send_write(a)
        :: at[a].claim > 0 && at[a].confirmed && !at[a].writing && revision < MAX_REVISION -> send_write(a)
        :: at[a].writing && !at[a].applied -> apply_write(a)
        :: at[a].writing && at[a].applied -> hear_write(a)
        /* It stops, or says that it has lapsed. */
        :: at[a].claim > 0 && at[a].confirmed && ended_claim < at[a].claim ->
            ended_claim = at[a].claim;
#ifndef BREAK_PROMISE
            forget(a)
#endif
        :: else
        fi;
        a = 0 }
    od
}
