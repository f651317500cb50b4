/* Variants: LATE LATE+WAKE TIMELY
   Mutants: LATE+USE_TWICE LATE+NO_REDIRECT TIMELY+NO_VALIDITY TIMELY+NO_GRACE TIMELY+NO_NEW_GRACE TIMELY+NO_ADOPTION TIMELY+WITHDRAW_USED LATE+NO_COUNT
   Handover of a pool's scheduler from instance 0 to instance 1, which adopts the granted requests.
   The pool has one endpoint; each request has an entry instance of its own. */

/* Failures in the model: instance 0 crashes, is paused, or stops as planned (Fault); messages are
   late or lost; and the instances see the change of the scheduler at different times.

   Guarantees checked: a request is dispatched at most once, no more than MAX_RUNNING requests run at
   once (Entry), and at the end each request has been dispatched or answered (FinalCheck).

   Variants: in TIMELY all views, reports and grants arrive before the grace period of a new scheduler
   ends; in LATE they may arrive after it. With WAKE, and in TIMELY, the paused instance 0 may become
   active and be the scheduler again.

   Faults that the mutants add:
   USE_TWICE      an entry uses a second grant of a request that is already running.
   NO_REDIRECT    an entry does not offer its request to the new scheduler.
   NO_VALIDITY    an entry dispatches a request after the validity of its permit.
   NO_GRACE       a new scheduler grants without a grace period.
   NO_NEW_GRACE   a scheduler whose instance was inactive continues without a new grace period.
   NO_ADOPTION    an entry does not report a granted request to the new scheduler.
   WITHDRAW_USED  an entry withdraws a request from an earlier scheduler although it has a permit,
                  perhaps by that scheduler's grant.
   NO_COUNT       a scheduler grants although no slot is free. */

#define SLOTS 1                /* requests that one scheduler lets run at once */
/* MAX_RUNNING: requests that may run at once, SLOTS for each scheduler that there was. */
#if defined(TIMELY)
#define REQUESTS 2
#define MAX_RUNNING SLOTS       /* no scheduler grants a slot that an earlier one has granted */
#elif defined(WAKE)
#define REQUESTS 2
#define MAX_RUNNING (3 * SLOTS) /* two changes of the scheduler; not reached with two requests */
#else
#define REQUESTS 3
#define MAX_RUNNING (2 * SLOTS) /* one change of the scheduler */
#endif
#define pair(s, r) ((s) * REQUESTS + (r))    /* index of scheduler s and request r */
#define PAIRS (2 * REQUESTS)

/* States of a request at its entry. */
#define WAITING 0
#define PERMITTED 1            /* granted, not dispatched yet */
#define RUNNING 2
#define ENDED 3                /* answered, whether it was dispatched or not */

byte true_scheduler = 0;       /* instance that is the scheduler if all failures are known */
bool is_alive = true;          /* instance 0 has not crashed */
bool is_paused = false;        /* instance 0 takes no steps */
bool is_active = true;         /* instance 0 may be the scheduler: its heartbeats are acknowledged */
bool is_stopping = false;      /* instance 0 stops as planned */
bool reactivated = false;      /* instance 0 was inactive since its scheduler last acted */
byte view_of_1 = 0;            /* scheduler as instance 1 sees it */

bool has_scheduler[2];         /* by instance: its scheduler has been started */
bool in_grace[2];              /* by instance: the grace period of its scheduler is active */
bool queued[PAIRS];            /* the request waits at the scheduler */
bool holds_slot[PAIRS];        /* the request is granted or adopted by the scheduler */

byte state[REQUESTS] = WAITING;
byte target[REQUESTS] = 0;     /* scheduler to which the entry sends the request */
byte dispatches[REQUESTS] = 0;
byte running = 0;              /* number of running requests */

/* Messages in flight, which arrive at any time or are lost. Offers and withdrawals are lost or arrive
   at once; offers are repeated by heartbeats. */
bool adoption[PAIRS];          /* report to the scheduler that the request is granted */
bool grant[PAIRS];

#define is_running(s) ((s) == 1 || (is_alive && !is_paused))
#define is_scheduler(s) (((s) == 0 && is_active && !is_stopping) || ((s) == 1 && view_of_1 == 1))
#define can_act(s) (is_running(s) && is_scheduler(s))
#define is_pending(r) (state[r] != ENDED)
#define has_permit(r) (state[r] == PERMITTED || state[r] == RUNNING)

#if REQUESTS == 2
#define used_slots(s) (holds_slot[pair(s, 0)] + holds_slot[pair(s, 1)])
#define are_all_reported(s) (is_reported(s, 0) && is_reported(s, 1))
#else
#define used_slots(s) (holds_slot[pair(s, 0)] + holds_slot[pair(s, 1)] + holds_slot[pair(s, 2)])
#define are_all_reported(s) (is_reported(s, 0) && is_reported(s, 1) && is_reported(s, 2))
#endif
#ifdef NO_ADOPTION
#define is_adopted(s, r) true
#else
#define is_adopted(s, r) (!has_permit(r) || holds_slot[pair(s, r)])
#endif
/* The request has ended; or it is sent to scheduler s, no grant of it is in flight, and s has adopted
   it if it is granted. */
#define is_reported(s, r) \
  (!is_pending(r) || (target[r] == (s) && !grant[pair(0, r)] && !grant[pair(1, r)] && is_adopted(s, r)))

#ifdef TIMELY
#define may_end_grace(s) are_all_reported(s)
#else
#define may_end_grace(s) true
#endif
#ifdef WITHDRAW_USED
#define may_withdraw(r) true
#else
#define may_withdraw(r) (!has_permit(r))   /* the grant may be a copy of the one in use */
#endif
#ifdef NO_COUNT
#define has_free_slot(s) true
#else
#define has_free_slot(s) (used_slots(s) < SLOTS)
#endif

/* Removes all requests of a scheduler. The local variable i of the caller is the loop variable. */
inline clear_requests(s) {
  for (i : 0 .. REQUESTS - 1) { queued[pair(s, i)] = false; holds_slot[pair(s, i)] = false };
  i = 0
}

/* Starts a scheduler and its grace period on the first message to it. Clears the scheduler of
   instance 0 and starts a new grace period if the instance was inactive. */
inline start_scheduler(s) {
  if
  :: !has_scheduler[s] -> has_scheduler[s] = true; reactivated = reactivated && s == 1;
#ifndef NO_GRACE
     in_grace[s] = true
#endif
  :: (s) == 0 && has_scheduler[0] && reactivated -> reactivated = false;
#ifndef NO_NEW_GRACE
     in_grace[s] = true; clear_requests(s)
#endif
  :: else
  fi
}

/* Assigns a request to a scheduler, and reports it as adopted if it is granted. */
inline assign(r, s) {
  target[r] = s;
#ifndef NO_ADOPTION
  if :: has_permit(r) -> adoption[pair(s, r)] = true :: else fi
#endif
}

/* Reports the end or the withdrawal of a request to a scheduler; the report may be lost. */
inline report_end(s, r) {
  if
  :: can_act(s) -> queued[pair(s, r)] = false; holds_slot[pair(s, r)] = false
  :: skip
  fi
}

proctype Scheduler(byte s) {
  byte i;
end:
  do
  :: atomic {                                    /* the grace period ends */
       has_scheduler[s] && can_act(s) && in_grace[s] && may_end_grace(s) &&
         !(s == 0 && reactivated) ->
       in_grace[s] = false
     }
  :: atomic { s == 0 && has_scheduler[0] && can_act(0) && reactivated -> start_scheduler(0) }
  :: atomic {                                    /* instance 1 sees the change of the scheduler */
       s == 1 && view_of_1 != true_scheduler -> view_of_1 = true_scheduler;
       if
       :: view_of_1 == 0 && has_scheduler[1] ->
          clear_requests(1); has_scheduler[1] = false; in_grace[1] = false
       :: else
       fi
     }
  od
}

/* Exchanges the messages on request r between its entry and scheduler s. */
proctype Link(byte s; byte r) {
  byte i;
end:
  do
  :: atomic {                                    /* an offer or its repetition arrives */
       can_act(s) && is_pending(r) && target[r] == s && !queued[pair(s, r)] && !grant[pair(s, r)] &&
         (state[r] == WAITING || holds_slot[pair(s, r)]) ->
       start_scheduler(s);
       if
       :: holds_slot[pair(s, r)] -> grant[pair(s, r)] = true     /* the grant is sent again */
       :: else -> queued[pair(s, r)] = true
       fi
     }
  :: atomic {                                    /* the report of a granted request arrives */
       adoption[pair(s, r)] && (s == 1 || !is_paused) ->
       adoption[pair(s, r)] = false;
       if
       :: can_act(s) -> start_scheduler(s); queued[pair(s, r)] = false; holds_slot[pair(s, r)] = true
       :: else
       fi
     }
  :: atomic {                                    /* the scheduler grants the request */
       has_scheduler[s] && can_act(s) && !in_grace[s] && !(s == 0 && reactivated) &&
         queued[pair(s, r)] && has_free_slot(s) ->
       queued[pair(s, r)] = false; holds_slot[pair(s, r)] = true; grant[pair(s, r)] = true
     }
  :: atomic { grant[pair(s, r)] -> grant[pair(s, r)] = false }           /* the grant is lost */
  :: atomic { adoption[pair(s, r)] -> adoption[pair(s, r)] = false }     /* the report is lost */
  :: atomic {                     /* a heartbeat lists the request; the scheduler requests a report */
       can_act(s) && has_permit(r) && target[r] == s && !holds_slot[pair(s, r)] &&
         !adoption[pair(s, r)] ->
       start_scheduler(s); assign(r, s)
     }
  /* The entry has not received the grant: the scheduler frees the slot after twice the validity of
     the permit, or when the entry no longer sends heartbeats. */
  :: atomic { can_act(s) && holds_slot[pair(s, r)] && !has_permit(r) && !grant[pair(s, r)] ->
       holds_slot[pair(s, r)] = false
     }
  od
}

proctype Entry(byte r) {
  byte view = 0;               /* scheduler as this entry sees it */
  byte s = 0;                  /* scheduler whose grant arrives */
  bool dispatches_late = false;

end:
  do
  :: atomic { view != true_scheduler -> view = true_scheduler;
#ifndef NO_REDIRECT
       if :: is_pending(r) && target[r] != view -> assign(r, view) :: else fi
#endif
     }
  :: atomic {                                    /* a grant arrives */
       grant[pair(0, r)] || grant[pair(1, r)] ->
       if :: grant[pair(0, r)] -> s = 0 :: grant[pair(1, r)] -> s = 1 fi;
       grant[pair(s, r)] = false;
       if
       :: !is_pending(r) || (target[r] != s && may_withdraw(r)) -> report_end(s, r)
       :: is_pending(r) && target[r] == s && state[r] == WAITING -> state[r] = PERMITTED
#ifdef USE_TWICE
       :: is_pending(r) && target[r] == s && state[r] == RUNNING -> state[r] = PERMITTED; running--
#endif
       :: else
       fi;
       s = 0
     }
  :: atomic { state[r] == PERMITTED ->
       state[r] = RUNNING; dispatches[r]++; running++;
       assert(dispatches[r] <= 1);               /* a request is dispatched at most once */
       assert(running <= MAX_RUNNING)            /* the endpoint is not overloaded */
     }
  :: atomic { state[r] == PERMITTED ->           /* the permit expires: answered without dispatch */
       state[r] = ENDED; report_end(target[r], r);
#ifdef NO_VALIDITY
       dispatches_late = true
#endif
     }
#ifdef NO_VALIDITY
  :: atomic {
       dispatches_late ->
       dispatches_late = false; running++; assert(running <= MAX_RUNNING); running--
     }
#endif
  :: atomic { state[r] == RUNNING -> running--; state[r] = ENDED; report_end(target[r], r) }
  od
}

/* Checks that each request has been answered when no process can take a step any more. */
proctype FinalCheck() {
  timeout -> assert(!is_pending(0) && !is_pending(1) && !is_pending(REQUESTS - 1))
}

/* At most one failure of instance 0, or its planned stop. */
proctype Fault() {
  byte i;
  if
  :: atomic {                                              /* crash */
       is_alive = false; has_scheduler[0] = false; in_grace[0] = false; clear_requests(0)
     };
     true_scheduler = 1
#if defined(WAKE) || defined(TIMELY)
  :: is_paused = true;                                     /* pause; then it is active again */
     atomic { is_active = false; true_scheduler = 1 };     /* inactive before others see it dead */
     is_paused = false;
     atomic { is_active = true; reactivated = true; true_scheduler = 0 }
#endif
  :: is_paused = true;                                     /* pause; then it stays inactive */
     atomic { is_active = false; true_scheduler = 1 }; is_paused = false
  :: atomic {                                              /* planned stop */
       is_stopping = true; true_scheduler = 1; clear_requests(0); has_scheduler[0] = false;
       in_grace[0] = false
     }
  :: skip                                                  /* no failure */
  fi
}

init {
  byte r;
  atomic {
    has_scheduler[0] = true;
    for (r : 0 .. REQUESTS - 1) { run Entry(r); run Link(0, r); run Link(1, r) };
    run Scheduler(0); run Scheduler(1); run Fault(); run FinalCheck(); r = 0
  }
}
