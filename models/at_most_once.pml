/* A keyed request that two agents may both be asked to run: its caller sends it again, to the
 * other agent, after a loss, a death or a pause. The claim is created once in the platform's
 * service; its answer may be lost; the platform forgets it after KEPT steps of time; an agent may
 * pause or die between any two steps. Callers repeat a request within HORIZON. Looking at the clock
 * and sending count as one step: docs/PROOFS.md says what that leaves out.
 * Property: the request runs at most once.
 *
 * Guards, each of which can be switched off to see the bug that it prevents:
 *   NO_CLAIM     run without asking for a claim
 *   NO_CLOCK     act upon a claim whatever the time that passed
 *   NO_ARRIVAL   count that time from the claim instead of the request's arrival
 *   NO_IDENTITY  after a lost answer, take any claim that exists for one's own
 */
#define AGENTS 2
#define HORIZON 1
#define USABLE 1
#define KEPT 3
#define NOBODY 255

byte owner = NOBODY;   /* who holds the claim in the platform's service */
byte age = 0;          /* of that claim */
byte runs = 0;         /* how often the backend server ran the request */
byte held[AGENTS];     /* time that each agent's own clock counts */
byte step = 0;         /* time since the caller first sent the request */

inline run_once() {
  runs++;
  assert(runs <= 1);
}

proctype Agent(byte me) {
  bool ours = false;
  atomic {                              /* the request arrives, or it never does */
    if
    :: step <= HORIZON -> held[me] = 0
    :: goto done
    fi
  };
#ifdef NO_CLAIM
  ours = true;
#else
  atomic {                              /* compare-and-swap: create if it does not exist */
#ifdef NO_ARRIVAL
    held[me] = 0;
#endif
    if
    :: owner == NOBODY -> owner = me; age = 0; ours = true
    :: else -> skip
    fi
  };
  if
  :: skip                               /* the answer arrives */
  :: ours = false;                      /* the answer is lost: read back */
     atomic {
#ifdef NO_IDENTITY
       ours = (owner != NOBODY)
#else
       ours = (owner == me)
#endif
     }
  :: goto done                          /* the agent dies here */
  fi;
#endif
  /* a pause may fall here: other processes take any number of steps */
  atomic {
    if
#ifdef NO_CLOCK
    :: ours -> run_once()
    :: else -> skip
#else
    :: ours && held[me] <= USABLE -> run_once()
    :: else -> skip
#endif
    fi
  }
done: skip
}

/* Time passes, on the platform and on every agent's own clock alike. */
active proctype Clock() {
  do
  :: step < 6 ->
     atomic {
       step++;
       age++;
       held[0]++;
       held[1]++;
       if
       :: owner != NOBODY && age >= KEPT -> owner = NOBODY
       :: else -> skip
       fi
     }
  :: step == 6 -> break
  od
}

init {
  atomic { run Agent(0); run Agent(1) }
}
