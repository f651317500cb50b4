/* Mutants: NO_WITNESS NO_ASK NO_LOSS_COUNT
   Claims of one idempotency key at its registrar: two calls claim the key while the registrar changes
   and the instances of the domain have different views of which are alive. */

/* The registrar is the first instance, in the order 0, 1, 2, of those it sees alive. The calls come
   from entry instances outside the domain. A new registrar queries the other members for earlier
   claims, and replicates a claim to a second instance, the witness, before it grants it.

   Failures in the model: at most two crashes or pauses, found at different times by the others, and
   restarts with empty memory.

   Guarantee checked (in Call): no more than one call with the key is dispatched.

   Faults that the mutants add:
   NO_WITNESS     the registrar grants a claim that it has not replicated to a witness.
   NO_ASK         a new registrar does not query the other members.
   NO_LOSS_COUNT  a new registrar takes a key for unclaimed although two processes were lost that may
                  have had the claim.
   Macros that are not in the list of mutants, so that spec/check does not search with them:
   NO_STANDING          an inactive registrar decides claims.
   NO_WAIT_FOR_SILENT   a new registrar does not wait for a member that it sees alive but that does
                        not answer.
   NO_COVERAGE          a new registrar takes a key for unclaimed after the loss of one process,
                        although no member has records of all claims. */

#define INSTANCES 3
#define CALLS 2
#define NONE 255
#define sees(i, j) view[(i) * INSTANCES + (j)]    /* instance i sees instance j alive */
#define is_running(i) (is_alive[i] && !is_paused[i])
/* For instance i, whose epoch was claim_epoch when it received the claim. */
#define is_same_epoch(i) (is_running(i) && epoch[i] == claim_epoch)
#define has_epoch_ended(i) (!is_alive[i] || epoch[i] != claim_epoch)
#define sees_itself_first(i) \
  ((i) == 0 || ((i) == 1 && !sees(1, 0)) || ((i) == 2 && !sees(2, 0) && !sees(2, 1)))

#define sees_no_other(i) \
  (((i) == 0 || !sees(i, 0)) && ((i) == 1 || !sees(i, 1)) && ((i) == 2 || !sees(i, 2)))
#define may_decide(i) is_active[i]
#ifdef NO_STANDING
#undef may_decide
#define may_decide(i) true
#endif

/* All arrays are by instance; view and knows_lost by pair of observing and observed instance. */
bool is_alive[INSTANCES] = true;
bool is_paused[INSTANCES] = false;
bool is_active[INSTANCES] = true;      /* false from when a member finds it dead until its heartbeats
                                          are acknowledged again */
bool is_covering[INSTANCES] = true;    /* member since before any claim of the key */
bool must_query[INSTANCES] = false;    /* became registrar after the key may have been claimed */
bool view[9] = true;                   /* the observer sees the other alive */
bool knows_lost[9] = false;            /* the observer knows that a process of the other was lost */
byte record[INSTANCES] = NONE;         /* call that claimed the key, as far as the instance knows */
byte taken_over_by[INSTANCES] = NONE;  /* registrar that last queried it, to take the key over */
byte epoch[INSTANCES] = 0;             /* incremented by a restart and by becoming active again */
byte dispatches = 0;
byte faults = 0;                       /* crashes and pauses so far */

/* The key was taken over from instance i by a registrar that precedes the given one, and i sees the
   former alive. */
#define is_outranked(i, registrar) \
  (taken_over_by[i] != NONE && taken_over_by[i] != (registrar) && \
    taken_over_by[i] < (registrar) && sees(i, taken_over_by[i]))

/* The observer removes a dead instance from its view; if it is the registrar only now, it must
   query the other members. */
inline mark_dead(observer, dead) {
  if
  :: sees_itself_first(observer) -> skip
  :: else ->
     sees(observer, dead) = false;
     if :: sees_itself_first(observer) -> must_query[observer] = true :: else fi
  fi;
  sees(observer, dead) = false; knows_lost[(observer) * INSTANCES + (dead)] = true
}

proctype Faults() {
  byte target; byte other;
  do
  :: faults < 2 ->                               /* crash or pause */
     atomic {
       select(target : 0 .. INSTANCES - 1);
       if
       :: is_running(target) ->
          faults++; if :: is_alive[target] = false :: is_paused[target] = true fi
       :: else
       fi;
       other = 0; target = 0
     }
  :: atomic {                                    /* one member finds another dead */
       select(other : 0 .. INSTANCES - 1); select(target : 0 .. INSTANCES - 1);
       if
       :: other != target && is_running(other) && sees(other, target) && !is_running(target) ->
          is_active[target] = false; mark_dead(other, target)
       :: else
       fi;
       other = 0; target = 0
     }
  :: atomic {                                    /* a paused process resumes */
       select(target : 0 .. INSTANCES - 1);
       if :: is_alive[target] && is_paused[target] -> is_paused[target] = false :: else fi;
       other = 0; target = 0
     }
  :: atomic {                                    /* its heartbeats are acknowledged: active again */
       select(target : 0 .. INSTANCES - 1);
       if
       :: is_running(target) && !is_active[target] ->
          must_query[target] = true; is_covering[target] = false; taken_over_by[target] = NONE;
          is_active[target] = true; epoch[target]++;
          for (other : 0 .. INSTANCES - 1) {
            if
            :: other != target && is_running(other) ->
               sees(other, target) = true; knows_lost[other * INSTANCES + target] = false;
               sees(target, other) = true; knows_lost[target * INSTANCES + other] = false
            :: else
            fi
          }
       :: else
       fi;
       other = 0; target = 0
     }
  :: atomic {                                    /* a crashed process restarts with empty memory */
       select(target : 0 .. INSTANCES - 1);
       if
       :: !is_alive[target] ->
          is_alive[target] = true; epoch[target]++; is_paused[target] = false;
          is_active[target] = true; is_covering[target] = false;
          must_query[target] = true; record[target] = NONE; taken_over_by[target] = NONE;
          for (other : 0 .. INSTANCES - 1) {
            knows_lost[target * INSTANCES + other] = false;
            sees(target, other) = (other == target || is_running(other));
            if
            :: other != target && is_running(other) ->
               knows_lost[other * INSTANCES + target] = true; sees(other, target) = true
            :: else
            fi
          }
       :: else
       fi;
       other = 0; target = 0
     }
  :: break
  od
}

proctype Call(byte self) {
  byte registrar;
  byte claim_epoch;            /* epoch of the registrar when it received the claim */
  byte member;
  byte peer;                   /* loop variable, and the instance tried as witness */
  byte losses;                 /* lost processes that may have had a claim of the key */
  bool claimed_before;         /* a member has another claim of the key */
  bool is_covered;             /* the registrar or a queried member is covering */
  bool may_be_lost[INSTANCES]; /* known lost, or seen alive by a member but not by the registrar */

  select(registrar : 0 .. INSTANCES - 1);
  atomic {                                       /* the registrar receives the claim */
    if
    :: is_running(registrar) && may_decide(registrar) && sees_itself_first(registrar) &&
         taken_over_by[registrar] == NONE && record[registrar] == NONE ->
       record[registrar] = self; claim_epoch = epoch[registrar]
    :: else -> goto refused
    fi
  };
#ifndef NO_ASK
  if
  :: must_query[registrar] ->
     is_covered = is_covering[registrar]; member = 0;
     do
     :: member < INSTANCES && member != registrar ->
        if
        :: atomic {                              /* the member reports its record and its view */
             is_same_epoch(registrar) && sees(registrar, member) && is_running(member) ->
             if
             :: record[member] != NONE && record[member] != self -> claimed_before = true
             :: else
             fi;
             taken_over_by[member] = registrar; is_covered = is_covered || is_covering[member];
             for (peer : 0 .. INSTANCES - 1) {
               may_be_lost[peer] = may_be_lost[peer] || knows_lost[member * INSTANCES + peer] ||
                 (sees(member, peer) && !sees(registrar, peer))
             }
           }
        /* The member is not in the registrar's view. */
        :: atomic {
             is_same_epoch(registrar) && !sees(registrar, member) -> may_be_lost[member] = true
           }
#ifdef NO_WAIT_FOR_SILENT
        :: atomic {
             is_same_epoch(registrar) && sees(registrar, member) && !is_running(member) -> skip
           }
#endif
        :: has_epoch_ended(registrar) -> goto refused
        fi;
        member++
     :: member < INSTANCES && member == registrar ->
        may_be_lost[registrar] = may_be_lost[registrar] || false; member++
     :: member >= INSTANCES -> break
     od;
     losses = 0;
     for (peer : 0 .. INSTANCES - 1) {
       if :: may_be_lost[peer] || knows_lost[registrar * INSTANCES + peer] -> losses++ :: else fi
     };
     if
     :: claimed_before -> goto undo
     /* The registrar and the witness of a claim may both be lost: the state of the key is unknown. */
#ifndef NO_LOSS_COUNT
     :: !claimed_before && losses >= 2 -> goto undo
#endif
     /* With one process lost, the key is unclaimed for certain only if the registrar or a queried
        member has been a member since before any claim of it. */
#ifndef NO_COVERAGE
     :: !claimed_before && losses == 1 && !is_covered -> goto undo
#endif
     :: else
     fi
  :: else
  fi;
#endif
#ifndef NO_WITNESS
  peer = 0;
  do
  :: peer < INSTANCES && (peer == registrar || !sees(registrar, peer)) -> peer++
  :: peer < INSTANCES && peer != registrar && sees(registrar, peer) ->
     if
     :: atomic {                                 /* the witness stores or rejects the claim */
          is_same_epoch(registrar) && is_running(peer) ->
          if
          :: is_outranked(peer, registrar) || (record[peer] != NONE && record[peer] != self) ->
             goto undo
          :: else -> record[peer] = self; break
          fi
        }
     /* The witness does not answer in time: the next one is tried. */
     :: is_same_epoch(registrar) && !is_running(peer) -> peer++
     :: has_epoch_ended(registrar) -> goto refused
     fi
  :: peer >= INSTANCES ->
     if
     :: sees_no_other(registrar) -> break        /* no witness is needed */
     :: else -> goto undo
     fi
  od;
#endif
  atomic {                                       /* the registrar grants the claim if it still may */
    if
    :: is_same_epoch(registrar) && sees_itself_first(registrar) && may_decide(registrar) &&
         taken_over_by[registrar] == NONE -> skip
    :: else -> goto undo
    fi
  };
  /* The entry dispatches the request when the grant arrives, at any later time. */
  atomic { dispatches++; assert(dispatches <= 1) };    /* at most one dispatch with the key */
  goto refused;
undo:
  /* The registrar removes its own record of the claim; a witness may keep one. */
  atomic {
    if
    :: epoch[registrar] == claim_epoch && record[registrar] == self -> record[registrar] = NONE
    :: else
    fi
  };
refused:
  /* Resets the variables, so that fewer states differ. */
  atomic {
    registrar = 0; member = 0; peer = 0; losses = 0; claimed_before = false; is_covered = false;
    may_be_lost[0] = false; may_be_lost[1] = false; may_be_lost[2] = false
  }
}

init {
  atomic { run Faults(); run Call(0); run Call(1); }
}
