/*
 * Delegation of one share of one resource by its holder to two hosts that may both assume to be the
 * owner, with a change of holder and restarts of owners.
 *
 * Time is in ticks; the share accrues one token a tick at the one host that may use it, and has at most
 * CAP. A meter leaks one token a tick and gains one for each token spent: the bound for every window
 * is that it never exceeds CAP. Times are stored as remaining times, and messages carry their age.
 * Requests and answers may be lost, handled twice, or be in transit for any time.
 *
 * From leases.pml: the next holder uses the share only once all that the former one delegated has
 * expired. So one holder stands for all holders, and a change of holder is a time without the share.
 * Left out: loans (loans.pml), clock drift, the return of shares, changes of the grant. The simulation
 * of the real code (TokenSimulation) has all of them.
 *
 * Each macro removes one protecting rule; models/check expects an error with each of them:
 *   DELEGATE_TO_TWO_OWNERS, DELEGATION_FROM_ANSWER, NEXT_HOLDER_WITHOUT_WAIT, DELEGATED_TOKENS_ARE_KEPT,
 *   EXPIRED_SHARE_IS_FULL
 */
#define OWNERS 2
#define OTHER(o) (1 - (o))
#define NOBODY 2
#define CAP 2
#define DELEGATION 2

/* The holder. */
byte unusable_for = 0;
byte holder_tokens = CAP;
byte delegated_for = 0;
byte delegated_to = NOBODY;

/* The owners: the remaining time of the delegation, the age of its request, and the tokens. */
byte remaining[OWNERS];
byte age[OWNERS];
byte level[OWNERS];

/* Requests and answers in transit. */
bool request[OWNERS];
byte request_age[OWNERS];
bool request_of_ended_owner[OWNERS];
bool answer[OWNERS];
byte answer_age[OWNERS];
byte answer_tokens[OWNERS];

byte restarts = 0;
byte metered = 0;

#define HOLDER_CAN_USE (unusable_for == 0)

inline decrease(x) { if :: x > 0 -> x-- :: else fi }
inline increase(x, most) { if :: x < most -> x++ :: else fi }

inline tick_owner(owner) {
  if :: remaining[owner] > 0 -> increase(level[owner], CAP) :: else fi;
  decrease(remaining[owner]);
  if
  :: remaining[owner] == 0 -> level[owner] = 0; age[owner] = 0
  :: else -> increase(age[owner], DELEGATION)
  fi;
  if :: request[owner] -> increase(request_age[owner], DELEGATION) :: else fi;
  if :: answer[owner] -> increase(answer_age[owner], DELEGATION) :: else fi
}

inline tick() {
  if :: unusable_for == 0 && delegated_for == 0 -> increase(holder_tokens, CAP) :: else fi;
  if
  :: delegated_for == 1 ->
#ifdef EXPIRED_SHARE_IS_FULL
     holder_tokens = CAP;
#else
     holder_tokens = 0;
#endif
     delegated_to = NOBODY
  :: else
  fi;
  decrease(delegated_for);
  decrease(unusable_for);
  tick_owner(0);
  tick_owner(1);
  decrease(metered)
}

inline drop_request(owner) {
  request[owner] = false; request_age[owner] = 0; request_of_ended_owner[owner] = false
}

inline drop_answer(owner) {
  answer[owner] = false; answer_age[owner] = 0; answer_tokens[owner] = 0
}

inline delegate(owner) {
#ifdef DELEGATE_TO_TWO_OWNERS
  if
  :: true ->
#else
  if
  :: delegated_for == 0 || delegated_to == owner ->
#endif
     answer[owner] = true;
     answer_age[owner] = request_age[owner];
     answer_tokens[owner] = holder_tokens;
#ifndef DELEGATED_TOKENS_ARE_KEPT
     holder_tokens = 0;
#endif
     delegated_for = DELEGATION;
     if
     :: request_of_ended_owner[owner] -> delegated_to = NOBODY; drop_answer(owner)
     :: else -> delegated_to = owner
     fi
  :: else
  fi
}

inline accept_answer(owner) {
#ifdef DELEGATION_FROM_ANSWER
  answer_age[owner] = 0;
#endif
  if
  :: answer_age[owner] < DELEGATION && (remaining[owner] == 0 || answer_age[owner] < age[owner]) ->
     remaining[owner] = DELEGATION - answer_age[owner];
     age[owner] = answer_age[owner];
     if
     :: level[owner] + answer_tokens[owner] > CAP -> level[owner] = CAP
     :: else -> level[owner] = level[owner] + answer_tokens[owner]
     fi
  :: else
  fi;
  drop_answer(owner)
}

/* The holder loses the share or releases it, and the next one waits. */
inline change_holder() {
#ifdef NEXT_HOLDER_WITHOUT_WAIT
  unusable_for = 0;
#else
  unusable_for = DELEGATION;
#endif
  holder_tokens = 0;
  delegated_for = 0;
  delegated_to = NOBODY
}

inline restart(owner) {
  restarts++;
  remaining[owner] = 0; age[owner] = 0; level[owner] = 0;
  drop_answer(owner);
  /* Its requests were sent by an incarnation that no longer runs. */
  if :: request[owner] -> request_of_ended_owner[owner] = true :: else fi;
  if :: delegated_to == owner -> delegated_to = NOBODY :: else fi
}

active proctype Model() {
  byte o;
  do
  :: d_step { tick(); o = 0 }
  :: d_step { restarts < 3 -> restarts++; change_holder(); o = 0 }
  :: atomic {
       if :: o = 0 :: o = 1 fi;
       if
       :: d_step { !request[o] -> request[o] = true }
       :: d_step { request[o] && !answer[o] && HOLDER_CAN_USE -> delegate(o); drop_request(o) }
       :: d_step { request[o] && !answer[o] && HOLDER_CAN_USE -> delegate(o) }
       :: d_step { request[o] -> drop_request(o) }
       :: d_step { answer[o] -> accept_answer(o) }
       :: d_step { answer[o] -> drop_answer(o) }
       :: d_step { level[o] > 0 -> level[o]--; metered++; assert(metered <= CAP) }
       :: d_step { restarts < 3 -> restart(o) }
       :: else
       fi;
       o = 0
     }
  od
}
