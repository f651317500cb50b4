/* Variants: none WRITER
   Mutants: NO_TOKEN NO_OWNER_CHECK NO_RELEASE_MARK WRITER+EARLY_ANSWER WRITER+NO_CONDITION
   Intent row and dispatch of one action: three calls with the same idempotency key, two at one
   instance and one at another, insert the key's row in the platform's table before the dispatch. */

/* Failures in the model: lost answers of the table, late writes, a crash of an instance, and calls
   that are released without a dispatch and repeated.

   Guarantees checked (in Call): the action is dispatched at most once, and a call does not dispatch
   it after that call was answered "not run". The latter is checked within each call only.

   Variants: none inserts rows directly. In WRITER an insertion may also go through the writer of the
   failure domain, which may not answer, may crash, and may write late and a second time.

   Faults that the mutants add:
   NO_TOKEN         a call whose insertion was not answered takes any intent row for its own.
   NO_OWNER_CHECK   a call takes over the row of a call at a crashed instance, which may have been
                    dispatched.
   NO_RELEASE_MARK  a call takes over the row of another call at its instance that was not released.
   EARLY_ANSWER     the writer answers before it has written the row.
   NO_CONDITION     the writer's insertion replaces an existing row. */

#define CALLS 3          /* calls with the same key: 0 and 2 at instance 0, 1 at instance 1 */
#define NONE 255
/* States of the row. */
#define FREE 0           /* no row exists */
#define INTENT 1         /* inserted; the action may have been dispatched */
#define DISPATCHED 2     /* updated after the dispatch */

byte row = FREE;                      /* state of the row */
byte row_owner = NONE;                /* call whose token is in the row */
byte dispatches = 0;
bool is_alive[2] = true;                 /* by instance */
bool released[CALLS] = false;         /* its instance recorded that it will not be dispatched */
bool late_insertion[CALLS] = false;   /* an insertion that was not answered may take effect */
byte writer_sends[CALLS] = 0;         /* times that the writer may still send the insertion */
bool answered_not_run[CALLS] = false; /* the caller was told that the action was not run */
bool dispatched[CALLS] = false;

#define instance_of(call) (call % 2)

/* An insertion takes effect after its sender has stopped waiting for the answer. */
proctype Network() {
  byte call;
  do
  :: select(call : 0 .. CALLS - 1);
     atomic {
       late_insertion[call] -> late_insertion[call] = false;
       if :: row == FREE -> row = INTENT; row_owner = call :: else fi
     }
  od
}

#ifdef NO_CONDITION
#define may_write_row true
#else
#define may_write_row (row == FREE)
#endif

#define send_insertion(call) \
  atomic { writer_sends[call] > 0 -> writer_sends[call]--; \
    if :: may_write_row -> row = INTENT; row_owner = call :: else fi }

/* The writer sends the insertions that it has received at any time, or never, as it may crash or be
   paused. */
proctype Writer() {
  do
  :: send_insertion(0)
  :: send_insertion(1)
  :: send_insertion(2)
  od
}

proctype Crash() {
  if
  :: atomic { is_alive[0] = false }
  :: skip
  fi
}

proctype Call(byte self) {
  bool granted = false;
  bool outcome_unknown = false;   /* its insertion was not answered */
  byte retries = 0;

claim:
  if
  :: !is_alive[instance_of(self)] -> goto end
  :: else
  fi;
  atomic {
    if
    :: row == FREE && !outcome_unknown ->
       if
       /* The row is inserted. */
       :: row = INTENT; row_owner = self; granted = true
       /* The row is inserted, but the answer is lost. */
       :: row = INTENT; row_owner = self; outcome_unknown = true
       /* The insertion is in flight, and its answer will be lost. */
       :: late_insertion[self] = true; outcome_unknown = true
       /* The insertion is rejected: the platform has an outage. */
       :: skip
#ifdef WRITER
       /* The writer does not answer. */
       :: writer_sends[self] = 2; outcome_unknown = true
       /* The writer inserts the row, and may send the insertion a second time. */
       :: row = INTENT; row_owner = self; writer_sends[self] = 1; granted = true
       /* The same, but the answer is lost. */
       :: row = INTENT; row_owner = self; writer_sends[self] = 1; outcome_unknown = true
#endif
#ifdef EARLY_ANSWER
       :: writer_sends[self] = 1; granted = true
#endif
       fi
    /* The repeated insertion takes effect. */
    :: row == FREE && outcome_unknown -> row = INTENT; row_owner = self; granted = true
    /* The repeated insertion finds the row of the first attempt, by its token. */
#ifdef NO_TOKEN
    :: row == INTENT && outcome_unknown -> granted = true
#else
    :: row == INTENT && row_owner == self && outcome_unknown -> granted = true
#endif
#ifdef NO_OWNER_CHECK
    :: row == INTENT && row_owner != self && !is_alive[instance_of(row_owner)] ->
       row_owner = self; granted = true
#endif
    /* The row is that of a released call at this instance. */
#ifdef NO_RELEASE_MARK
    :: row == INTENT && row_owner != self && instance_of(row_owner) == instance_of(self) ->
       row_owner = self; granted = true
#else
    :: row == INTENT && row_owner != self && instance_of(row_owner) == instance_of(self) &&
         released[row_owner] ->
       row_owner = self; granted = true
#endif
    /* Another call is in progress, was dispatched, or has an unknown outcome. */
    :: else -> skip
    fi
  }
  if
  :: granted -> goto dispatch
  :: !granted && outcome_unknown && retries < 1 -> retries++; goto claim
  :: !granted && (!outcome_unknown || retries >= 1) ->
     atomic {
       if
       :: is_alive[instance_of(self)] -> released[self] = true; answered_not_run[self] = true
       :: else
       fi
     };
     goto cleanup
  fi;

dispatch:
  if
  :: !is_alive[instance_of(self)] -> goto end
  :: atomic {
       is_alive[instance_of(self)] -> dispatched[self] = true; dispatches++;
       assert(dispatches <= 1);            /* the action is dispatched at most once */
       assert(!answered_not_run[self])     /* the answer "not run" is true */
     };
     atomic {
       if
       :: is_alive[instance_of(self)] && row == INTENT && row_owner == self -> row = DISPATCHED
       :: else
       fi
     };
     goto end
  /* The call is released without a dispatch. */
  :: atomic { is_alive[instance_of(self)] -> released[self] = true; answered_not_run[self] = true }
  fi;

cleanup:
  /* Only the instance of a released call deletes its row. */
  atomic {
    if
    :: is_alive[instance_of(self)] && row == INTENT && row_owner == self ->
       row = FREE; row_owner = NONE
    :: else
    fi
  }
end:
  skip
}

init {
  atomic {
    run Network(); run Crash();
#ifdef WRITER
    run Writer();
#endif
    run Call(0); run Call(1); run Call(2)
  }
}
