/* Rows of a team in a durable topic: conditional appends that are lost, late or unanswered, ceilings, tokens moved between instances
 * and returned to the pool, deaths, and new lives that take over the row of an earlier one.
 *
 * A row bounds what its writer and all its earlier lives use of their grant. What is used may fall below nothing where an instance took more
 * than it spent; a row of such a grant returns the rest. Time is left out: a ceiling is any figure between use and grant.
 *
 * Mutations (-D): M_CONDITION, M_PENDING, M_RETURNED, M_DEBIT, M_CEILING, M_INHERIT.
 */
#define INSTANCES 2
#define TOTAL 2
#define MAXOFFSET 4
#define MAXDEATHS 2
#define MAXMOVES 2
#define NONE 255

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define OTHER(h) (1 - (h))

/* The topic: the newest row of each instance, and its end. */
short granted[INSTANCES];
short ceiling[INSTANCES];
byte writer[INSTANCES];
byte tail;

/* Appends on their way, which may be executed at any later time while the topic still ends where they expect. */
bool flying[INSTANCES];
short flyGranted[INSTANCES];
short flyCeiling[INSTANCES];
byte flyAt[INSTANCES];
byte flyLife[INSTANCES];

/* The present life of each instance; lives count from one, so that the empty row belongs to none. */
byte life[INSTANCES] = 1;
bool held[INSTANCES];
short heldGranted[INSTANCES];
short heldCeiling[INSTANCES];
bool pending[INSTANCES];
short pendGranted[INSTANCES];
short pendCeiling[INSTANCES];
byte pendAt[INSTANCES];
short earlier[INSTANCES];
bool inherited[INSTANCES];
short used[INSTANCES];

byte deaths;
byte moves;
/* All that callers were given, by all lives. */
byte spent;

#ifdef M_RETURNED
#define OWN(h) (held[h] -> MIN(heldGranted[h], heldCeiling[h]) : 0)
#else
#define OWN(h) (held[h] -> MIN(heldGranted[h], heldCeiling[h]) : earlier[h])
#endif
#ifdef M_PENDING
#define LIMIT(h) OWN(h)
#else
#define LIMIT(h) (pending[h] -> MIN(OWN(h), MIN(pendGranted[h], pendCeiling[h])) : OWN(h))
#endif

/* Reads the topic to its end: an append that is not in it by now, behind a later one, never will be. */
inline read(h) {
  if
  :: pending[h] && tail > pendAt[h] -> pending[h] = false
  :: else
  fi;
  if
  :: writer[h] == life[h] -> held[h] = true; heldGranted[h] = granted[h]; heldCeiling[h] = ceiling[h]
  :: else
  fi
}

#ifdef M_CEILING
#define TAKEN(h) (MIN(granted[h], ceiling[h]) - 1)
#else
#define TAKEN(h) MIN(granted[h], ceiling[h])
#endif

/* Takes over the row of an earlier life as used up to its ceiling; a greater one may still arrive. */
inline inherit(h) {
  if
#ifndef M_INHERIT
  :: !held[h] && writer[h] != 0 && writer[h] != life[h] && (!inherited[h] || TAKEN(h) > earlier[h]) ->
       used[h] = used[h] - earlier[h] + TAKEN(h); earlier[h] = TAKEN(h); inherited[h] = true
#endif
  :: else
  fi
}

proctype Instance(byte h) {
  short next;
  short most;
end:
  do
  /* Builds a row from the topic as it is and sends it; the grant is anything that fits, the ceiling anything between. */
  :: atomic { !pending[h] && !flying[h] && tail < MAXOFFSET ->
       read(h); inherit(h);
       most = MAX(used[h], TOTAL - granted[OTHER(h)]);
       next = used[h];
       do
       :: next < most -> next++
       :: break
       od;
       pendGranted[h] = next;
       pendCeiling[h] = used[h];
       do
       :: pendCeiling[h] < next -> pendCeiling[h]++
       :: break
       od;
       pending[h] = true; pendAt[h] = tail;
       flying[h] = true; flyGranted[h] = pendGranted[h]; flyCeiling[h] = pendCeiling[h]; flyAt[h] = tail; flyLife[h] = life[h];
       next = 0; most = 0 }
  :: atomic { pending[h] && tail > pendAt[h] -> read(h) }
  /* A request. */
  :: atomic { used[h] + 1 <= LIMIT(h) -> used[h]++; spent++; assert(spent <= TOTAL) }
  /* Tokens go to the other instance, or are lost on the way. */
  :: atomic { moves < MAXMOVES && used[h] + 1 <= LIMIT(h) ->
       moves++;
#ifndef M_DEBIT
       used[h]++;
#endif
       if
       :: used[OTHER(h)]--
       :: skip
       fi }
  /* The process dies and starts again; what it has sent may still arrive. */
  :: atomic { deaths < MAXDEATHS ->
       deaths++; life[h]++; held[h] = false; heldGranted[h] = 0; heldCeiling[h] = 0; pending[h] = false; pendGranted[h] = 0;
       pendCeiling[h] = 0; pendAt[h] = 0; earlier[h] = 0; inherited[h] = false; used[h] = 0 }
  od
}

proctype Store() {
  byte h;
end:
  do
  :: atomic { flying[0] -> h = 0; goto arrive }
  :: atomic { flying[1] -> h = 1; goto arrive }
  od;
arrive:
  atomic {
    flying[h] = false;
    if
#ifdef M_CONDITION
    :: true ->
#else
    :: flyAt[h] == tail ->
#endif
         granted[h] = flyGranted[h]; ceiling[h] = flyCeiling[h]; writer[h] = flyLife[h]; tail++;
         /* The answer may be lost; then the row stays pending until it is read. */
         if
         :: flyLife[h] == life[h] && pending[h] ->
              held[h] = true; heldGranted[h] = granted[h]; heldCeiling[h] = ceiling[h]; pending[h] = false
         :: skip
         fi
    :: else ->
         /* A conflict, if its answer arrives. */
         if
         :: flyLife[h] == life[h] && pending[h] -> pending[h] = false
         :: skip
         fi
    fi;
    flyGranted[h] = 0; flyCeiling[h] = 0; flyAt[h] = 0; flyLife[h] = 0; h = 0
  }
  goto end
}

init {
  atomic { run Instance(0); run Instance(1); run Store() }
}
