/* Two operators change the same class by read and compare-and-swap. Calls and answers may be lost,
 * and the platform may become unreachable for good at any step. The stored value contains the
 * identities of the changes that it includes.
 * Property: the result reported to an operator is true, and of two operators who expect the same
 * revision at most one is accepted.
 *
 * Guard that can be disabled to show the bug that it prevents:
 *   NO_IDENTITY  do not look for one's own identity when reading the value back
 */
#define OPERATORS 2

byte revision = 0;
bool written[OPERATORS];       /* identities in the stored value */
byte accepted = 0;

proctype Operator(byte me) {
  bool in_doubt = false;
  bool mine;
  byte seen;
  byte tries = 0;
again:
  if
  :: tries == 3 -> goto give_up
  :: else -> tries++
  fi;
  if
  :: atomic { seen = revision; mine = written[me] }   /* the read is answered */
  :: goto again                                       /* the read is lost */
  fi;
#ifndef NO_IDENTITY
  if
  :: mine -> goto reported_accepted
  :: else -> skip
  fi;
#endif
  if
  :: seen != 0 -> goto reported_conflict
  :: else -> skip
  fi;
  if
  :: atomic {                                         /* the swap reaches the platform */
       if
       :: revision == 0 -> revision++; written[me] = true; mine = true
       :: else -> mine = false
       fi
     };
     if
     :: mine -> goto reported_accepted                /* its answer arrives */
     :: !mine -> goto again
     :: in_doubt = true; goto again                   /* its answer is lost */
     fi
  :: in_doubt = true; goto again                      /* the swap is lost, which looks the same */
  :: goto again                                       /* not sent */
  fi;
reported_accepted:
  atomic { assert(written[me]); accepted++; assert(accepted <= 1) };
  goto done;
reported_conflict:
  assert(!written[me]);
  goto done;
give_up:
  if
  :: in_doubt -> skip                                 /* reported: may have run */
  :: else -> assert(!written[me])                     /* reported: not run */
  fi;
done: skip
}

init {
  atomic { run Operator(0); run Operator(1) }
}
