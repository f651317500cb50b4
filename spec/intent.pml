/* Variants: none WRITER
   Mutants: NO_TOKEN NO_OWNER_CHECK NO_RELEASE_MARK WRITER+EARLY_ANSWER WRITER+NO_CONDITION
   Intent and dispatch of one action key in the platform's table: lost answers, late writes,
   crashes, releases and repeats on two instances. WRITER: insertions may go through the writer of
   the failure domain, which may be silent, die, write late and write a second time. */

#define CALLS 3          /* calls with the same key: 0 and 2 at instance 0, 1 at instance 1 */
#define NONE 255
#define FREE 0
#define INTENT 1
#define RAN 2

byte row = FREE;         /* state of the row */
byte owner = NONE;       /* call whose token the row carries */
byte dispatches = 0;
bool alive[2] = true;
bool released[CALLS] = false;   /* tokens that their own instance knows to be given up */
bool late[CALLS] = false;       /* an insertion whose answer was lost may still arrive */
byte queued[CALLS] = 0;  /* times that the writer may still send the insertion */
bool told_not_run[CALLS] = false;
bool dispatched[CALLS] = false;

#define instance(c) (c % 2)

/* An insertion that was under way when its caller gave up arrives now. */
proctype Network() {
  byte c;
  do
  :: select(c : 0 .. CALLS - 1);
     atomic { late[c] -> late[c] = false; if :: row == FREE -> row = INTENT; owner = c :: else fi }
  od
}

#ifdef NO_CONDITION
#define takes_effect true
#else
#define takes_effect (row == FREE)
#endif

#define send(c) \
  atomic { queued[c] > 0 -> queued[c]--; \
    if :: takes_effect -> row = INTENT; owner = c :: else fi }

/* The writer sends what it holds at any time or, as it may die or be paused, never. */
proctype Writer() {
  do
  :: send(0)
  :: send(1)
  :: send(2)
  od
}

proctype Crash() {
  if
  :: atomic { alive[0] = false }
  :: skip
  fi
}

proctype Call(byte c) {
  bool granted = false;
  bool doubt = false;
  byte tries = 0;

claim:
  if
  :: !alive[instance(c)] -> goto end
  :: else
  fi;
  atomic {
    if
    :: row == FREE && !doubt ->
       if
       :: row = INTENT; owner = c; granted = true            /* applied */
       :: row = INTENT; owner = c; doubt = true              /* applied, answer lost */
       :: late[c] = true; doubt = true                       /* on its way, answer lost */
       :: skip                                               /* refused: outage */
#ifdef WRITER
       :: queued[c] = 2; doubt = true                        /* no answer of the writer */
       :: row = INTENT; owner = c; queued[c] = 1; granted = true    /* applied, a copy is left */
       :: row = INTENT; owner = c; queued[c] = 1; doubt = true      /* the same, answer lost */
#endif
#ifdef EARLY_ANSWER
       :: queued[c] = 1; granted = true                      /* answered before the write */
#endif
       fi
    :: row == FREE && doubt -> row = INTENT; owner = c; granted = true   /* repeated insertion */
#ifdef NO_TOKEN
    :: row == INTENT && doubt -> granted = true
#else
    :: row == INTENT && owner == c && doubt -> granted = true  /* own token recognised */
#endif
#ifdef NO_OWNER_CHECK
    :: row == INTENT && owner != c && !alive[instance(owner)] -> owner = c; granted = true
#endif
#ifdef NO_RELEASE_MARK
    :: row == INTENT && owner != c && instance(owner) == instance(c) -> owner = c; granted = true
#else
    :: row == INTENT && owner != c && instance(owner) == instance(c) && released[owner] ->
       owner = c; granted = true                             /* own row, given up before */
#endif
    :: else -> skip                                          /* in progress, unknown or ran */
    fi
  }
  if
  :: granted -> goto dispatch
  :: !granted && doubt && tries < 1 -> tries++; goto claim
  :: !granted && (!doubt || tries >= 1) ->
     atomic { if :: alive[instance(c)] -> released[c] = true; told_not_run[c] = true :: else fi };
     goto cleanup
  fi;

dispatch:
  if
  :: !alive[instance(c)] -> goto end
  :: atomic { alive[instance(c)] -> dispatched[c] = true; dispatches++;
              assert(dispatches <= 1); assert(!told_not_run[c]) };
     atomic { if :: alive[instance(c)] && row == INTENT && owner == c -> row = RAN :: else fi };
     goto end
  :: atomic { alive[instance(c)] -> released[c] = true; told_not_run[c] = true }  /* not run */
  fi;

cleanup:
  /* The row of a call that was given up is deleted by its own instance only. */
  atomic {
    if
    :: alive[instance(c)] && row == INTENT && owner == c -> row = FREE; owner = NONE
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
