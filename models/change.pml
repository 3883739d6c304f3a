/* Two operators change the same class. Each reads, compares and swaps; calls and answers may be
 * lost, and the platform may be out of reach for good at any step. The value remembers the
 * identities of the changes it is made of. Property: what an operator is told is true, and of two
 * who expected the same revision at most one is accepted.
 *
 * Guard that can be switched off to see the bug that it prevents:
 *   NO_IDENTITY  do not look for one's own identity when reading back
 */
#define OPERATORS 2

byte revision = 0;
bool written[OPERATORS];       /* identities inside the value */
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
  :: mine -> goto told_accepted
  :: else -> skip
  fi;
#endif
  if
  :: seen != 0 -> goto told_conflict
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
     :: mine -> goto told_accepted                    /* its answer arrives */
     :: !mine -> goto again
     :: in_doubt = true; goto again                   /* its answer is lost */
     fi
  :: in_doubt = true; goto again                      /* the swap itself is lost, who can tell */
  :: goto again                                       /* not sent */
  fi;
told_accepted:
  atomic { assert(written[me]); accepted++; assert(accepted <= 1) };
  goto done;
told_conflict:
  assert(!written[me]);
  goto done;
give_up:
  if
  :: in_doubt -> skip                                 /* told: may have run */
  :: else -> assert(!written[me])                     /* told: not run */
  fi;
done: skip
}

init {
  atomic { run Operator(0); run Operator(1) }
}
