/* At-most-once execution of a non-idempotent request that several instances receive with the same idempotency key.
 *
 * Each instance appends an intent for the key and dispatches the request only after it has read the log and its own
 * intent was the first. Modeled are lost and repeated appends, crashes, closing of dead incarnations, retries on the
 * other instance, and refusals that promise that the instance will not run the request.
 *
 * Checked: the request runs at most once, and no instance dispatches a request that it refused.
 *
 * Mutations (-D): M_READBACK, M_FIRST, M_ORPHAN, M_RELEASE, M_VERDICT.
 */
#define INSTANCES 2
#define NONE 255

mtype = { absent, opened, done, orphaned };

/* The state of the key in the log. */
mtype phase = absent;
byte owner = NONE;
bool openInc[INSTANCES] = true;

bool dead[INSTANCES];
/* Copies of each instance's intent that may still reach the log. */
byte copies[INSTANCES];
bool asked[INSTANCES];
/* The instance answered its caller that it will not run the request. */
bool refused[INSTANCES];
bool dispatched[INSTANCES];
bool released[INSTANCES];
byte runs;

proctype Instance(byte h) {
end:
  do
  :: atomic { !dead[h] && !asked[h] && phase == absent -> asked[h] = true; copies[h] = 2 }
#ifdef M_READBACK
  :: atomic { !dead[h] && asked[h] && !dispatched[h] && !refused[h] -> dispatched[h] = true; runs++ }
#else
#ifdef M_FIRST
  :: atomic { !dead[h] && asked[h] && !dispatched[h] && !refused[h] && phase != absent -> dispatched[h] = true; runs++ }
#else
  :: atomic { !dead[h] && asked[h] && !dispatched[h] && !refused[h] && phase == opened && owner == h && openInc[h] ->
       dispatched[h] = true; runs++ }
#endif
#endif
  :: atomic { !dead[h] && dispatched[h] && phase == opened && owner == h && openInc[h] -> phase = done }
  /* The timeout of the request class passes before the intent is read back from the log: the instance refuses the request. */
#ifdef M_VERDICT
  :: atomic { !dead[h] && asked[h] && !refused[h] -> refused[h] = true }
#else
  :: atomic { !dead[h] && asked[h] && !dispatched[h] && !refused[h] -> refused[h] = true }
#endif
  /* Releases the key if the intent is accepted after the instance refused the request, and in no other case. */
#ifdef M_RELEASE
  :: atomic { !dead[h] && phase == opened && owner == h && openInc[h] -> phase = absent; owner = NONE }
#else
  :: atomic { !dead[h] && refused[h] && phase == opened && owner == h && openInc[h] && !released[h] ->
       released[h] = true; phase = absent; owner = NONE }
#endif
  :: atomic { !dead[h] -> dead[h] = true }
  :: dead[h] -> break
  od
}

proctype Network() {
end:
  do
  /* Both copies carry the same sequence number, so only the first one takes effect. */
  :: atomic { copies[0] == 2 -> copies[0] = 1; if :: openInc[0] && phase == absent -> phase = opened; owner = 0 :: else fi }
  :: atomic { copies[1] == 2 -> copies[1] = 1; if :: openInc[1] && phase == absent -> phase = opened; owner = 1 :: else fi }
  :: atomic { copies[0] == 1 -> copies[0] = 0 }
  :: atomic { copies[1] == 1 -> copies[1] = 0 }
#ifdef M_ORPHAN
  :: atomic { dead[0] && openInc[0] -> openInc[0] = false; if :: phase == opened && owner == 0 -> phase = absent; owner = NONE :: else fi }
  :: atomic { dead[1] && openInc[1] -> openInc[1] = false; if :: phase == opened && owner == 1 -> phase = absent; owner = NONE :: else fi }
#else
  :: atomic { dead[0] && openInc[0] -> openInc[0] = false; if :: phase == opened && owner == 0 -> phase = orphaned :: else fi }
  :: atomic { dead[1] && openInc[1] -> openInc[1] = false; if :: phase == opened && owner == 1 -> phase = orphaned :: else fi }
#endif
  od
}

#define SAFE (runs <= 1 && !(refused[0] && dispatched[0]) && !(refused[1] && dispatched[1]))

active proctype Monitor() {
end:
  atomic { !SAFE -> assert(false) }
}

init { atomic { run Instance(0); run Instance(1); run Network() } }
