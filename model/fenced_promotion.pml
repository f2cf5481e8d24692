/*
 * Fenced promotion on the users' platform. Instance 0 is the old primary, 1 and 2 are replicas, 3 is a replica that
 * leaves. A commit is acknowledged once one replica has received it. When a promotion takes effect, all fences are
 * lifted, and a replica may follow the new primary only later. Two daemons can promote; a third one reads from the
 * primary that it trusts and confirms commits to clients. Within a term, logs are prefixes of each other, so a log is
 * represented by its length. -DLEAVER includes instance 3; -DRESTART lets a replica restart without its log. Each
 * BREAK_ switch removes one guard and must lead to a violated assertion.
 * -DLAPSE lets the entry of replica 2 lapse although it lives. The promoting daemons list it no more; the reader, whose
 * list may be older, believes it until the time has passed after which every list is newer or counts as old. With
 * -DLAPSE_PROMOTED it may also lapse while it is promoted or after that, which the protocol does not bear
 * (KNOWN-RED.txt).
 * -DCLAIMANT gives the promoting daemons an old entry of replica 2 that claims the lead; they don't know the primary.
 * -DRELAY adds a daemon that takes its trust from the third one instead of asking the replicas.
 * -DRESTORE lets the metadata store come back once from a copy: the claim of the duty and the promotions recorded since
 * are lost, its revision goes back, and its era rises. The reader then also trusts a single report together with the
 * record, a claim is read and written in separate steps, and a holder may promote an instance of another group.
 */
#define OLD 0
#define COUNT 4
#define MAX_LENGTH 2

byte length[COUNT];
bool fenced[COUNT];
bool follows[COUNT];
#ifdef LEAVER
bool present[COUNT] = true;
#else
bool present[COUNT];
#endif
bool restarted[COUNT];
byte acknowledged;
bool promoted;
byte promoted_length;
bool new_commit;
bool settled = true;
bool trusted;
/* Replicas that have reported that they are not fenced since the last fence invalidated all older evidence. */
bool unfenced_report[3];
byte confirmed;
#ifdef RELAY
/* Trust of the daemon that asks another one, and the answer on its way: the term that it is about, 0 for none, and
 * whether its time has not passed yet, counted from the question. */
bool relayed_trust;
byte answer_term;
bool answer_is_current;
#endif
/* Set by the last check before the call; a restart after it is not modelled (a limit that the design states). */
bool verified;
#if defined(LAPSE) || defined(CLAIMANT)
/* The entry of replica 2 has lapsed, and no daemon believes it any longer. */
bool lapsed;
bool over;
/* Promotions under way that may choose replica 2. They end long before the time is over. */
byte may_choose_2;
#ifdef LAPSE_PROMOTED
#define MAY_LAPSE true
#else
#define MAY_LAPSE (!promoted && may_choose_2 == 0)
#endif
/* A replica in the fenced set has been fenced, so that its reports renew no trust. */
#define IS_FENCED_2 (fenced[2] || follows[2])
#define MAY_CONFIRM (!over || length[1] >= acknowledged)
#define IS_SETTLED_BY_2 (!lapsed && length[2] == length[OLD])
#define HAS_REPORT_2 (unfenced_report[2] || over)
#else
#define MAY_CONFIRM true
#define IS_SETTLED_BY_2 (length[2] == length[OLD])
#define HAS_REPORT_2 unfenced_report[2]
#endif

/* The duty lease: the store's revision, the newest token that the platform has seen, whether the duty is free, and which
 * holders have a valid claim. */
byte revision = 1;
byte newest_seen_token;
bool duty_is_free = true;
bool tenure[3];

#ifdef RESTORE
/* More than the highest revision. */
#define REVISIONS 16
bit era;
/* The era in which each holder claimed the duty, and the revision of the duty's object. */
bit claim_era[3];
byte duty_revision = 1;
/* The record of promoted terms: the era in which the term of the old primary was recorded, and whether a later term is
 * recorded, by a claim. */
bit record_era;
bool later_term_recorded;
#define EARLIER_HOLDER_MAY_ACT ((tenure[1] && claim_era[1] != era) || (tenure[2] && claim_era[2] != era))
#ifndef BREAK_ERA_TOKEN
#define TOKEN (era * REVISIONS + revision)
#else
#define TOKEN revision
#endif
#ifndef BREAK_ERA_WAIT
#define MAY_CLAIM (duty_is_free && !EARLIER_HOLDER_MAY_ACT)
#else
#define MAY_CLAIM duty_is_free
#endif
#endif

/* Confirms the acknowledged commits to clients; the log of the new primary must contain them. */
inline confirm() {
    if
    :: MAY_CONFIRM -> confirmed = acknowledged
    :: else
    fi;
    assert(!promoted || confirmed <= promoted_length)
}

/* The primary receives the answer of a replica. While the primary is trusted, the commit is confirmed immediately. */
inline acknowledge() {
    if
    :: length[1] >= length[OLD] || length[2] >= length[OLD] || (present[3] && length[3] >= length[OLD]) ->
        if
        :: length[OLD] > acknowledged ->
            acknowledged = length[OLD];
#ifndef BREAK_CONFIRM
            if :: trusted -> confirm() :: else fi
#else
            confirm()
#endif
        :: else
        fi
    :: else
    fi
}

/* The wait after the fences outlasts all trust that rests on older evidence, passed on or not. */
inline expire_trust() {
    trusted = false; unfenced_report[1] = false; unfenced_report[2] = false;
#ifdef RELAY
    relayed_trust = false; answer_is_current = false
#endif
}

active proctype primary() {
end:
    do
    :: atomic { length[OLD] < MAX_LENGTH -> length[OLD]++ }
    :: atomic { !fenced[1] && !follows[1] && length[1] < length[OLD] -> length[1] = length[OLD] }
    :: atomic { !fenced[2] && !follows[2] && length[2] < length[OLD] -> length[2] = length[OLD] }
#ifdef LEAVER
    :: atomic { present[3] && !fenced[3] && !follows[3] && length[3] < length[OLD] -> length[3] = length[OLD] }
#endif
    :: atomic { length[OLD] > acknowledged -> acknowledge() }
    od
}

/* A departure or a restart without the log makes the membership unsettled; it is settled again once a remaining replica
 * has caught up with the primary. */
active proctype members() {
end:
    do
#ifdef LEAVER
    :: atomic { present[3] -> present[3] = false; settled = false }
#endif
#ifdef RESTART
    :: atomic { !restarted[1] && !follows[1] && !verified -> restarted[1] = true;
                length[1] = 0; fenced[1] = false; unfenced_report[1] = false; settled = false }
#endif
#ifdef LAPSE
    :: atomic { !lapsed && MAY_LAPSE -> lapsed = true
#ifdef BREAK_SETTLED_LATE
        ; settled = false
#endif
    }
    /* Commits may have been confirmed through replica 2 until now. */
    :: atomic { lapsed && !over && may_choose_2 == 0 -> over = true
#ifndef BREAK_SETTLED_LATE
        ; settled = false
#endif
    }
#endif
    :: atomic { !settled && !promoted && (length[1] == length[OLD] || IS_SETTLED_BY_2) -> settled = true }
    od
}

/* Once both replicas have reported, the primary is trusted and the waiting commits are confirmed. */
inline confirm_if_all_reported() {
    if
#ifdef BREAK_WITNESS
    :: unfenced_report[1] || unfenced_report[2] ->
#else
    :: unfenced_report[1] && HAS_REPORT_2 ->
#endif
        trusted = true; unfenced_report[1] = false; unfenced_report[2] = false;
        confirm()
    :: else
    fi
}

/* Reads from the old primary while it is trusted; the reads must include every confirmed commit. */
active proctype reader() {
end:
    do
#ifdef LEAVER
    /* With LEAVER, all replicas are queried in one step to limit the number of states. */
    :: atomic { !trusted && !fenced[1] && !follows[1] && !fenced[2] && !follows[2] &&
                (!present[3] || (!fenced[3] && !follows[3])) -> trusted = true; confirm() }
#else
    :: atomic { !trusted && !fenced[1] && !follows[1] -> unfenced_report[1] = true; confirm_if_all_reported() }
    :: atomic { !trusted && !fenced[2] && !follows[2] -> unfenced_report[2] = true; confirm_if_all_reported() }
#endif
#ifdef RESTORE
    /* The record is read after the replica has reported. */
    :: atomic { (!trusted && (unfenced_report[1] || unfenced_report[2]) && !later_term_recorded
#ifndef BREAK_ERA_TERM
                 && record_era == era
#endif
                ) -> trusted = true; unfenced_report[1] = false; unfenced_report[2] = false; confirm() }
    /* Records the term again in the new era. */
    :: atomic { (trusted && record_era != era
#ifndef BREAK_ERA_RECORD
                 && !EARLIER_HOLDER_MAY_ACT
#endif
                ) -> record_era = era }
#endif
    :: atomic { trusted -> assert(!new_commit && length[OLD] >= confirmed) }
    od
}

#ifdef RESTORE
/* The copy has the revision from the start or an older one, and no claim. What a copied claim says would not count. */
active proctype restore() {
    atomic {
        if :: revision = 0 :: revision = 1 fi;
        duty_revision = revision;
        duty_is_free = true;
        later_term_recorded = false;
        era = 1
    }
}
#endif

#ifdef RELAY
/* A daemon that knows the old primary and asks the reader for trust. After a promotion the reader trusts the new primary,
 * in term 2. The answer may arrive at any later time. */
active proctype relayed_reader() {
end:
    do
    :: atomic { trusted && !promoted && answer_term == 0 -> answer_term = 1; answer_is_current = true }
    :: atomic { promoted && answer_term == 0 -> answer_term = 2; answer_is_current = true }
    :: atomic { answer_term != 0 ->
        if
        :: (true
#ifndef BREAK_RELAY_TERM
            && answer_term == 1
#endif
#ifndef BREAK_RELAY_TIME
            && answer_is_current
#endif
            ) -> relayed_trust = true; confirm()
        :: else
        fi;
        answer_term = 0; answer_is_current = false }
    :: atomic { relayed_trust -> assert(!new_commit && length[OLD] >= confirmed) }
    od
}
#endif

/* The end of a claim changes the duty's object only in the era of the claim. */
inline end_claim(holder) {
    tenure[holder] = false;
#ifdef RESTORE
    if
    :: claim_era[holder] == era -> duty_is_free = true; revision++; duty_revision = revision
    :: else
    fi
#else
    duty_is_free = true
#endif
}

/* A call with a fencing token takes effect. */
inline take_effect(token) {
    assert(token > newest_seen_token);
    newest_seen_token = token
}

/* One promotion by a daemon. A claim that was not released may be taken over after its tenure (see clock). */
proctype promoter(byte holder) {
    byte token;
    byte fenced_length1; byte fenced_length2;
    bool fenced_restarted;
    byte target;
#if defined(LAPSE) || defined(CLAIMANT)
    bool includes_2;
    bool may_choose;
#endif
#ifdef RESTORE
    bit read_era;
    byte read_revision;
    bool recorded_before;
    bool other_group;

claim:
    atomic { MAY_CLAIM -> read_era = era; read_revision = duty_revision }
    /* The conditional write may take effect later, also in another era when the revision exists there. Then the claim is
     * not granted; another daemon may take it over, so the duty stays free here. */
    atomic {
        if
        :: !duty_is_free || duty_revision != read_revision -> goto claim
        :: else
        fi;
        revision++; duty_revision = revision;
        if :: other_group = true :: skip fi;
        if
        :: !other_group -> recorded_before = later_term_recorded; later_term_recorded = true
        :: else
        fi;
#ifndef BREAK_ERA_WRITE
        if :: read_era != era -> goto done :: else fi;
#endif
        duty_is_free = false; claim_era[holder] = era; token = TOKEN; tenure[holder] = true
    }
    atomic {
        if
        :: other_group ->
            if :: !tenure[holder] -> goto done :: else fi;
            take_effect(token);
            goto release
        :: else
        fi
    }
#else
    atomic { duty_is_free -> duty_is_free = false; revision++; token = revision; tenure[holder] = true }
#endif
    /* Fences every replica. The order is irrelevant; other processes may act between the steps. */
    atomic { fenced[1] = !follows[1]; fenced_length1 = length[1]; fenced_restarted = restarted[1] }
#if defined(LAPSE) || defined(CLAIMANT)
    /* Replica 2 answers, or it does not; a member without an answer ends the promotion. */
    atomic {
        if
#if defined(LAPSE) && !defined(BREAK_DEPARTED)
        :: !over -> includes_2 = true
        :: over -> includes_2 = false
#elif defined(LAPSE)
        :: !lapsed -> includes_2 = true
        :: lapsed -> includes_2 = false
#elif !defined(BREAK_CLAIMANT)
        /* Asked, it says that it follows. */
        :: includes_2 = true
        :: goto give_up
#else
        :: includes_2 = false
#endif
        fi;
        may_choose = includes_2 && !lapsed;
        may_choose_2 = may_choose_2 + may_choose;
        if
        :: includes_2 -> fenced[2] = !follows[2]; fenced_length2 = length[2]
        :: else -> fenced_length2 = 0
        fi
    }
#elif !defined(BREAK_FENCE_ALL)
    atomic { fenced[2] = !follows[2]; fenced_length2 = length[2] }
#else
    fenced_length2 = length[2];
#endif
#ifdef LEAVER
    atomic { if :: present[3] -> fenced[3] = true :: else fi }
#endif
#ifndef BREAK_WAIT
    /* The wait after the last fence: all evidence that is older than the fence has expired. */
#if defined(LAPSE) || defined(CLAIMANT)
    atomic {
        if
        :: !(fenced[1] || follows[1]) || (includes_2 && !IS_FENCED_2) -> goto give_up
        /* The reports of a replica that is believed and was not fenced renew the trust. */
        :: (fenced[1] || follows[1]) && !includes_2 && !over && !IS_FENCED_2 -> skip
        :: else -> expire_trust()
        fi
    }
#elif !defined(BREAK_FENCE_ALL)
    atomic {
        if
        :: (fenced[1] || follows[1]) && (fenced[2] || follows[2]) ->
            expire_trust()
        :: else -> goto give_up
        fi
    }
#else
    atomic { expire_trust() }
#endif
#endif
    atomic {
#ifndef BREAK_VERIFY
        if
        :: restarted[1] != fenced_restarted || length[1] != fenced_length1 -> goto give_up
#if defined(LAPSE) || defined(CLAIMANT)
        :: includes_2 && length[2] != fenced_length2 -> goto give_up
#else
        :: length[2] != fenced_length2 -> goto give_up
#endif
        :: else
        fi;
#endif
#ifndef BREAK_SETTLED
        if :: !settled -> goto give_up :: else fi;
#endif
        /* Chooses the longest log, as reported in the answers to the fence requests. */
#ifndef BREAK_LONGEST
        if
        :: fenced_length1 >= fenced_length2 -> target = 1
        :: fenced_length2 >= fenced_length1 -> target = 2
        fi;
#else
        if :: target = 1 :: target = 2 fi;
#endif
#ifdef LAPSE
        /* One that has departed is not chosen; if it alone has the longest log, the promotion waits. */
        if
        :: lapsed && target == 2 && fenced_length1 < fenced_length2 -> goto give_up
        :: lapsed && target == 2 && fenced_length1 == fenced_length2 -> target = 1
        :: else
        fi;
#endif
        verified = true;
#ifdef LEAVER
        /* The daemon promotes a leaving replica with the longest log and then promotes again; not modelled. */
        if :: present[3] && length[3] > length[target] -> goto give_up :: else fi;
#endif
    }
    /* The last check of the tenure, and the call. */
    atomic {
#ifndef BREAK_TENURE
        if :: !tenure[holder] -> goto done :: else fi;
        if :: promoted -> goto give_up :: else fi;
#endif
        take_effect(token);
        assert(length[target] >= confirmed);
        promoted = true;
        promoted_length = length[target];
        fenced[1] = false; fenced[2] = false; fenced[3] = false;
        follows[target] = true;
        if :: follows[3 - target] = true :: skip fi
    }
    new_commit = true;
give_up:
    atomic {
        if
        :: tenure[holder] && !promoted -> fenced[1] = false; fenced[2] = false; fenced[3] = false
        :: else
        fi;
#ifdef RESTORE
        /* A promotion stays recorded. */
        if
        :: tenure[holder] && claim_era[holder] == era -> later_term_recorded = recorded_before || promoted
        :: else
        fi;
release:
#endif
        if :: tenure[holder] -> end_claim(holder) :: else fi
    }
done:
#if defined(LAPSE) || defined(CLAIMANT)
    atomic { may_choose_2 = may_choose_2 - may_choose }
#endif
    skip
}

/* The tenure of a suspended holder ends; only then may another daemon claim the duty. */
active proctype clock() {
end:
    do
    :: atomic { tenure[1] -> end_claim(1) }
    :: atomic { tenure[2] -> end_claim(2) }
    od
}

/* Both daemons promote concurrently: the call of the first holder may reach the platform after that of the second. */
init {
    atomic { run promoter(1); run promoter(2) }
}
