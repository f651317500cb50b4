/* Variants: LATE LATE+WAKE TIMELY
   Mutants: LATE+USE_TWICE LATE+NO_REDIRECT TIMELY+NO_VALIDITY TIMELY+NO_GRACE TIMELY+NO_NEW_GRACE TIMELY+NO_ADOPTION TIMELY+WITHDRAW_USED LATE+NO_COUNT
   Hand-over of a pool's scheduler: instance 0 dies, pauses and wakes, or stops as planned, and
   instance 1 takes over with adopted work while views differ. One endpoint; an entry a request. */

#define SLOTS 1
/* Requests that may run at once: the slots of each scheduler that was in office. */
#if defined(TIMELY)
#define REQUESTS 2
#define BOUND SLOTS            /* views, reports and grants arrive within the grace */
#elif defined(WAKE)
#define REQUESTS 2
#define BOUND (3 * SLOTS)      /* two changes; more than the requests here */
#else
#define REQUESTS 3
#define BOUND (2 * SLOTS)      /* one change */
#endif
#define at(s, r) ((s) * REQUESTS + (r))
#define ALL (2 * REQUESTS)

#define WAITING 0
#define PERMITTED 1
#define RUNNING 2
#define ENDED 3

byte right = 0;                /* scheduler by the true membership */
bool alive = true;             /* of instance 0 */
bool paused = false;
bool standing = true;
bool stopping = false;
bool renewed = false;          /* standing was lost and regained since the scheduler last acted */
byte view = 0;                 /* scheduler as instance 1 sees it */

bool holds[2];                 /* the scheduler exists */
bool grace[2];
bool queued[ALL];
bool counted[ALL];             /* granted or adopted, takes a slot */

byte state[REQUESTS] = WAITING;
byte directed[REQUESTS] = 0;   /* scheduler to which the entry directs its request */
byte dispatches[REQUESTS] = 0;
byte running = 0;

/* Messages on their way, which arrive at any time or are lost. Offers and withdrawals are lost or
   arrive at once; heartbeats repeat them. */
bool report[ALL];              /* adopted */
bool grant[ALL];

#define runs(s) ((s) == 1 || (alive && !paused))
#define schedules(s) (((s) == 0 && standing && !stopping) || ((s) == 1 && view == 1))
#define acts(s) (runs(s) && schedules(s))
#define pending(r) (state[r] != ENDED)
#define has_permit(r) (state[r] == PERMITTED || state[r] == RUNNING)

#if REQUESTS == 2
#define used(s) (counted[at(s, 0)] + counted[at(s, 1)])
#define settled(s) (settled_one(s, 0) && settled_one(s, 1))
#else
#define used(s) (counted[at(s, 0)] + counted[at(s, 1)] + counted[at(s, 2)])
#define settled(s) (settled_one(s, 0) && settled_one(s, 1) && settled_one(s, 2))
#endif
#ifdef NO_ADOPTION
#define adopted(s, r) true
#else
#define adopted(s, r) (!has_permit(r) || counted[at(s, r)])
#endif
#define settled_one(s, r) (!pending(r) || (directed[r] == (s) && !grant[at(0, r)] && !grant[at(1, r)] && adopted(s, r)))

#ifdef TIMELY
#define grace_may_end(s) settled(s)
#else
#define grace_may_end(s) true
#endif
#ifdef WITHDRAW_USED
#define may_withdraw(r) true
#else
#define may_withdraw(r) (!has_permit(r))   /* the permit may be a copy of this grant */
#endif
#ifdef NO_COUNT
#define has_slot(s) true
#else
#define has_slot(s) (used(s) < SLOTS)
#endif

inline forget(s) {
  for (i : 0 .. REQUESTS - 1) { queued[at(s, i)] = false; counted[at(s, i)] = false };
  i = 0
}

/* A scheduler begins with the first message for it, and waits a grace period. */
inline begin(s) {
  if
  :: !holds[s] -> holds[s] = true; renewed = renewed && s == 1;
#ifndef NO_GRACE
     grace[s] = true
#endif
  :: (s) == 0 && holds[0] && renewed -> renewed = false;
#ifndef NO_NEW_GRACE
     grace[s] = true; forget(s)
#endif
  :: else
  fi
}

inline present(r, s) {
  directed[r] = s;
#ifndef NO_ADOPTION
  if :: has_permit(r) -> report[at(s, r)] = true :: else fi
#endif
}

/* A report of the end, which may be lost. */
inline finish(s, r) {
  if
  :: acts(s) -> queued[at(s, r)] = false; counted[at(s, r)] = false
  :: skip
  fi
}

proctype Scheduler(byte s) {
  byte i;
end:
  do
  :: atomic { holds[s] && acts(s) && grace[s] && grace_may_end(s) && !(s == 0 && renewed) -> grace[s] = false }
  :: atomic { s == 0 && holds[0] && acts(0) && renewed -> begin(0) }
  :: atomic { s == 1 && view != right -> view = right; if :: view == 0 && holds[1] -> forget(1); holds[1] = false; grace[1] = false :: else fi }
  od
}

/* What passes between one entry and one scheduler. */
proctype Link(byte s; byte r) {
  byte i;
end:
  do
  :: atomic { acts(s) && pending(r) && directed[r] == s && !queued[at(s, r)] && !grant[at(s, r)] &&
       (state[r] == WAITING || counted[at(s, r)]) ->
       begin(s);                                 /* an offer, or its repetition, perhaps late */
       if
       :: counted[at(s, r)] -> grant[at(s, r)] = true
       :: else -> queued[at(s, r)] = true
       fi
     }
  :: atomic { report[at(s, r)] && (s == 1 || !paused) ->
       report[at(s, r)] = false;
       if :: acts(s) -> begin(s); queued[at(s, r)] = false; counted[at(s, r)] = true :: else fi
     }
  :: atomic { holds[s] && acts(s) && !grace[s] && !(s == 0 && renewed) && queued[at(s, r)] && has_slot(s) ->
       queued[at(s, r)] = false; counted[at(s, r)] = true; grant[at(s, r)] = true
     }
  :: atomic { grant[at(s, r)] -> grant[at(s, r)] = false }
  :: atomic { report[at(s, r)] -> report[at(s, r)] = false }
  :: atomic { acts(s) && has_permit(r) && directed[r] == s && !counted[at(s, r)] && !report[at(s, r)] ->
       begin(s); present(r, s)                   /* a heartbeat names it, and it is asked for */
     }
  /* Granted, and not at the entry: taken back after twice the validity, or when the entry is silent. */
  :: atomic { acts(s) && counted[at(s, r)] && !has_permit(r) && !grant[at(s, r)] ->
       counted[at(s, r)] = false
     }
  od
}

proctype Entry(byte r) {
  byte seen = 0;               /* scheduler by this entry's view */
  byte s = 0;
  bool late = false;

end:
  do
  :: atomic { seen != right -> seen = right;
#ifndef NO_REDIRECT
       if :: pending(r) && directed[r] != seen -> present(r, seen) :: else fi
#endif
     }
  :: atomic { grant[at(0, r)] || grant[at(1, r)] ->
       if :: grant[at(0, r)] -> s = 0 :: grant[at(1, r)] -> s = 1 fi;
       grant[at(s, r)] = false;
       if
       :: !pending(r) || (directed[r] != s && may_withdraw(r)) -> finish(s, r)
       :: pending(r) && directed[r] == s && state[r] == WAITING -> state[r] = PERMITTED
#ifdef USE_TWICE
       :: pending(r) && directed[r] == s && state[r] == RUNNING -> state[r] = PERMITTED; running--
#endif
       :: else
       fi;
       s = 0
     }
  :: atomic { state[r] == PERMITTED ->
       state[r] = RUNNING; dispatches[r]++; running++;
       assert(dispatches[r] <= 1); assert(running <= BOUND)
     }
  :: atomic { state[r] == PERMITTED ->          /* the validity has passed: not run, answered */
       state[r] = ENDED; finish(directed[r], r);
#ifdef NO_VALIDITY
       late = true
#endif
     }
#ifdef NO_VALIDITY
  :: atomic { late -> late = false; running++; assert(running <= BOUND); running-- }
#endif
  :: atomic { state[r] == RUNNING -> running--; state[r] = ENDED; finish(directed[r], r) }
  od
}

/* When nothing more can happen, each request has been dispatched or answered. */
proctype Answered() {
  timeout -> assert(!pending(0) && !pending(1) && !pending(REQUESTS - 1))
}

proctype Fault() {
  byte i;
  if
  :: atomic { alive = false; holds[0] = false; grace[0] = false;
       forget(0) };
     right = 1
#if defined(WAKE) || defined(TIMELY)
  :: paused = true;
     atomic { standing = false; right = 1 };      /* standing ends before others see it dead */
     paused = false;
     atomic { standing = true; renewed = true; right = 0 }
#endif
  :: paused = true; atomic { standing = false; right = 1 }; paused = false
  :: atomic { stopping = true; right = 1; forget(0); holds[0] = false; grace[0] = false }
  :: skip
  fi
}

init {
  byte r;
  atomic {
    holds[0] = true;
    for (r : 0 .. REQUESTS - 1) { run Entry(r); run Link(0, r); run Link(1, r) };
    run Scheduler(0); run Scheduler(1); run Fault(); run Answered(); r = 0
  }
}
