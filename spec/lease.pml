/* Variants: CHECKS IGNORES
   Mutants: IGNORES+NO_STOP IGNORES+NO_WAIT IGNORES+EARLY_COUNT CHECKS+NO_STOP+NO_FENCING
   Lease with fencing: two instances acquire a lease in the platform's table by compare-and-set, and
   the holder sends orders with its fencing number to an endpoint. */

/* Failures in the model: writes that are lost or not answered, late answers, and pauses: a process
   may take no step for any number of ticks.

   Guarantee checked: the endpoint executes no order of an earlier holder after one of a later holder
   (receive_order).

   Variants: in CHECKS the endpoint rejects fencing numbers lower than the highest it has seen, in
   IGNORES it executes every order.

   Faults that the mutants add:
   NO_STOP      a holder sends orders also after its lease has expired.
   NO_WAIT      a takeover waits for the lease duration only, not for orders in flight.
   EARLY_COUNT  a holder counts the lease duration from the answer to its write instead of from the
                read before it, so that the lease ends too late.
   NO_FENCING   the endpoint of CHECKS does not check fencing numbers. */

/* Times and durations are in ticks of the Clock process. */
#define LEASE_DURATION 2
#define CLOCK_MARGIN 0          /* clocks run at the same rate in this model */
#define MAX_ORDER_DURATION 1
#define LAST_TICK 7
#ifdef NO_WAIT
#define TAKEOVER_WAIT LEASE_DURATION
#else
#define TAKEOVER_WAIT (LEASE_DURATION + MAX_ORDER_DURATION)
#endif
#ifdef NO_STOP
#define may_send_order(end) true
#else
#define may_send_order(end) (now < end)
#endif

#ifdef CHECKS
#ifdef NO_FENCING
#define rejects_order(sender) false
#else
#define rejects_order(sender) (order_fencing[sender] < executed_fencing)
#endif
#else
#define rejects_order(sender) false
#endif
#define is_order_due(sender) (order_fencing[sender] != 0 && order_deadline[sender] <= now)

byte now = 0;
byte row_version = 0;           /* row of the lease: version, changed by each write, */
byte row_holder = 255;          /* holder, 255 if none, */
byte row_fencing = 0;           /* and fencing number, which grows with each holder */
byte executed_fencing = 0;      /* fencing number of the last order that the endpoint executed */
byte order_fencing[2] = 0;      /* by instance: number of its order in flight; 0 if none */
byte order_deadline[2] = 0;     /* by instance: latest arrival of that order */

/* Time does not pass while an order is in flight that has reached its deadline. */
proctype Clock() {
  do
  :: atomic {
       now < LAST_TICK && !is_order_due(0) && !is_order_due(1) -> now++
     }
  :: now >= LAST_TICK -> break
  od
}

inline receive_order(sender) {
  if
  :: rejects_order(sender) -> skip
  :: else ->
     assert(order_fencing[sender] >= executed_fencing);   /* none of a later holder came before */
     executed_fencing = order_fencing[sender]
  fi;
  order_fencing[sender] = 0
}

/* The endpoint receives an order at any time until its deadline. */
proctype Endpoint() {
end:
  do
  :: atomic { order_fencing[0] != 0 -> receive_order(0) }
  :: atomic { order_fencing[1] != 0 -> receive_order(1) }
  od
}

proctype Instance(byte self) {
  byte lease_end = 0;          /* first tick at which it may send no more orders, by its clock */
  byte own_fencing = 0;        /* fencing number of its lease; 0 if it never held the lease */
  byte seen_version = 255;     /* version of the row in its last read; 255 before the first */
  byte seen_since = 0;         /* tick at which it first read that version */
  byte read_at = 0;            /* tick of its last read */
  byte won_fencing = 0;        /* fencing number that its last write stored; 0 if without effect */
  byte read_version = 0;       /* row in its last read */
  byte read_holder = 255;
  byte read_fencing = 0;

  do
  :: now >= LAST_TICK -> break
  :: atomic {                                            /* reads the row, once per tick */
       now < LAST_TICK && (read_at != now || seen_version == 255) ->
       read_version = row_version; read_holder = row_holder; read_fencing = row_fencing;
       if :: seen_version != read_version -> seen_version = read_version; seen_since = now :: else fi;
       read_at = now
     };
     won_fencing = 0;
     atomic {                                            /* acquires or renews by compare-and-set */
       if
       :: read_version == row_version &&
            (read_holder == self || read_holder == 255 || read_at >= seen_since + TAKEOVER_WAIT) ->
          if :: row_holder != self -> row_fencing = read_fencing + 1 :: else fi;
          row_holder = self; row_version++; won_fencing = row_fencing
       :: else
       fi
     };
     if
     :: atomic {                                         /* the answer arrives, perhaps late */
          won_fencing != 0 -> own_fencing = won_fencing;
#ifdef EARLY_COUNT
          lease_end = now + LEASE_DURATION
#else
          lease_end = read_at + LEASE_DURATION - CLOCK_MARGIN
#endif
        }
     :: skip                                             /* no effect, or the answer is lost */
     fi
  :: atomic {                                            /* sends an order */
       now < LAST_TICK && order_fencing[self] == 0 && own_fencing != 0 &&
         may_send_order(lease_end) ->
       order_fencing[self] = own_fencing; order_deadline[self] = now + MAX_ORDER_DURATION
     }
  od
}

init {
  atomic {
    run Clock(); run Endpoint(); run Instance(0); run Instance(1)
  }
}
