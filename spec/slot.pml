/* Variants: LATE_WRITES TWO_RESTORES
   Mutants: LATE_WRITES+ANY_ERA LATE_WRITES+TAKE_BACK LATE_WRITES+BOUNDED TWO_RESTORES+NO_WAIT
   Lease of a slot of quotas in a store that is restored from older copies: versions go back and are
   assigned again, and each restore starts an era. Two instances take the slot by compare-and-set. */

/* Failures in the model: restores of any earlier state that was saved, writes that are applied late
   or whose response is lost, pauses (a process may take no step for any number of ticks), and an
   instance that starts again.

   Guarantees checked: two processes never grant at the same time; a process that restores a record
   knows a bound on all grants before, as no grant was made under a later record (establish).

   Variants, which keep the search short: in LATE_WRITES the store is restored once and writes of the
   first instance may be applied late; in TWO_RESTORES it is restored twice, the first instance may
   start again, and writes are applied at once or never.

   Faults that the mutants add:
   ANY_ERA      a confirmation in another era than that of the version counts.
   TAKE_BACK    an instance takes back at once what a record of an earlier era says it held.
   BOUNDED      a record of an earlier era counts as a bound on the grants.
   NO_WAIT      a released or absent row of an earlier era is taken at once. */

#define LEASE_DURATION 1
#define LAST_TICK 3
#define MAX_WRITES 4
#ifdef TWO_RESTORES
#define LAST_ERA 3
#else
#define LAST_ERA 2
#endif
#define FIRST_ERA 1
#define NONE 255
#define other (1 - self)

byte now = 0;
byte era = FIRST_ERA;
byte store_version = 0;
byte row_version = 0;           /* 0 while the row is absent */
byte row_holder = NONE;         /* NONE if absent or released */
byte row_era = FIRST_ERA;       /* era that the record states */
byte row_id = 0;                /* number of the record, never assigned again */
byte copy_store_version = 0;    /* the copy that a restore brings back */
byte copy_version = 0;
byte copy_holder = NONE;
byte copy_era = FIRST_ERA;
byte copy_id = 0;
byte latest_id = 0;
byte granted_id = 0;            /* latest record under which a grant was made */
bool can_grant[2] = false;
byte lease_end[2] = 0;
byte confirmed_era[2] = 0;
byte newest_era[2] = 0;
bool is_restarted = false;

proctype Clock() {
  do
  :: now < LAST_TICK -> now++
  :: now >= LAST_TICK -> break
  od
}

proctype Store() {
end:
  do
  :: atomic {
       copy_id != row_id ->
       copy_store_version = store_version; copy_version = row_version; copy_holder = row_holder;
       copy_era = row_era; copy_id = row_id
     }
  :: atomic {
       era < LAST_ERA ->
       era++; store_version = copy_store_version; row_version = copy_version;
       row_holder = copy_holder; row_era = copy_era; row_id = copy_id
     }
  od
}

#ifdef ANY_ERA
#define is_confirmed true
#else
#define is_confirmed (era == version_era)
#endif
#ifdef TAKE_BACK
#define may_take_back true
#else
#define may_take_back (observed_era == version_era)
#endif
#ifdef NO_WAIT
#define may_take_released true
#else
#define may_take_released is_bounded
#endif
#ifdef BOUNDED
#define is_record_bounded true
#else
#define is_record_bounded \
  (observed_era == version_era && (observed_id != 0 || version_era == FIRST_ERA))
#endif
#define is_granting(who) \
  (can_grant[who] && confirmed_era[who] == newest_era[who] && now < lease_end[who])

/* Applies a write if its condition holds now, whatever era it was sent in. */
inline apply(condition, holder, stated_era, id) {
  if
  :: row_version == condition ->
     store_version++; row_version = store_version; row_holder = holder; row_era = stated_era;
     row_id = id; is_applied = true
  :: else -> is_applied = false
  fi
}

/* Drops what is no longer used, so that equal states are recognized. */
inline forget() {
  can_grant[self] = false; is_observed = false; version = 0; version_era = 0; seen_since = 0;
  observed_holder = NONE; observed_era = 0; observed_id = 0; is_bounded = false;
  confirmed_id = 0; lease_end[self] = 0; confirmed_era[self] = 0
}

/* What was observed bounds all grants before it, or the whole slot counts as granted. */
inline establish() {
  if
  :: can_grant[self] -> skip
  :: !can_grant[self] && is_bounded -> assert(granted_id <= observed_id)
  :: else
  fi
}

proctype Instance(byte self) {
  byte version = 0;
  byte version_era = 0;
  bool is_observed = false;
  byte seen_since = 0;
  byte observed_holder = NONE;
  byte observed_era = 0;
  byte observed_id = 0;
  bool is_bounded = false;
  bool is_applied = false;
  byte sent_tick = 0;
  bool is_sent = false;          /* a write is in flight whose response is awaited: */
  byte sent_id = 0;
  byte confirmed_id = 0;
  byte late_condition = NONE;    /* condition of a write in flight whose response was lost */
  byte late_era = 0;
  byte late_id = 0;

  do
  :: now >= LAST_TICK -> break
  :: atomic {                                            /* reads the row */
       now < LAST_TICK && !is_sent && (version_era != era || version != row_version) ->
       newest_era[self] = era;
       if
       :: can_grant[self] && version_era != era ->
          if
          :: now < lease_end[self] && !(row_era == era && row_holder != self) ->
             version = row_version; version_era = era
          :: else -> forget()
          fi
       :: else
       fi;
       if
       :: !can_grant[self] && (!is_observed || version != row_version || version_era != era) ->
          is_observed = true; version = row_version; version_era = era; seen_since = now;
          observed_holder = row_holder; observed_era = row_era; observed_id = row_id
       :: else
       fi;
       is_bounded = is_record_bounded
     }
  :: atomic {                                            /* sends a write */
       now < LAST_TICK && !is_sent && latest_id < MAX_WRITES && version_era == newest_era[self] &&
         ((can_grant[self] && (confirmed_era[self] == version_era || now < lease_end[self])) ||
          (!can_grant[self] && is_observed &&
             ((observed_holder == NONE && may_take_released) ||
              (observed_holder == self && may_take_back) ||
              now >= seen_since + LEASE_DURATION))) ->
       is_sent = true; sent_tick = now; latest_id++; sent_id = latest_id
     }
  :: atomic {                                            /* the write is applied and confirmed */
       is_sent ->
       is_sent = false;
       apply(version, self, version_era, sent_id);
       newest_era[self] = era;
       if
       :: is_applied && is_confirmed ->
          establish();
          forget();
          can_grant[self] = true; confirmed_id = sent_id; version = row_version; version_era = era;
          confirmed_era[self] = era; lease_end[self] = sent_tick + LEASE_DURATION
       :: is_applied && !is_confirmed ->
          forget()
       :: !is_applied && era != version_era && !can_grant[self] -> forget()
       :: !is_applied && era != version_era && can_grant[self] -> skip
       :: !is_applied && era == version_era ->
          if
          :: can_grant[self] && row_holder == self && row_era == era -> version = row_version
          :: else -> forget()
          fi
       fi;
       sent_id = 0; sent_tick = 0; is_applied = false
     }
  :: atomic {                                            /* its response is lost; it may come late */
       is_sent && late_condition == NONE ->
       is_sent = false;
#ifdef LATE_WRITES
       if
       :: self == 0 -> late_condition = version; late_era = version_era; late_id = sent_id
       :: else
       fi;
#endif
       sent_id = 0; sent_tick = 0
     }
  :: atomic {
       late_condition != NONE ->
       apply(late_condition, self, late_era, late_id);
       late_condition = NONE; late_era = 0; late_id = 0; is_applied = false
     }
#ifdef TWO_RESTORES
  :: atomic {                                            /* the next process of the instance */
       now < LAST_TICK && self == 0 && !is_restarted && !is_sent ->
       is_restarted = true; forget(); newest_era[self] = era
     }
#endif
  :: atomic {                                            /* grants */
       is_granting(self) && granted_id < confirmed_id ->
       assert(!is_granting(other));
       granted_id = confirmed_id
     }
  od
}

init {
  atomic { run Clock(); run Store(); run Instance(0); run Instance(1) }
}
