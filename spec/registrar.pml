/* Mutants: NO_WITNESS NO_ASK NO_LOSS_COUNT
   Claims of one key at its registrar: witness, take-over after crashes, pauses, restarts, views that
   differ. Instances are ranked 0, 1, 2; calls come from entries outside the domain. */

#define N 3
#define CALLS 2
#define NONE 255
#define sees(i, j) view[(i) * N + (j)]
#define runs(i) (alive[i] && !paused[i])
#define same(r) (runs(r) && life[r] == mine)
#define gone(r) (!alive[r] || life[r] != mine)
#define first(i) ((i) == 0 || ((i) == 1 && !sees(1, 0)) || ((i) == 2 && !sees(2, 0) && !sees(2, 1)))

#define alone(i) (((i) == 0 || !sees(i, 0)) && ((i) == 1 || !sees(i, 1)) && ((i) == 2 || !sees(i, 2)))
#define has_standing(i) standing[i]
#ifdef NO_STANDING
#undef has_standing
#define has_standing(i) true
#endif

bool alive[N] = true;
bool paused[N] = false;
bool standing[N] = true;
bool covered[N] = true;      /* was a member when any claim that matters was made */
bool must_ask[N] = false;    /* became registrar after the key may have been claimed */
bool view[9] = true;         /* who sees whom as alive */
bool lost[9] = false;        /* who knows of whose loss */
byte record[N] = NONE;       /* call that is known to hold the key */
byte left_to[N] = NONE;      /* registrar to which the key was left */
byte life[N] = 0;            /* counts restarts and regained standings */
byte dispatches = 0;
byte faults = 0;

#define outranked(i, r) (left_to[i] != NONE && left_to[i] != (r) && left_to[i] < (r) && sees(i, left_to[i]))

inline see_dead(i, j) {
  if
  :: first(i) -> skip
  :: else ->
     sees(i, j) = false;
     if :: first(i) -> must_ask[i] = true :: else fi
  fi;
  sees(i, j) = false; lost[(i) * N + (j)] = true
}

proctype Faults() {
  byte j; byte i;
  do
  :: faults < 2 ->
     atomic {
       select(j : 0 .. N - 1);
       if
       :: runs(j) -> faults++; if :: alive[j] = false :: paused[j] = true fi
       :: else
       fi;
       i = 0; j = 0
     }
  :: atomic {                                    /* one member finds another dead */
       select(i : 0 .. N - 1); select(j : 0 .. N - 1);
       if
       :: i != j && runs(i) && sees(i, j) && !runs(j) -> standing[j] = false; see_dead(i, j)
       :: else
       fi;
       i = 0; j = 0
     }
  :: atomic {                                    /* a paused process runs again */
       select(j : 0 .. N - 1);
       if :: alive[j] && paused[j] -> paused[j] = false :: else fi;
       i = 0; j = 0
     }
  :: atomic {                                    /* a round of heartbeats is answered */
       select(j : 0 .. N - 1);
       if
       :: runs(j) && !standing[j] ->
          must_ask[j] = true; covered[j] = false; left_to[j] = NONE; standing[j] = true; life[j]++;
          for (i : 0 .. N - 1) {
            if
            :: i != j && runs(i) ->
               sees(i, j) = true; lost[i * N + j] = false; sees(j, i) = true; lost[j * N + i] = false
            :: else
            fi
          }
       :: else
       fi;
       i = 0; j = 0
     }
  :: atomic {                                    /* a crashed process is started anew, empty */
       select(j : 0 .. N - 1);
       if
       :: !alive[j] ->
          alive[j] = true; life[j]++; paused[j] = false; standing[j] = true; covered[j] = false;
          must_ask[j] = true; record[j] = NONE; left_to[j] = NONE;
          for (i : 0 .. N - 1) {
            lost[j * N + i] = false; sees(j, i) = (i == j || runs(i));
            if :: i != j && runs(i) -> lost[i * N + j] = true; sees(i, j) = true :: else fi
          }
       :: else
       fi;
       i = 0; j = 0
     }
  :: break
  od
}

proctype Call(byte c) {
  byte r; byte mine; byte j; byte w; byte losses; bool known; bool cover; bool unseen[N];

  select(r : 0 .. N - 1);
  atomic {                                       /* the registrar takes the claim */
    if
    :: runs(r) && has_standing(r) && first(r) && left_to[r] == NONE && record[r] == NONE ->
       record[r] = c; mine = life[r]
    :: else -> goto refused
    fi
  };
#ifndef NO_ASK
  if
  :: must_ask[r] ->
     cover = covered[r]; j = 0;
     do
     :: j < N && j != r ->
        if
        :: atomic { same(r) && sees(r, j) && runs(j) ->           /* a member tells what it knows */
             if :: record[j] != NONE && record[j] != c -> known = true :: else fi;
             left_to[j] = r; cover = cover || covered[j];
             for (w : 0 .. N - 1) { unseen[w] = unseen[w] || lost[j * N + w] || (sees(j, w) && !sees(r, w)) }
           }
        :: atomic { same(r) && !sees(r, j) -> unseen[j] = true }  /* it is dead, or not known */
#ifdef NO_WAIT_FOR_SILENT
        :: atomic { same(r) && sees(r, j) && !runs(j) -> skip }
#endif
        :: gone(r) -> goto refused
        fi;
        j++
     :: j < N && j == r -> unseen[r] = unseen[r] || false; j++
     :: j >= N -> break
     od;
     losses = 0;
     for (w : 0 .. N - 1) { if :: unseen[w] || lost[r * N + w] -> losses++ :: else fi };
     if
     :: known -> goto undo
#ifndef NO_LOSS_COUNT
     :: !known && losses >= 2 -> goto undo       /* told unknown */
#endif
#ifndef NO_COVERAGE
     :: !known && losses == 1 && !cover -> goto undo
#endif
     :: else
     fi
  :: else
  fi;
#endif
#ifndef NO_WITNESS
  w = 0;
  do
  :: w < N && (w == r || !sees(r, w)) -> w++
  :: w < N && w != r && sees(r, w) ->
     if
     :: atomic { same(r) && runs(w) ->
          if
          :: outranked(w, r) || (record[w] != NONE && record[w] != c) -> goto undo
          :: else -> record[w] = c; break
          fi
        }
     :: same(r) && !runs(w) -> w++               /* no answer in time: the next one */
     :: gone(r) -> goto refused
     fi
  :: w >= N ->
     if
     :: alone(r) -> break
     :: else -> goto undo
     fi
  od;
#endif
  atomic {
    if
    :: same(r) && first(r) && has_standing(r) && left_to[r] == NONE -> skip
    :: else -> goto undo
    fi
  };
  /* The answer may arrive at any later time. */
  atomic { dispatches++; assert(dispatches <= 1) };
  goto refused;
undo:
  atomic { if :: life[r] == mine && record[r] == c -> record[r] = NONE :: else fi };
refused:
  atomic { r = 0; j = 0; w = 0; losses = 0; known = false; cover = false; unseen[0] = false; unseen[1] = false; unseen[2] = false }
}

init {
  atomic { run Faults(); run Call(0); run Call(1); }
}
