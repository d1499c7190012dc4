/* The rows of one team in a durable topic: each instance writes a row with its grant and its ceiling and spends within
 * them.
 *
 * Modeled are conditional appends that are lost, late or unanswered, tokens lent between instances and returned to the
 * pool, crashes, and restarted instances that take over the row of an earlier incarnation.
 *
 * A row limits the tokens used by the incarnation that wrote it and by all earlier incarnations of the instance. The use
 * is negative if an instance received more tokens from the other one than it used; a row with such a grant returns the
 * rest to the pool. Time is left out: a ceiling is any number between the use and the grant.
 *
 * Either instance may lower the other's grant to its ceiling, as is done with the grants of silent instances.
 *
 * Checked: all incarnations of all instances together never spend more than the total.
 *
 * Mutations (-D): M_CONDITION, M_PENDING, M_RETURNED, M_DEBIT, M_CEILING, M_INHERIT, M_LOWER.
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

/* Appends in flight. One may be executed at any later time, provided that the topic still ends where it expects. */
bool flying[INSTANCES];
short flyGranted[INSTANCES];
short flyCeiling[INSTANCES];
byte flyAt[INSTANCES];
byte flyLife[INSTANCES];

/* The current incarnation of each instance, counted from one: a row that was never written belongs to none (zero). */
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
/* The tokens spent for callers by all incarnations. */
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

/* Reads the topic to its end. If the topic has grown beyond the expected end of a pending append, that append was either
 * executed or never will be, because its condition no longer holds. */
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

/* Counts the row of an earlier incarnation as used up to its ceiling; a row of it with a higher ceiling may still arrive. */
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
  /* Builds a row from the current topic and sends it, with any grant that fits and any ceiling from the use to the grant. */
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
  /* A request uses one token. */
  :: atomic { used[h] + 1 <= LIMIT(h) -> used[h]++; spent++; assert(spent <= TOTAL) }
  /* One token is lent to the other instance, or lost on the way. */
  :: atomic { moves < MAXMOVES && used[h] + 1 <= LIMIT(h) ->
       moves++;
#ifndef M_DEBIT
       used[h]++;
#endif
       if
       :: used[OTHER(h)]--
       :: skip
       fi }
  /* Lowers the grant of the other instance, by the row in its stead, to what that one can use without a further row. */
  :: atomic { writer[OTHER(h)] != 0 && granted[OTHER(h)] > ceiling[OTHER(h)] && tail < MAXOFFSET ->
#ifdef M_LOWER
       granted[OTHER(h)] = ceiling[OTHER(h)] - 1;
#else
       granted[OTHER(h)] = ceiling[OTHER(h)];
#endif
       tail++ }
  /* The process crashes and restarts as a new incarnation; an append in flight may still be executed. */
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
         /* The response may be lost; the row is then pending until the instance reads the topic. */
         if
         :: flyLife[h] == life[h] && pending[h] ->
              held[h] = true; heldGranted[h] = granted[h]; heldCeiling[h] = ceiling[h]; pending[h] = false
         :: skip
         fi
    :: else ->
         /* The append is refused as a conflict; the response may be lost here too. */
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
