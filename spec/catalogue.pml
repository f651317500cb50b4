/* Variants: LONG WIDE
   Mutants: LONG+OVERWRITE LONG+ANY_VERSION LONG+SKIPPED_VERSION LONG+LOST_IS_REFUSED LONG+ABSENT_IS_REFUSED LONG+READ_AT_START_ONLY
   Distribution of the catalogue: two operators edit it through instances. Each version is a row in
   the platform's table; instances read the rows, a snapshot, and messages of their peers. */

/* Failures in the model: writes that are lost, late or unanswered, stale reads, outages of the
   platform, lost messages, network partitions between instances, and restarts of instances. A stale
   read, an outage, a lost message and a partition are modelled by steps that are not taken: the
   search includes every run in which they are not.

   Guarantees checked: the version in force at an instance never decreases while its process runs,
   and its contents equal the rows of the table (check_version). At the end, an accepted change is
   stored as the version that the operator was told, a refused change is not stored, and every
   accepted version is in force at every instance (FinalCheck).

   Variants: LONG has two instances and three versions, WIDE three instances and two versions.

   Faults that the mutants add:
   OVERWRITE           an insertion replaces an existing row.
   ANY_VERSION         an instance replaces its catalogue by an older one.
   SKIPPED_VERSION     an instance applies a change without the versions before it.
   LOST_IS_REFUSED     the operator is told "refused" after the last attempt, although an attempt
                       without an answer may have taken effect.
   ABSENT_IS_REFUSED   the operator is told "refused" while an attempt without an answer may still
                       take effect.
   READ_AT_START_ONLY  an instance polls the table only until it has once found no further version,
                       which may have been a stale read. */

#ifdef WIDE
#define INSTANCES 3
#define VERSIONS 2
#else
#define INSTANCES 2
#define VERSIONS 3
#endif
#define MAX_RESTARTS 1        /* of all instances together */
#define VERSION_SLOTS 4       /* length of arrays by version: 0, the empty catalogue, to 3 */
#define CHANGES 4             /* changes are numbered from 1; 0 stands for no change */
#define SNAPSHOT_VERSION 2    /* version at which a snapshot is stored */
#define MAX_ATTEMPTS 2        /* of an operator's change */
#define change_in_force(instance, slot) in_force[(instance) * VERSION_SLOTS + (slot)]

byte row_change[VERSION_SLOTS] = 0;    /* by version: change in the table's row; 0 if none */
byte snapshot[VERSION_SLOTS] = 0;      /* by version: change in the object store's snapshot */
byte snapshot_version = 0;             /* 0 if there is no snapshot */
byte in_force[12] = 0;                 /* by instance and version: change in force */
byte version[INSTANCES] = 0;           /* version in force */
byte highest_version[INSTANCES] = 0;   /* highest version in force since the process started */
bool read_to_end[INSTANCES] = false;   /* a poll since the start found no further version */
byte receiver = INSTANCES;             /* of the one message in flight; INSTANCES if there is none */
byte message[VERSION_SLOTS] = 0;       /* by version: change in the message */
byte message_first = 0;                /* lowest version in the message */
byte message_last = 0;                 /* highest version in the message */
bool message_is_snapshot = false;      /* it replaces the catalogue; otherwise it holds a change */
byte late_version = 0;                 /* row of a write that has yet to take effect; 0 if none */
byte late_change = 0;                  /* change in that write */
byte accepted_version[5] = 0;          /* by change: version that the operator was told; 0 if none */
bool refused[5] = false;               /* by change: the operator was told that it is not stored */
byte editor[2] = INSTANCES;            /* by operator: instance in use; INSTANCES if none */
bool editor_restarted[2] = false;      /* by operator: that instance restarted during the change */
byte restarts = 0;

inline insert_row(new_version, new_change) {
#ifdef OVERWRITE
  row_change[new_version] = new_change
#else
  if :: row_change[new_version] == 0 -> row_change[new_version] = new_change :: else fi
#endif
}

/* Checks the version in force, independently of the conditions under which it was applied. */
inline check_version(instance) {
  assert(version[instance] >= highest_version[instance]);   /* never decreases */
  highest_version[instance] = version[instance];
  /* The last two versions in force are those of the table: none is different or missing. */
  assert(change_in_force(instance, version[instance]) == row_change[version[instance]]);
  assert(version[instance] < 2 ||
    change_in_force(instance, version[instance] - 1) == row_change[version[instance] - 1])
}

/* Applies a change if it is the next version, and stores a snapshot at SNAPSHOT_VERSION. */
inline apply_change(instance, new_version, new_change) {
  if
#ifdef SKIPPED_VERSION
  :: new_version > version[instance] ->
#else
  :: new_version == version[instance] + 1 ->
#endif
     change_in_force(instance, new_version) = new_change; version[instance] = new_version;
     check_version(instance);
     if
     :: new_version == SNAPSHOT_VERSION && snapshot_version < new_version ->
        snapshot_version = new_version;
        snapshot[1] = change_in_force(instance, 1); snapshot[2] = change_in_force(instance, 2)
     :: else
     fi
  :: else
  fi
}

/* Replaces the catalogue by that in the message if the latter is newer. */
inline replace_catalogue(instance) {
  if
#ifdef ANY_VERSION
  :: true ->
#else
  :: message_last > version[instance] ->
#endif
     change_in_force(instance, 1) = message[1]; change_in_force(instance, 2) = message[2];
     change_in_force(instance, 3) = message[3];
     version[instance] = message_last; check_version(instance)
  :: else
  fi
}

inline clear_message() {
  receiver = INSTANCES; message_first = 0; message_last = 0; message_is_snapshot = false;
  message[1] = 0; message[2] = 0; message[3] = 0
}

/* The local variable next_version of Instance is the loop variable here and in send_message. */
inline receive_message(instance) {
  if
  :: message_is_snapshot -> replace_catalogue(instance)
  :: else ->
     next_version = message_first;
     do
     :: next_version <= message_last ->
        apply_change(instance, next_version, message[next_version]); next_version++
     :: else -> break
     od;
     next_version = 0
  fi;
  clear_message()
}

/* A peer sends its newest change or its whole catalogue. */
inline send_message(to, from) {
  receiver = to;
  if
  :: message_first = version[from]
  :: message_first = 1; message_is_snapshot = true
  fi;
  message_last = version[from];
  next_version = message_first;
  do
  :: next_version <= message_last ->
     message[next_version] = change_in_force(from, next_version); next_version++
  :: else -> break
  od;
  next_version = 0
}

#ifdef READ_AT_START_ONLY
#define may_poll(instance) (!read_to_end[instance])
#else
#define may_poll(instance) true
#endif

inline restart(instance) {
  restarts++; version[instance] = 0; highest_version[instance] = 0; read_to_end[instance] = false;
  change_in_force(instance, 1) = 0; change_in_force(instance, 2) = 0;
  change_in_force(instance, 3) = 0;
  if :: receiver == instance -> clear_message() :: else fi;
  editor_restarted[0] = editor_restarted[0] || editor[0] == instance;
  editor_restarted[1] = editor_restarted[1] || editor[1] == instance
}

/* FinalCheck runs only after all restarts. A restart before any change has no effect, so runs
   without a restart are covered too. */
proctype Instance(byte self) {
  byte next_version;
end:
  do
  :: atomic { restarts < MAX_RESTARTS -> restart(self) }
  :: atomic { receiver == self -> receive_message(self) }
  :: atomic {                                   /* polls the table */
       may_poll(self) && version[self] < VERSIONS && row_change[version[self] + 1] != 0 ->
       next_version = version[self] + 1; apply_change(self, next_version, row_change[next_version]);
       next_version = 0
     }
#ifdef READ_AT_START_ONLY
  :: atomic {                                   /* finds no further row, perhaps by a stale read */
       !read_to_end[self] -> read_to_end[self] = true
     }
#endif
  :: atomic {                                   /* reads the snapshot after the start */
       receiver == INSTANCES && version[self] == 0 && snapshot_version != 0 ->
       receiver = self; message_first = 1; message_last = snapshot_version;
       message_is_snapshot = true; message[1] = snapshot[1]; message[2] = snapshot[2]
     }
  :: atomic { receiver == INSTANCES && version[0] > version[self] -> send_message(self, 0) }
  :: atomic { receiver == INSTANCES && version[1] > version[self] -> send_message(self, 1) }
#ifdef WIDE
  :: atomic { receiver == INSTANCES && version[2] > version[self] -> send_message(self, 2) }
#endif
  od
}

/* A write takes effect after the instance that sent it has stopped waiting for the answer. */
proctype LateWrite() {
end:
  do
  :: atomic {
       late_version != 0 ->
       insert_row(late_version, late_change); late_version = 0; late_change = 0
     }
  od
}

#ifdef LOST_IS_REFUSED
#define end_attempts() refused[change] = true
#else
#define end_attempts() skip    /* the change is neither accepted nor refused */
#endif

/* Reads the row of the version after an answered write, applies it, and answers the operator. */
inline record_result(instance) {
  apply_change(instance, target_version, row_change[target_version]);
  if
  :: row_change[target_version] == change -> accepted_version[change] = target_version
  :: else -> refused[change] = true
  fi
}

/* An operator makes each change at any instance, which retries the insertion of the row until the
   result is known, the attempts are used up or it restarts. */
proctype Operator(byte self; byte changes) {
  byte chosen; byte change; byte target_version; byte attempts; byte changes_made = 0;
  bool outcome_unknown;        /* an attempt was not answered; it may take effect */
  do
  :: changes_made == changes -> break
  :: atomic { changes_made < changes ->
       if                      /* instances are interchangeable: the first change is made at 0 */
       :: self == 0 && changes_made == 0 -> chosen = 0
       :: else -> select(chosen : 0 .. INSTANCES - 1)
       fi;
       editor[self] = chosen; editor_restarted[self] = false;
       target_version = version[chosen] + 1; chosen = 0;
       changes_made++; change = changes_made * 2 - 1 + self
     };
     do
     :: target_version > VERSIONS || editor_restarted[self] -> break
     :: atomic {
          attempts == MAX_ATTEMPTS && !editor_restarted[self] && target_version <= VERSIONS ->
          end_attempts(); break
        }
     :: atomic {
          attempts < MAX_ATTEMPTS && !editor_restarted[self] && target_version <= VERSIONS ->
          attempts++;
          if
          /* The write is answered. */
          :: true -> insert_row(target_version, change); record_result(editor[self]); break
          /* It takes effect, but its answer is lost. */
          :: true -> insert_row(target_version, change); outcome_unknown = true
          /* It is not answered, and takes effect late. */
          :: late_version == 0 ->
             late_version = target_version; late_change = change; outcome_unknown = true
          /* The platform rejects it, and no earlier attempt can take effect. */
          :: !outcome_unknown -> refused[change] = true; break
          /* The platform rejects it, but an earlier attempt may take effect. */
          :: outcome_unknown
          fi
        }
#ifdef ABSENT_IS_REFUSED
     :: atomic { outcome_unknown && !editor_restarted[self] -> refused[change] = true; break }
#endif
     od;
     atomic {
       editor[self] = INSTANCES; editor_restarted[self] = false; change = 0; target_version = 0;
       attempts = 0; outcome_unknown = false
     }
  od
}

/* Checks the answers to the operators when no process can take a step any more. */
proctype FinalCheck() {
  byte change; byte table_version; byte instance;
  timeout ->
  d_step {
    change = 1;
    do
    :: change <= CHANGES ->
       /* An accepted change is stored as the version that the operator was told. */
       assert(accepted_version[change] == 0 || row_change[accepted_version[change]] == change);
       table_version = 1;
       do
       :: table_version <= VERSIONS ->
          /* A refused change is not stored as any version. */
          assert(!refused[change] || row_change[table_version] != change); table_version++
       :: else -> break
       od;
       instance = 0;
       do
       :: instance < INSTANCES ->
          /* Every accepted version is in force at every instance. */
          assert(version[instance] >= accepted_version[change]); instance++
       :: else -> break
       od;
       change++
    :: else -> break
    od
  }
}

init {
  atomic {
    run Instance(0); run Instance(1);
#ifdef WIDE
    run Instance(2);
#endif
    run Operator(0, VERSIONS - 1); run Operator(1, 1);
    run LateWrite(); run FinalCheck()
  }
}
