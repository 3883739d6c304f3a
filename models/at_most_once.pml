/* A keyed request that two agents may both receive: its caller retries at the other agent after a
 * loss, a crash or a pause. An agent creates the claim once in the platform's store. The answer to
 * that call may be lost, the store deletes the claim after CLAIM_RETENTION time steps, and an agent
 * may pause or crash between any two steps. Callers retry within RETRY_WINDOW. Reading the clock
 * and sending count as one step; docs/PROOFS.md says what the model therefore leaves out.
 * Property: the request runs at most once.
 *
 * Guards that can be disabled to show the bug that each prevents:
 *   NO_CLAIM     run the request without a claim
 *   NO_CLOCK     run the request with a claim of any age
 *   NO_ARRIVAL   measure that age from the claim instead of the arrival of the request
 *   NO_IDENTITY  after a lost answer, treat any existing claim as one's own
 */
#define AGENTS 2
#define RETRY_WINDOW 1
#define CLAIM_VALIDITY 1
#define CLAIM_RETENTION 3
#define NO_OWNER 255

byte owner = NO_OWNER; /* agent that holds the claim in the platform's store */
byte age = 0;          /* time since the claim was created */
byte runs = 0;         /* number of runs at the backend server */
byte elapsed[AGENTS];  /* time since arrival by each agent's own clock */
byte step = 0;         /* time since the caller's first attempt */

inline run_once() {
  runs++;
  assert(runs <= 1);
}

proctype Agent(byte me) {
  bool owned = false;
  atomic {                              /* the request arrives, or is lost */
    if
    :: step <= RETRY_WINDOW -> elapsed[me] = 0
    :: goto done
    fi
  };
#ifdef NO_CLAIM
  owned = true;
#else
  atomic {                              /* compare-and-swap: create if it does not exist */
#ifdef NO_ARRIVAL
    elapsed[me] = 0;
#endif
    if
    :: owner == NO_OWNER -> owner = me; age = 0; owned = true
    :: else -> skip
    fi
  };
  if
  :: skip                               /* the answer arrives */
  :: owned = false;                     /* the answer is lost: read the claim back */
     atomic {
#ifdef NO_IDENTITY
       owned = (owner != NO_OWNER)
#else
       owned = (owner == me)
#endif
     }
  :: goto done                          /* the agent crashes here */
  fi;
#endif
  /* the agent may pause here while other processes take any number of steps */
  atomic {
    if
#ifdef NO_CLOCK
    :: owned -> run_once()
    :: else -> skip
#else
    :: owned && elapsed[me] <= CLAIM_VALIDITY -> run_once()
    :: else -> skip
#endif
    fi
  }
done: skip
}

/* Time advances equally at the platform and on every agent's own clock. */
active proctype Clock() {
  do
  :: step < 6 ->
     atomic {
       step++;
       age++;
       elapsed[0]++;
       elapsed[1]++;
       if
       :: owner != NO_OWNER && age >= CLAIM_RETENTION -> owner = NO_OWNER
       :: else -> skip
       fi
     }
  :: step == 6 -> break
  od
}

init {
  atomic { run Agent(0); run Agent(1) }
}
