/*
 * Tickets: created once under their number, applied per subject with the highest number winning.
 * Two operators race; two daemons hear from the store, whose answers may be old, and from each other.
 * Each BREAK_ switch removes one guard and must lead to a violated assertion.
 */
#define TICKETS 3
#define SUBJECTS 2

/* Content of objects tickets/<number>; 0 = does not exist, otherwise 1 + operator. */
byte object[TICKETS + 1];
byte accepted_by[TICKETS + 1];

/* Ticket 1 touches both subjects, ticket 2 the first, ticket 3 the second. */
#define TOUCHES(number, subject) ((number) == 1 || ((number) == 2 && (subject) == 0) || \
                                  ((number) == 3 && (subject) == 1))

/* ticket_state of each daemon: number and content in effect per subject. */
byte view_number[2 * SUBJECTS];
byte view_content[2 * SUBJECTS];

/* ticket_state::apply */
inline apply(daemon, number, content) {
    for (s : 0 .. (SUBJECTS - 1)) {
        if
#ifdef BREAK_HIGHEST
        :: TOUCHES(number, s) ->
#else
        :: TOUCHES(number, s) && number > view_number[daemon * SUBJECTS + s] ->
#endif
            /* Views never revert. */
            assert(number >= view_number[daemon * SUBJECTS + s]);
            view_number[daemon * SUBJECTS + s] = number;
            view_content[daemon * SUBJECTS + s] = content
        :: else
        fi
    }
    s = 0
}

/* An operator creates every ticket number with its own content; the response to the update may be lost. */
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
        /* Without a response: read back and compare the content. */
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
        /* A ticket that was reported as accepted is the one that is stored. */
        assert(accepted_by[number] != self + 1 || object[number] == self + 1);
        number++
    :: else -> break
    od
}

proctype daemon(byte self) {
    byte s, number, content;
end:
    do
    /* An answer of the store may be old: it is read in one step and applied in a later one. */
    :: number == 0 -> atomic {
        select(number : 1 .. TICKETS);
        content = object[number];
        if
        :: content == 0 -> number = 0
        :: else
        fi }
    :: number != 0 -> atomic { apply(self, number, content); number = 0; content = 0 }
    /* The other daemon's view arrives. */
    :: atomic {
        number == 0 ->
        select(s : 0 .. (SUBJECTS - 1));
        number = view_number[(1 - self) * SUBJECTS + s];
        content = view_content[(1 - self) * SUBJECTS + s];
        s = 0 }
    od
}

/* Daemons that have the same number in effect for a subject have the same content. */
#define SAME(s) (view_number[s] != view_number[SUBJECTS + (s)] || view_content[s] == view_content[SUBJECTS + (s)])
proctype observer() {
    atomic { !(SAME(0) && SAME(1)) -> assert(false) }
}

init {
    atomic { run operator(0); run operator(1); run daemon(0); run daemon(1); run observer() }
}
