/* Variants: CHECKS IGNORES
   Mutants: IGNORES+NO_STOP IGNORES+NO_WAIT IGNORES+EARLY_COUNT CHECKS+NO_STOP+NO_FENCING
   Lease with fencing: two holders, an endpoint that checks numbers or ignores them, lost answers.
   A process may take no step for any number of ticks, which is a pause. */

#define DURATION 2
#define MARGIN 0          /* clocks run at the same rate here */
#define LONGEST_ORDER 1
#define END 7
#ifdef NO_WAIT
#define WAIT DURATION
#else
#define WAIT (DURATION + LONGEST_ORDER)
#endif
#ifdef NO_STOP
#define may_act(until) true
#else
#define may_act(until) (now < until)
#endif

#ifdef CHECKS
#ifdef NO_FENCING
#define refuses(i) false
#else
#define refuses(i) (in_flight[i] < highest)
#endif
#else
#define refuses(i) false
#endif
#define overdue(i) (in_flight[i] != 0 && in_flight_end[i] <= now)

byte now = 0;
byte version = 0;
byte holder = 255;       /* row: holder and fencing number */
byte fencing = 0;
byte highest = 0;        /* number of the newest order that the endpoint took */
byte in_flight[2] = 0;   /* number of an order under way; 0 if none */
byte in_flight_end[2] = 0;

/* Time passes only if no order would take longer than the longest order. */
proctype Clock() {
  do
  :: atomic {
       now < END && !overdue(0) && !overdue(1) -> now++
     }
  :: now >= END -> break
  od
}

inline take(i) {
  if
  :: refuses(i) -> skip
  :: else ->
     assert(in_flight[i] >= highest);   /* no order follows one of a later holder */
     highest = in_flight[i]
  fi;
  in_flight[i] = 0
}

/* The endpoint takes an order at any time within the longest order. */
proctype Endpoint() {
end:
  do
  :: atomic { in_flight[0] != 0 -> take(0) }
  :: atomic { in_flight[1] != 0 -> take(1) }
  od
}

proctype Instance(byte me) {
  byte until = 0;          /* own clock: may act before this tick */
  byte mine = 0;           /* own fencing number */
  byte seen = 255;         /* version seen, and since when */
  byte seen_at = 0;
  byte sent = 0;
  byte won = 0;
  byte read_version = 0;
  byte read_holder = 255;
  byte read_fencing = 0;

  do
  :: now >= END -> break
  :: atomic { now < END && (sent != now || seen == 255) ->    /* look, once a tick */
       read_version = version; read_holder = holder; read_fencing = fencing;
       if :: seen != read_version -> seen = read_version; seen_at = now :: else fi;
       sent = now
     };
     won = 0;
     atomic {                                                 /* write, by compare-and-set */
       if
       :: read_version == version && (read_holder == me || read_holder == 255 || sent >= seen_at + WAIT) ->
          if :: holder != me -> fencing = read_fencing + 1 :: else fi;
          holder = me; version++; won = fencing
       :: else
       fi
     };
     if
     :: atomic { won != 0 -> mine = won;                       /* answered, perhaps late */
#ifdef EARLY_COUNT
          until = now + DURATION
#else
          until = sent + DURATION - MARGIN
#endif
        }
     :: skip                                                  /* lost, answer lost */
     fi
  :: atomic { now < END && in_flight[me] == 0 && mine != 0 && may_act(until) ->
       in_flight[me] = mine; in_flight_end[me] = now + LONGEST_ORDER
     }
  od
}

init {
  atomic {
    run Clock(); run Endpoint(); run Instance(0); run Instance(1)
  }
}
