/* Non-idempotent requests: an intent per key, dispatch only after it was read back as the first, lost and repeated
 * appends, crashes, closing, retries on another instance, and refusals as not run.
 *
 * Mutations (-D): M_READBACK, M_FIRST, M_ORPHAN, M_RELEASE, M_VERDICT.
 */
#define INSTANCES 2
#define NONE 255

mtype = { absent, opened, done, orphaned };

/* The fold of one key. */
mtype phase = absent;
byte owner = NONE;
bool openInc[INSTANCES] = true;

bool dead[INSTANCES];
/* Copies of each instance's intent that may still take effect. */
byte copies[INSTANCES];
bool asked[INSTANCES];
/* The caller was told that the instance will not run the request. */
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
  /* The class timeout passes before the intent was read back. */
#ifdef M_VERDICT
  :: atomic { !dead[h] && asked[h] && !refused[h] -> refused[h] = true }
#else
  :: atomic { !dead[h] && asked[h] && !dispatched[h] && !refused[h] -> refused[h] = true }
#endif
  /* An intent that is accepted after the refusal is released, and only then. */
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
  /* A batch has one sequence number, so that only its first copy counts. */
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
