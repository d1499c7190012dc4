/* Budget escrow over the log: two holders spend from one prepaid budget within their grants and ceilings.
 *
 * Modeled are grants, returns, ceilings that rise with time, closing of dead holders, top-ups, and batches that are
 * lost, late or repeated. The log is represented by the state of the ledger: a batch takes effect when a copy of it is
 * applied. Time is counted in ticks. A holder measures time from when it built its last batch; the closer measures from
 * when the anchor of that batch was appended, which is never later, so that its bound is never too small.
 *
 * Checked: no more than the prepaid total is ever granted, the holders together never spend more than the total after the
 * top-up, and what a closed holder spent never exceeds what was counted for it.
 *
 * Mutations (-D): M_CEILING, M_INFLIGHT, M_RETURN, M_SEQUENCE, M_ELAPSED, M_PROOF, M_PAUSE, M_OVERGRANT, M_CLOCK.
 */
#define HOLDERS 2
#define PREPAID 2
#define TOPPED 3
#define DELAY 1
#define MAXTICK 3
#define MAXSEQ 3
#define MAXSPEND 4

/* The state of the ledger. */
byte prepaid = PREPAID;
byte granted[HOLDERS];
byte settled[HOLDERS];
byte base[HOLDERS];
byte foldSeq[HOLDERS];
bool open[HOLDERS] = true;
byte closedSpend;
/* Ticks since the anchor of the newest accepted batch was appended. */
byte sinceAnchor[HOLDERS];

/* The state of each holder. */
bool dead[HOLDERS];
byte spent[HOLDERS];
byte checked[HOLDERS];
byte mySeq[HOLDERS];
byte acceptedSeq[HOLDERS];
byte myGrant[HOLDERS];
byte myBase[HOLDERS];
byte sentBase[HOLDERS];
byte sentReturn[HOLDERS];
byte sentSettled[HOLDERS];
byte sentClaim[HOLDERS];
byte sinceBuild[HOLDERS];
/* Ticks since the anchor of the batch in flight was appended. */
byte sinceSentAnchor[HOLDERS];
byte ticks;

#define CEIL(b, t) ((b) + ((t) > DELAY -> (t) - DELAY : 0))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define TAKEN (closedSpend + (open[0] -> granted[0] : 0) + granted[1])
#define FREE() (TAKEN < prepaid -> prepaid - TAKEN : 0)

#ifdef M_RETURN
#define USABLE(h) (myGrant[h])
#else
#define USABLE(h) (mySeq[h] > acceptedSeq[h] -> (myGrant[h] >= sentReturn[h] -> myGrant[h] - sentReturn[h] : 0) : myGrant[h])
#endif
#ifdef M_CLOCK
#define SILENCE(h) (sinceBuild[h] + 1)
#else
#define SILENCE(h) (sinceBuild[h])
#endif
#ifdef M_INFLIGHT
#define CEILING(h) CEIL(myBase[h], SILENCE(h))
#else
#define CEILING(h) (mySeq[h] > acceptedSeq[h] -> MIN(CEIL(myBase[h], SILENCE(h)), CEIL(sentBase[h], SILENCE(h))) : CEIL(myBase[h], SILENCE(h)))
#endif
#ifdef M_CEILING
#define LIMIT(h) USABLE(h)
#else
#define LIMIT(h) MIN(USABLE(h), CEILING(h))
#endif

inline apply(h) {
  /* Applies a copy of the newest batch; its sequence number lets it take effect only once. */
  if
#ifdef M_SEQUENCE
  :: open[h] ->
#else
  :: open[h] && foldSeq[h] + 1 == mySeq[h] ->
#endif
     foldSeq[h] = mySeq[h];
     settled[h] = MAX(settled[h], sentSettled[h]);
     base[h] = sentBase[h];
     granted[h] = granted[h] - MIN(sentReturn[h], granted[h] - MIN(settled[h], granted[h]));
#ifdef M_OVERGRANT
     granted[h] = granted[h] + sentClaim[h];
#else
     granted[h] = granted[h] + MIN(sentClaim[h], FREE());
#endif
     sinceAnchor[h] = sinceSentAnchor[h];
  :: else -> skip
  fi
}

inline close(h) {
  /* Counts as spent what the ceiling allows at the time bound, up to the grant, but no less than what was settled. */
#ifdef M_ELAPSED
  closedSpend = closedSpend + MAX(settled[h], MIN(granted[h], base[h]));
#else
  closedSpend = closedSpend + MAX(settled[h], MIN(granted[h], CEIL(base[h], sinceAnchor[h])));
#endif
  open[h] = false;
}

/* Holds in every state: what an open holder has spent or reserved lies within its grant, and for a closed holder within
 * what was counted as spent. */
#define ATRISK(h) (spent[h] + checked[h])
#define SAFE (ATRISK(0) + ATRISK(1) <= TOPPED && \
  (!open[0] || ATRISK(0) <= granted[0]) && ATRISK(1) <= granted[1] && \
  (open[0] || ATRISK(0) <= closedSpend))
#define GRANTSAFE (TAKEN <= prepaid)

proctype Holder(byte h) {
end:
  do
  :: !dead[h] && mySeq[h] == acceptedSeq[h] && mySeq[h] < MAXSEQ ->
     /* Builds a batch. The holder's time restarts; the anchor was appended now or one tick earlier. */
     atomic {
       !dead[h] && mySeq[h] == acceptedSeq[h] && mySeq[h] < MAXSEQ ->
       mySeq[h]++;
       sinceBuild[h] = 0;
       if
       :: sinceSentAnchor[h] = 0
       :: sinceSentAnchor[h] = 1
       fi;
       sentSettled[h] = spent[h];
       if
       :: sentBase[h] = ATRISK(h)
       :: sentBase[h] = ATRISK(h) + 1
       fi;
       sentClaim[h] = 0; sentReturn[h] = 0;
       if
       :: sentClaim[h] = 1
       :: sentClaim[h] = 2
       :: myGrant[h] > ATRISK(h) -> sentReturn[h] = 1
       :: skip
       fi
     }
  :: atomic { !dead[h] && mySeq[h] > acceptedSeq[h] && foldSeq[h] == mySeq[h] && open[h] ->
       /* Reads its batch back from the log. */
       acceptedSeq[h] = mySeq[h]; myBase[h] = sentBase[h]; myGrant[h] = granted[h] }
#ifdef M_PAUSE
  :: atomic { !dead[h] && ATRISK(h) < MAXSPEND && spent[h] + 1 <= LIMIT(h) -> skip };
     atomic { !dead[h] -> checked[h]++ }
#else
  :: atomic { !dead[h] && ATRISK(h) < MAXSPEND && ATRISK(h) + 1 <= LIMIT(h) -> checked[h]++ }
#endif
  :: atomic { !dead[h] && checked[h] > 0 -> checked[h]--; spent[h]++ }
  :: atomic { !dead[h] && checked[h] > 0 -> checked[h]-- }
  :: atomic { !dead[h] -> dead[h] = true }
  :: dead[h] -> break
  od
}

proctype Network() {
end:
  do
  :: atomic { mySeq[0] > 0 -> apply(0) }
  :: atomic { ticks < MAXTICK -> ticks++;
       sinceBuild[0]++; sinceAnchor[0]++; sinceSentAnchor[0]++ }
  :: atomic { prepaid < TOPPED -> prepaid = TOPPED }
  od
}

proctype Closer() {
end:
  do
#ifdef M_PROOF
  :: atomic { open[0] -> close(0) }
#else
  :: atomic { open[0] && dead[0] -> close(0) }
#endif
  od
}

/* The other holder claims all free tokens and spends them at once. */
proctype Other() {
end:
  do
  :: atomic { FREE() > 0 -> granted[1]++; spent[1]++ }
  od
}

active proctype Monitor() {
end:
  atomic { !(SAFE && GRANTSAFE) -> assert(false) }
}

init {
  atomic { run Holder(0); run Other(); run Network(); run Closer() }
}
