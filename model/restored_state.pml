/*
 * State of the metadata store in a zone, while the store is restored from a copy at any moment. Two watchers read the
 * store, a follower is fed by both. The state is a configuration with a version and one other object. Each answer is
 * made in one step and applied in any later one. An operator writes a version again that a restore took away.
 * Each BREAK_ switch removes one guard and must lead to a violated assertion.
 */
#define STORE 0
#define WATCHER_1 1
#define WATCHER_2 2
#define FOLLOWER 3
#define COPY 4
#define RESTORES 1
#define WRITES 2

/* A version of the store and the objects, each with the revision of its last change. */
typedef state {
    byte era;
    byte revision;
    byte configuration;
    byte configuration_revision;
    byte other;
    byte other_revision
}

state at[5];
/* Highest configuration version that each daemon has put into effect. */
byte in_effect[4];

/* Answers on their way: to watcher 1 and 2 from the store, to the follower from watcher 1 and 2. */
#define CHANNELS 4
#define NO_ANSWER 0
#define WHOLE_LIST 1
#define CHANGES 2
byte kind[CHANNELS];
state answer[CHANNELS];
/* Changes are those after this revision. */
byte from_revision[CHANNELS];
/* The watcher has to list the collection. */
bool must_list[3];

byte restores;
byte writes;
byte operator_version;
bool finished;

/* An inline can't pass structures on. */
#define COPY_STATE(to, source) \
    to.era = source.era; \
    to.revision = source.revision; \
    to.configuration = source.configuration; \
    to.configuration_revision = source.configuration_revision; \
    to.other = source.other; \
    to.other_revision = source.other_revision

#ifdef BREAK_ORDER
#define IS_NEWER(a, b) (a.revision > b.revision)
#else
#define IS_NEWER(a, b) (a.era > b.era || (a.era == b.era && a.revision > b.revision))
#endif

#ifdef BREAK_ACROSS
#define COMPARABLE(a, b) true
#else
#define COMPARABLE(a, b) (a.era == b.era)
#endif

inline take_answer(channel) {
    kind[channel] = NO_ANSWER;
    from_revision[channel] = 0;
    answer[channel].era = 0;
    answer[channel].revision = 0;
    answer[channel].configuration = 0;
    answer[channel].configuration_revision = 0;
    answer[channel].other = 0;
    answer[channel].other_revision = 0
}

/* The configuration of a state is put into effect unless a newer one is. */
inline put_into_effect(node) {
#ifndef BREAK_EFFECT
    if
    :: at[node].configuration > in_effect[node] ->
#endif
        assert(at[node].configuration >= in_effect[node]);
        in_effect[node] = at[node].configuration
#ifndef BREAK_EFFECT
    :: else
    fi
#endif
}

/* collection_replica::replace */
inline replace(node, channel) {
    if
    :: !IS_NEWER(at[node], answer[channel]) ->
        /* A state never goes back to an earlier era, nor within one. */
        assert(answer[channel].era > at[node].era ||
               (answer[channel].era == at[node].era && answer[channel].revision >= at[node].revision));
        COPY_STATE(at[node], answer[channel]);
        put_into_effect(node)
    :: else
    fi
}

/* collection_replica::apply */
inline apply(node, channel) {
    if
    :: COMPARABLE(at[node], answer[channel]) && from_revision[channel] <= at[node].revision &&
       answer[channel].revision > at[node].revision ->
        at[node].revision = answer[channel].revision;
        if
        :: answer[channel].configuration_revision > from_revision[channel] &&
           answer[channel].configuration_revision > at[node].configuration_revision ->
            at[node].configuration = answer[channel].configuration;
            at[node].configuration_revision = answer[channel].configuration_revision
        :: else
        fi;
        if
        :: answer[channel].other_revision > from_revision[channel] &&
           answer[channel].other_revision > at[node].other_revision ->
            at[node].other = answer[channel].other;
            at[node].other_revision = answer[channel].other_revision
        :: else
        fi;
        put_into_effect(node)
    :: else
    fi
}

/* A watcher asks the store; the store knows only the revision that it asks from. */
inline ask_store(node, channel) {
    if
    :: must_list[node] || at[node].revision > at[STORE].revision ->
        kind[channel] = WHOLE_LIST; COPY_STATE(answer[channel], at[STORE]); must_list[node] = false
#ifdef BREAK_ASK_ERA
    /* The store waits for a change after this revision. */
    :: !must_list[node] && at[node].revision == at[STORE].revision -> skip
    :: !must_list[node] && at[node].revision < at[STORE].revision ->
#else
    :: else ->
#endif
        kind[channel] = CHANGES; COPY_STATE(answer[channel], at[STORE]); from_revision[channel] = at[node].revision
    fi
}

/* collection_watch::on_complete_list, on_watch_answer */
inline hear_store(node, channel) {
    if
    :: kind[channel] == WHOLE_LIST -> replace(node, channel)
    :: kind[channel] == CHANGES && answer[channel].era != at[node].era ->
#ifdef BREAK_RELIST
        at[node].era = answer[channel].era;
        apply(node, channel)
#else
        must_list[node] = true
#endif
    :: kind[channel] == CHANGES && answer[channel].era == at[node].era -> apply(node, channel)
    :: else
    fi;
    take_answer(channel)
}

/* state_relay::make_answer */
inline ask_watcher(node, channel) {
    if
    :: IS_NEWER(at[node], at[FOLLOWER]) ->
        COPY_STATE(answer[channel], at[node]);
        if
        :: COMPARABLE(at[node], at[FOLLOWER]) -> kind[channel] = CHANGES; from_revision[channel] = at[FOLLOWER].revision
        :: kind[channel] = WHOLE_LIST
        fi
    :: else
    fi
}

/* state_relay::apply */
inline hear_watcher(channel) {
    if
    :: kind[channel] == WHOLE_LIST && IS_NEWER(answer[channel], at[FOLLOWER]) -> replace(FOLLOWER, channel)
    :: kind[channel] == CHANGES -> apply(FOLLOWER, channel)
    :: else
    fi;
    take_answer(channel)
}

active proctype store() {
end:
    do
    :: atomic { !finished && writes < WRITES ->
        writes++; operator_version++;
        at[STORE].revision++;
        at[STORE].configuration = operator_version;
        at[STORE].configuration_revision = at[STORE].revision }
    :: atomic { !finished && writes < WRITES ->
        writes++;
        at[STORE].revision++;
        at[STORE].other = writes;
        at[STORE].other_revision = at[STORE].revision }
    /* The operator's version is gone, and is written again. */
    :: atomic { !finished && at[STORE].configuration < operator_version ->
        at[STORE].revision++;
        at[STORE].configuration = operator_version;
        at[STORE].configuration_revision = at[STORE].revision }
    :: atomic { !finished && restores < RESTORES && at[COPY].revision != at[STORE].revision ->
        COPY_STATE(at[COPY], at[STORE]) }
    :: atomic { !finished && restores < RESTORES ->
        restores++;
        COPY_STATE(at[STORE], at[COPY]);
        at[STORE].era = restores }
    od
}

active proctype zone() {
end:
    do
    :: atomic { !finished && kind[0] == NO_ANSWER -> ask_store(WATCHER_1, 0) }
    :: atomic { !finished && kind[1] == NO_ANSWER -> ask_store(WATCHER_2, 1) }
    :: atomic { !finished && kind[2] == NO_ANSWER -> ask_watcher(WATCHER_1, 2) }
    :: atomic { !finished && kind[3] == NO_ANSWER -> ask_watcher(WATCHER_2, 3) }
    :: atomic { !finished && kind[0] != NO_ANSWER -> hear_store(WATCHER_1, 0) }
    :: atomic { !finished && kind[1] != NO_ANSWER -> hear_store(WATCHER_2, 1) }
    :: atomic { !finished && kind[2] != NO_ANSWER -> hear_watcher(2) }
    :: atomic { !finished && kind[3] != NO_ANSWER -> hear_watcher(3) }
    od
}

#define HAS_STATE_OF_STORE(node) (at[node].era == at[STORE].era && at[node].revision == at[STORE].revision && \
                                  at[node].configuration == at[STORE].configuration && \
                                  at[node].other == at[STORE].other && \
                                  in_effect[node] == at[STORE].configuration)

/* Nothing is written any more: the answers on their way arrive, and each daemon asks twice. */
active proctype quiet() {
    atomic {
        at[STORE].configuration == operator_version;
        finished = true;
        hear_store(WATCHER_1, 0);
        hear_store(WATCHER_2, 1);
        if
        :: true -> hear_watcher(2); hear_watcher(3)
        :: true -> hear_watcher(3); hear_watcher(2)
        fi;
        /* The first answer may only show a new era. */
        ask_store(WATCHER_1, 0); hear_store(WATCHER_1, 0);
        ask_store(WATCHER_1, 0); hear_store(WATCHER_1, 0);
        ask_store(WATCHER_2, 1); hear_store(WATCHER_2, 1);
        ask_store(WATCHER_2, 1); hear_store(WATCHER_2, 1);
        ask_watcher(WATCHER_1, 2); hear_watcher(2);
        ask_watcher(WATCHER_2, 3); hear_watcher(3);
        assert(HAS_STATE_OF_STORE(WATCHER_1));
        assert(HAS_STATE_OF_STORE(WATCHER_2));
        assert(HAS_STATE_OF_STORE(FOLLOWER))
    }
}
