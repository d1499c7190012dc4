/* Change tickets: the ticket with the greatest number determines an object, and of several tickets with the same number
 * only the first in the log is accepted; a ticket is applied as a whole or not at all.
 *
 * Two operators append three tickets for two objects concurrently; two of the tickets have the same number. Tickets may
 * be appended in any order and more than once. Two replicas read the log independently, and one that lags behind may
 * load the checkpoint of the other.
 *
 * Checked: both rules hold, and replicas that have read the same entries have the same objects.
 *
 * Mutations (-D): M_NEWEST, M_NUMBER, M_CHECKPOINT.
 */
#define TICKETS 3
#define OBJECTS 2
#define LOGSIZE 5
#define NUMBERS 3

/* Ticket t has number num[t] and sets object o to value t+1 where touches[t*OBJECTS+o]. */
byte num[TICKETS];
bool touches[6];
byte log[LOGSIZE];
byte next;

typedef Replica {
  byte at;
  byte number[OBJECTS];
  byte value[OBJECTS];
  bool seen[NUMBERS];
  /* For each number, the accepted ticket plus one, or zero. */
  byte winner[NUMBERS];
};
Replica re[2];

inline fold(r, t) {
#ifdef M_NUMBER
  if
  :: true ->
#else
  if
  :: !re[r].seen[num[t]] ->
#endif
     assert(re[r].winner[num[t]] == 0 || re[r].winner[num[t]] == t + 1);
     re[r].seen[num[t]] = true;
     re[r].winner[num[t]] = t + 1;
     set(r, t, 0); set(r, t, 1)
  :: else -> skip
  fi
}

inline set(r, t, o) {
#ifdef M_NEWEST
  if
  :: touches[t * OBJECTS + o] ->
#else
  if
  :: touches[t * OBJECTS + o] && num[t] > re[r].number[o] ->
#endif
     assert(num[t] >= re[r].number[o]);
     assert(!(num[t] == re[r].number[o] && re[r].value[o] != t + 1));
     re[r].number[o] = num[t]; re[r].value[o] = t + 1
  :: else -> skip
  fi
}

proctype Operator(byte first, last) {
  byte t;
  byte tries = 0;
end:
  do
  :: atomic { next < LOGSIZE && tries < 3 ->
       t = first; if :: t = first :: t = last fi;
       log[next] = t; next++; tries++ }
  :: tries == 3 -> break
  :: next == LOGSIZE -> break
  od
}

proctype Reader(byte r) {
end:
  do
  :: atomic { re[r].at < next -> fold(r, log[re[r].at]); re[r].at++ }
  /* A replica that lags behind loads a checkpoint of the other one. */
  :: atomic { re[r].at < re[1 - r].at ->
#ifndef M_CHECKPOINT
       re[r].seen[0] = re[1 - r].seen[0]; re[r].seen[1] = re[1 - r].seen[1]; re[r].seen[2] = re[1 - r].seen[2];
#endif
       re[r].winner[1] = re[1 - r].winner[1]; re[r].winner[2] = re[1 - r].winner[2];
       re[r].number[0] = re[1 - r].number[0]; re[r].number[1] = re[1 - r].number[1];
       re[r].value[0] = re[1 - r].value[0]; re[r].value[1] = re[1 - r].value[1];
       re[r].at = re[1 - r].at }
  od
}

#define EQUAL (re[0].at != re[1].at || \
  (re[0].value[0] == re[1].value[0] && re[0].value[1] == re[1].value[1]))

active proctype Monitor() {
end:
  atomic { !EQUAL -> assert(false) }
}

init {
  atomic {
    /* Ticket 0 (number 1) sets both objects; tickets 1 and 2 (both number 2) set one each, and the later one is rejected. */
    num[0] = 1; num[1] = 2; num[2] = 2;
    touches[0] = true; touches[1] = true; touches[2] = true; touches[5] = true;
    run Operator(0, 1); run Operator(0, 2); run Reader(0); run Reader(1)
  }
}
