/*
 * Promotion, confirmation, loss of state and session tokens of one database group.
 * -DLOSS adds an instance that loses its state and is readmitted, -DSESSION a session that reads. With -DRESTORE a
 * restored store has given the same term to both coordinators: to two daemons, or to two runs of one daemon.
 * Each BREAK_ switch removes one guard and must lead to a violated assertion.
 * Each atomic step is one request processed by an instance or one decision of a daemon. An answer is stored when the
 * request is processed and may be used at any later step, so it can be as old as the interleaving allows.
 */
#define N 3
#define MAJORITY 2
#define MAX_LENGTH 4
#define TERMS 3

#define AT(i, k) log[(i) * MAX_LENGTH + (k)]
#define LAST_TERM(i) (length[i] == 0 -> 0 : AT(i, length[i] - 1))

/* Instances. An entry is represented by its term; the entry at (term, position) is unique. */
byte accepted[N] = 1;
bool initialised[N] = true;
bool primary[N];
bit state_id[N];
/* Run whose fence raised the accepted term; 0 if it was raised otherwise. */
byte fence_source[N];
byte length[N] = 1;
byte log[N * MAX_LENGTH];

/*
 * One entry per term is tracked until it is confirmed: the write of term 1 and the start entries of terms 2 and 3.
 * holds[T * N + i]: a report of instance i that counts for the entry of term T was received (position_tracker).
 */
byte position[TERMS + 1];
byte content[(TERMS + 1) * MAX_LENGTH];
bool holds[(TERMS + 1) * N];
bool confirmed[TERMS + 1];
byte promoted[TERMS + 1] = N;

/* Sources without the run are equal for two runs of one daemon. */
#ifdef BREAK_SOURCE
#define SOURCE(run_id) 1
#else
#define SOURCE(run_id) run_id
#endif
#ifdef RESTORE
#define SET_SOURCE(i, source) fence_source[i] = source
#else
#define SET_SOURCE(i, source) skip
#endif
#define CONTENT(t, k) content[(t) * MAX_LENGTH + (k)]
#define COUNT(t) (holds[(t) * N] + holds[(t) * N + 1] + holds[(t) * N + 2])

/* Instance q follows p: entries of q that differ from p's are truncated, then at most one entry of p is copied. */
inline replicate(q, p) {
    k = 0;
    do
    :: k < length[q] && k < length[p] && AT(q, k) == AT(p, k) -> k++
    :: else -> break
    od;
    length[q] = k;
    if
    :: k < length[p] -> AT(q, k) = AT(p, k); length[q] = k + 1
    :: else
    fi;
    for (k : length[q] .. (MAX_LENGTH - 1)) { AT(q, k) = 0 }
    k = 0
}

inline append(p, term) {
    AT(p, length[p]) = term;
    length[p] = length[p] + 1
}

/* Stores the log of instance p up to the tracked entry of a term. */
inline store_log(p, term) {
    position[term] = length[p];
    for (k : 0 .. (MAX_LENGTH - 1)) { CONTENT(term, k) = (k < length[p] -> AT(p, k) : 0) }
    k = 0
}

/* Asserts that a confirmed entry, with all entries before it, is in the log of each later primary. */
inline check_kept(older, newer) {
    if
    :: confirmed[older] && position[newer] > 0 ->
        for (k : 0 .. (MAX_LENGTH - 1)) {
            assert(k >= position[older] || CONTENT(older, k) == CONTENT(newer, k))
        }
        k = 0
    :: else
    fi
}

inline check_all_kept() {
    check_kept(1, 2);
    check_kept(1, 3);
    check_kept(2, 3)
}

/* A report of instance i arrives; position_tracker::update_confirmed counts it. */
inline report(i, term) {
    if
#ifdef BREAK_TERM
    :: position[term] > 0 && length[i] >= position[term] && initialised[i] -> holds[term * N + i] = true
#elif defined(BREAK_LOG_TERM)
    :: position[term] > 0 && length[i] >= position[term] && initialised[i] && accepted[i] == term ->
        holds[term * N + i] = true
#else
    :: position[term] > 0 && length[i] >= position[term] && initialised[i] && accepted[i] == term &&
       LAST_TERM(i) == term -> holds[term * N + i] = true
#endif
    :: else
    fi;
    if
    :: !confirmed[term] && COUNT(term) >= MAJORITY -> confirmed[term] = true; check_all_kept()
    :: else
    fi
}

/* The primary of term 1 executes a write, followers pull, reports arrive; all in any order. */
proctype group() {
    byte k;
end:
    do
    :: d_step { position[1] == 0 && primary[0] && initialised[0] && accepted[0] == 1 ->
        append(0, 1); store_log(0, 1) }
    :: d_step { primary[0] && accepted[1] == accepted[0] && !primary[1] -> replicate(1, 0) }
    :: d_step { primary[0] && accepted[2] == accepted[0] && !primary[2] -> replicate(2, 0) }
    :: d_step { primary[1] && accepted[0] == accepted[1] && !primary[0] -> replicate(0, 1) }
    :: d_step { primary[1] && accepted[2] == accepted[1] && !primary[2] -> replicate(2, 1) }
    :: d_step { primary[2] && accepted[0] == accepted[2] && !primary[0] -> replicate(0, 2) }
    :: d_step { primary[2] && accepted[1] == accepted[2] && !primary[1] -> replicate(1, 2) }
    :: d_step { true -> report(0, 1); report(0, 2); report(0, 3) }
    :: d_step { true -> report(1, 1); report(1, 2); report(1, 3) }
    :: d_step { true -> report(2, 1); report(2, 2); report(2, 3) }
    od
}

/* promotion: one attempt to promote an instance to a claimed term. */
proctype coordinator(byte term; byte run_id) {
    byte i, k, count, best;
    bool fenced[N];
    bit fenced_state[N];
    byte fenced_term[N];
    byte fenced_length[N];
    bool checked[N];

    /* promotion::begin_fencing, on_fence_answer */
    do
    :: atomic { count < MAJORITY ->
        select(i : 0 .. (N - 1));
        if
#ifdef BREAK_CLAIM
        :: !fenced[i] && accepted[i] <= term &&
#elif defined(RESTORE)
        /* An instance grants a term to one run; an answer may have been lost, so that the run asks again. */
        :: !fenced[i] && (accepted[i] < term || (accepted[i] == term && fence_source[i] == SOURCE(run_id))) &&
#else
        :: !fenced[i] && accepted[i] < term &&
#endif
#ifdef BREAK_UNINITIALISED
           true ->
#else
           initialised[i] ->
#endif
            if
            :: accepted[i] < term -> primary[i] = false
            :: else
            fi;
            accepted[i] = term;
            SET_SOURCE(i, SOURCE(run_id));
            fenced[i] = true; fenced_state[i] = state_id[i];
            fenced_term[i] = LAST_TERM(i); fenced_length[i] = length[i];
            count++
        :: else
        fi; i = 0 }
    :: count == MAJORITY -> break
#ifdef BREAK_MAJORITY
    :: count == MAJORITY - 1 -> break
#endif
    :: goto given_up
    od;

    /* promotion::begin_checking, take_check: every fenced instance must still hold the term. */
    i = 0;
    do
    :: atomic { i < N ->
        if
#ifdef BREAK_UNINITIALISED
        :: fenced[i] && accepted[i] != term -> goto given_up
#elif !defined(BREAK_SECOND_ROUND)
        :: fenced[i] && (accepted[i] != term || !initialised[i] || state_id[i] != fenced_state[i]) -> goto given_up
#endif
        :: else
        fi;
        checked[i] = fenced[i];
        i++ }
    :: i == N -> break
    od;

    /* promotion::begin_promoting */
    skip;
    d_step {
        best = N;
        for (k : 0 .. (N - 1)) {
            if
            :: checked[k] && best == N -> best = k
            :: checked[k] && best != N &&
#ifdef BREAK_LOWEST
               (fenced_term[k] < fenced_term[best] ||
                (fenced_term[k] == fenced_term[best] && fenced_length[k] < fenced_length[best])) -> best = k
#else
               (fenced_term[k] > fenced_term[best] ||
                (fenced_term[k] == fenced_term[best] && fenced_length[k] > fenced_length[best])) -> best = k
#endif
            :: else
            fi
        }
        k = 0; i = 0
    }
    atomic {
        if
        :: accepted[best] == term && initialised[best] && length[best] < MAX_LENGTH && !primary[best] ->
            /* A term has at most one primary. */
            assert(promoted[term] == N || promoted[term] == best);
            promoted[term] = best;
            primary[best] = true;
            append(best, term);
            store_log(best, term);
            check_all_kept()
        :: else -> goto given_up
        fi
    }

    /* promotion::begin_following and reconcile */
    do
    :: atomic { i < N ->
        if
        :: i != best && accepted[i] <= term && !primary[best] -> skip
        :: i != best && accepted[i] < term -> accepted[i] = term; primary[i] = false; SET_SOURCE(i, 0)
        :: else
        fi;
        i++ }
    :: i == N -> break
    :: break
    od;
given_up:
    skip;
    /* Clears values that are no longer needed, to reduce the number of states. */
    d_step {
        for (k : 0 .. (N - 1)) {
            fenced[k] = false; fenced_state[k] = 0; fenced_term[k] = 0; fenced_length[k] = 0; checked[k] = false
        }
        k = 0; i = 0; count = 0; best = 0
    }
}

#ifdef LOSS
/* Instance 2 loses its state once; reconcile() readmits it under term 1. */
proctype loss() {
    byte k;
    bool reported_after_loss[2];
    atomic { accepted[2] = 0; SET_SOURCE(2, 0); initialised[2] = false; primary[2] = false; length[2] = 0; state_id[2] = 1;
        for (k : 0 .. (MAX_LENGTH - 1)) { AT(2, k) = 0 } k = 0 }
    /* position_tracker::count_at_term: counts only reports that were requested after the loss was known. */
#ifndef BREAK_ADMIT
    atomic { accepted[0] == 1 -> reported_after_loss[0] = true }
    atomic { accepted[1] == 1 -> reported_after_loss[1] = true }
#endif
    /* The instance is told to follow and is admitted, then catches up with the primary of term 1. */
    atomic { accepted[2] <= 1 && primary[0] && accepted[0] == 1 -> accepted[2] = 1; SET_SOURCE(2, 0);
        length[2] = length[0];
        for (k : 0 .. (MAX_LENGTH - 1)) { AT(2, k) = AT(0, k) }
        initialised[2] = true; k = 0 }
}
#endif

#ifdef SESSION
/* A session that reads at any instance with its token (term, position). */
proctype session() {
    byte i, k, reads = 2;
    byte token_term, token_length;
    byte known[MAX_LENGTH];
    do
    :: atomic { reads > 0 ->
        reads--;
        select(i : 0 .. (N - 1));
        if
        :: initialised[i] &&
#ifdef BREAK_TOKEN
           length[i] >= token_length ->
#else
           (LAST_TERM(i) > token_term || (LAST_TERM(i) == token_term && length[i] >= token_length)) ->
#endif
            /* The data that the session reads contains everything that it has read before. */
            for (k : 0 .. (MAX_LENGTH - 1)) {
                assert(k >= token_length || (k < length[i] && AT(i, k) == known[k]))
            }
            /* A response is held until its position is confirmed; the model drops unconfirmed responses. */
            if
#ifdef BREAK_HOLD
            :: true ->
#else
            :: length[i] > 0 && confirmed[LAST_TERM(i)] && length[i] <= position[LAST_TERM(i)] ->
#endif
                token_term = LAST_TERM(i); token_length = length[i];
                for (k : 0 .. (MAX_LENGTH - 1)) {
                    known[k] = (k < length[i] -> AT(i, k) : 0)
                }
            :: else
            fi
        :: else
        fi; i = 0; k = 0 }
    :: reads == 0 -> break
    od
}
#endif

init {
    atomic {
        AT(0, 0) = 1; AT(1, 0) = 1; AT(2, 0) = 1;
        primary[0] = true;
        promoted[1] = 0;
        run group();
        run coordinator(2, 1);
#if defined(BREAK_CLAIM) || defined(RESTORE)
        run coordinator(2, 2);
#elif !defined(LOSS) && !defined(SESSION)
        run coordinator(3, 2);
#endif
#ifdef LOSS
        run loss();
#endif
#ifdef SESSION
        run session();
#endif
    }
}
