/* Variants: LONG WIDE
   Mutants: LONG+OVERWRITE LONG+ANY_VERSION LONG+SKIPPED_VERSION LONG+LOST_IS_REFUSED LONG+ABSENT_IS_REFUSED LONG+READ_AT_START_ONLY
   Catalogue spread: two operators, lost and late writes, stale reads, lost messages, restarts, cuts.
   A stale read, an outage, a lost message and a cut are steps that are not taken: the search covers
   every run in which they are not. LONG has two instances and three versions, WIDE three and two. */

#ifdef WIDE
#define N 3
#define VERSIONS 2
#else
#define N 2
#define VERSIONS 3
#endif
#define MAX_RESTARTS 1
#define WIDTH 4               /* versions and the empty version 0 */
#define CHANGES 4             /* numbered from 1; 0 stands for none */
#define SNAPSHOT_VERSION 2
#define MAX_ATTEMPTS 2
#define content(i, v) in_force[(i) * WIDTH + (v)]

byte row[WIDTH] = 0;          /* change that made a version */
byte snapshot[WIDTH] = 0;     /* changes in the snapshot of the object store */
byte snapshot_version = 0;
byte in_force[12] = 0;        /* changes in force at each instance */
byte version[N] = 0;          /* version in force */
byte highest[N] = 0;          /* highest version in force since the start of the process */
bool read_to_end[N] = false;  /* has found no further version since the start */
byte receiver = N;            /* of the one message on its way; N if there is none */
byte message[WIDTH] = 0;      /* changes in the message */
byte first = 0;               /* lowest version in the message */
byte last = 0;                /* highest version in the message */
bool whole = false;           /* whether the message is a snapshot */
byte late = 0;                /* version that a write may yet make */
byte late_change = 0;
byte accepted[5] = 0;         /* version that an operator was told of its change */
bool refused[5] = false;      /* whether the operator was told that it was not accepted */
byte editor[2] = N;           /* instance that each operator uses */
bool broken[2] = false;       /* whether it has restarted since the change was made */
byte restarts = 0;

inline insert(v, c) {
#ifdef OVERWRITE
  row[v] = c
#else
  if :: row[v] == 0 -> row[v] = c :: else fi
#endif
}

/* What is in force is checked without regard to the guards. */
inline check(i) {
  assert(version[i] >= highest[i]);
  highest[i] = version[i];
  assert(content(i, version[i]) == row[version[i]]);
  assert(version[i] < 2 || content(i, version[i] - 1) == row[version[i] - 1])
}

inline apply(i, v, c) {
  if
#ifdef SKIPPED_VERSION
  :: v > version[i] ->
#else
  :: v == version[i] + 1 ->
#endif
     content(i, v) = c; version[i] = v; check(i);
     if
     :: v == SNAPSHOT_VERSION && snapshot_version < v ->
        snapshot_version = v; snapshot[1] = content(i, 1); snapshot[2] = content(i, 2)
     :: else
     fi
  :: else
  fi
}

inline replace(i) {
  if
#ifdef ANY_VERSION
  :: true ->
#else
  :: last > version[i] ->
#endif
     content(i, 1) = message[1]; content(i, 2) = message[2]; content(i, 3) = message[3];
     version[i] = last; check(i)
  :: else
  fi
}

inline clear_message() {
  receiver = N; first = 0; last = 0; whole = false;
  message[1] = 0; message[2] = 0; message[3] = 0
}

inline take_message(i) {
  if
  :: whole -> replace(i)
  :: else ->
     k = first;
     do
     :: k <= last -> apply(i, k, message[k]); k++
     :: else -> break
     od;
     k = 0
  fi;
  clear_message()
}

/* A peer sends its newest change or its whole catalogue. */
inline send_from_peer(i, j) {
  receiver = i;
  if
  :: first = version[j]
  :: first = 1; whole = true
  fi;
  last = version[j];
  k = first;
  do
  :: k <= last -> message[k] = content(j, k); k++
  :: else -> break
  od;
  k = 0
}

#ifdef READ_AT_START_ONLY
#define may_poll(i) (!read_to_end[i])
#else
#define may_poll(i) true
#endif

inline restart(i) {
  restarts++; version[i] = 0; highest[i] = 0; read_to_end[i] = false;
  content(i, 1) = 0; content(i, 2) = 0; content(i, 3) = 0;
  if :: receiver == i -> clear_message() :: else fi;
  broken[0] = broken[0] || editor[0] == i;
  broken[1] = broken[1] || editor[1] == i
}

/* Every run uses up its restarts; one before any change has no effect. */
proctype Instance(byte i) {
  byte k;
end:
  do
  :: atomic { restarts < MAX_RESTARTS -> restart(i) }
  :: atomic { receiver == i -> take_message(i) }
  :: atomic {                                                              /* poll */
       may_poll(i) && version[i] < VERSIONS && row[version[i] + 1] != 0 ->
       k = version[i] + 1; apply(i, k, row[k]); k = 0
     }
#ifdef READ_AT_START_ONLY
  :: atomic {
       !read_to_end[i] -> read_to_end[i] = true                            /* a stale read */
     }
#endif
  :: atomic {                                                              /* snapshot at the start */
       receiver == N && version[i] == 0 && snapshot_version != 0 ->
       receiver = i; first = 1; last = snapshot_version; whole = true;
       message[1] = snapshot[1]; message[2] = snapshot[2]
     }
  :: atomic { receiver == N && version[0] > version[i] -> send_from_peer(i, 0) }
  :: atomic { receiver == N && version[1] > version[i] -> send_from_peer(i, 1) }
#ifdef WIDE
  :: atomic { receiver == N && version[2] > version[i] -> send_from_peer(i, 2) }
#endif
  od
}

/* Writes that take effect after their writer has stopped to wait for them. */
proctype Platform() {
end:
  do
  :: atomic { late != 0 -> insert(late, late_change); late = 0; late_change = 0 }
  od
}

#ifdef LOST_IS_REFUSED
#define give_up() refused[change] = true
#else
#define give_up() skip
#endif

inline note_answer(i) {
  apply(i, wanted, row[wanted]);
  if
  :: row[wanted] == change -> accepted[change] = wanted
  :: else -> refused[change] = true
  fi
}

/* An operator makes changes at any instance, which inserts the row until the result is known. */
proctype Operator(byte me; byte changes) {
  byte i; byte change; byte wanted; byte attempts; byte made = 0;
  bool doubtful;
  do
  :: made == changes -> break
  :: atomic { made < changes ->
       if                                       /* instances are alike: the first change is at 0 */
       :: me == 0 && made == 0 -> i = 0
       :: else -> select(i : 0 .. N - 1)
       fi;
       editor[me] = i; broken[me] = false; wanted = version[i] + 1; i = 0;
       made++; change = made * 2 - 1 + me
     };
     do
     :: wanted > VERSIONS || broken[me] -> break
     :: atomic { attempts == MAX_ATTEMPTS && !broken[me] && wanted <= VERSIONS -> give_up(); break }
     :: atomic { attempts < MAX_ATTEMPTS && !broken[me] && wanted <= VERSIONS ->
          attempts++;
          if
          :: true -> insert(wanted, change); note_answer(editor[me]); break
          :: true -> insert(wanted, change); doubtful = true                    /* answer lost */
          :: late == 0 -> late = wanted; late_change = change; doubtful = true
          :: !doubtful -> refused[change] = true; break                 /* rejected, without effect */
          :: doubtful                                                   /* rejected after doubt */
          fi
        }
#ifdef ABSENT_IS_REFUSED
     :: atomic { doubtful && !broken[me] -> refused[change] = true; break }
#endif
     od;
     atomic { editor[me] = N; broken[me] = false; change = 0; wanted = 0; attempts = 0; doubtful = false }
  od
}

/* When nothing moves any more, what operators were told is in force everywhere. */
proctype Monitor() {
  byte c; byte v; byte i;
  timeout ->
  d_step {
    c = 1;
    do
    :: c <= CHANGES ->
       assert(accepted[c] == 0 || row[accepted[c]] == c);
       v = 1;
       do
       :: v <= VERSIONS -> assert(!refused[c] || row[v] != c); v++
       :: else -> break
       od;
       i = 0;
       do
       :: i < N -> assert(version[i] >= accepted[c]); i++
       :: else -> break
       od;
       c++
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
    run Platform(); run Monitor()
  }
}
