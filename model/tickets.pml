/*
 * Tickets: each number is created once; for each subject the ticket with the highest number is in effect.
 * Two operators create tickets concurrently. Two daemons receive tickets from the store, whose answers may be
 * outdated, and from each other.
 * Each BREAK_ switch removes one guard and must lead to a violated assertion.
 */
#define TICKETS 3
#define SUBJECTS 2

/* Content of objects tickets/<number>; 0 = does not exist, otherwise 1 + operator. */
byte object[TICKETS + 1];
byte accepted_by[TICKETS + 1];

/* Ticket 1 applies to both subjects, ticket 2 to the first, ticket 3 to the second. */
#define APPLIES_TO(number, subject) ((number) == 1 || ((number) == 2 && (subject) == 0) || \
                                  ((number) == 3 && (subject) == 1))

/* ticket_state of each daemon: number and content in effect for each subject. */
byte view_number[2 * SUBJECTS];
byte view_content[2 * SUBJECTS];

/* ticket_state::apply */
inline apply(daemon, number, content) {
    for (s : 0 .. (SUBJECTS - 1)) {
        if
#ifdef BREAK_HIGHEST
        :: APPLIES_TO(number, s) ->
#else
        :: APPLIES_TO(number, s) && number > view_number[daemon * SUBJECTS + s] ->
#endif
            /* A view never goes back to a lower number. */
            assert(number >= view_number[daemon * SUBJECTS + s]);
            view_number[daemon * SUBJECTS + s] = number;
            view_content[daemon * SUBJECTS + s] = content
        :: else
        fi
    }
    s = 0
}

/* An operator creates each ticket number with its own content; the response to the write may be lost. */
proctype operator(byte self) {
    byte number = 1;
    byte read;
    do
    :: number <= TICKETS ->
        atomic {
            if
#ifdef BREAK_CREATE_ONCE
            :: object[number] = self + 1; accepted_by[number] = self + 1
#else
            :: object[number] == 0 -> object[number] = self + 1;
                if
                :: accepted_by[number] = self + 1
                :: skip /* response lost */
                fi
            :: object[number] != 0 -> skip
#endif
            fi
        }
        /* Without a response, the operator reads the ticket back and compares the content. */
        if
        :: accepted_by[number] != self + 1 ->
            read = object[number];
            if
#ifdef BREAK_READ_BACK
            :: read != 0 -> accepted_by[number] = self + 1
#else
            :: read == self + 1 -> accepted_by[number] = self + 1
#endif
            :: else
            fi;
            read = 0
        :: else
        fi;
        /* A ticket reported as accepted is the one that is stored. */
        assert(accepted_by[number] != self + 1 || object[number] == self + 1);
        number++
    :: else -> break
    od
}

proctype daemon(byte self) {
    byte s, number, content;
end:
    do
    /* A store answer may be outdated: it is read in one step and applied in a later one. */
    :: number == 0 -> atomic {
        select(number : 1 .. TICKETS);
        content = object[number];
        if
        :: content == 0 -> number = 0
        :: else
        fi }
    :: number != 0 -> atomic { apply(self, number, content); number = 0; content = 0 }
    /* The view of the other daemon arrives. */
    :: atomic {
        number == 0 ->
        select(s : 0 .. (SUBJECTS - 1));
        number = view_number[(1 - self) * SUBJECTS + s];
        content = view_content[(1 - self) * SUBJECTS + s];
        s = 0 }
    od
}

/* If two daemons have the same number in effect for a subject, they have the same content. */
#define SAME(s) (view_number[s] != view_number[SUBJECTS + (s)] || view_content[s] == view_content[SUBJECTS + (s)])
proctype observer() {
    atomic { !(SAME(0) && SAME(1)) -> assert(false) }
}

init {
    atomic { run operator(0); run operator(1); run daemon(0); run daemon(1); run observer() }
}
