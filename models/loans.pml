/*
 * Loans of tokens by one owner to two borrowers, with the owner's delegation extended or not, and
 * restarts of borrowers and of the owner.
 *
 * Time is in ticks; the delegated share accrues one token a tick at the owner, and tokens held and lent
 * are at most CAP. When the delegation ends, the share accrues at its holder, starting without tokens,
 * and may be delegated to another owner: a next user, which spends tokens as well. A meter leaks one
 * token a tick and gains one for each token spent: it never exceeds CAP. Requests, answers and
 * settlements may be lost, handled twice, or be in transit for any time.
 *
 * From delegations.pml: the share is used by one host at a time. Left out: clock drift, more shares,
 * changes of the grant. The simulation of the real code (TokenSimulation) has all of them.
 *
 * Each macro removes one protecting rule; models/check expects an error with each of them:
 *   LOAN_FROM_ANSWER, LOAN_BEYOND_DELEGATION, LENT_TOKENS_DO_NOT_COUNT, SETTLED_TOKENS_ARE_KEPT,
 *   RESTARTED_OWNER_KEEPS_DELEGATION
 */
#define BORROWERS 2
#define CAP 2
#define DELEGATION 3
#define LOAN 2

/* The owner and, once its delegation has ended, the next user of the share. */
byte remaining = DELEGATION;
byte level = CAP;
byte next_user_level = 0;

/* Loans: one for each borrower, and a second for a request that was handled twice. */
typedef Loans {
  byte tokens[2];
  byte expires_in[2]
}
Loans lent[BORROWERS];

bool request[BORROWERS];
byte request_age[BORROWERS];
bool answer[BORROWERS];
byte answer_tokens[BORROWERS];
byte answer_valid[BORROWERS];
byte answer_loan[BORROWERS];
byte tokens[BORROWERS];
byte usable_for[BORROWERS];
byte loan_used[BORROWERS];

/* A settlement in transit: the number of the loan that it ends plus one, and the returned tokens. */
byte settle_loan[BORROWERS];
byte settle_tokens[BORROWERS];

byte restarts = 0;
bool owner_restarted = false;
bool owner_ended = false;
byte metered = 0;

#define LENT (lent[0].tokens[0] + lent[0].tokens[1] + lent[1].tokens[0] + lent[1].tokens[1])
#ifdef LENT_TOKENS_DO_NOT_COUNT
#define HELD level
#else
#define HELD (level + LENT)
#endif
#ifdef LOAN_BEYOND_DELEGATION
#define VALID LOAN
#else
#define VALID (remaining < LOAN -> remaining : LOAN)
#endif

inline decrease(x) { if :: x > 0 -> x-- :: else fi }
inline increase(x, most) { if :: x < most -> x++ :: else fi }

inline tick_loan(who, loan) {
  decrease(lent[who].expires_in[loan]);
  if
  :: lent[who].expires_in[loan] == 0 ->
     lent[who].tokens[loan] = 0;
     if :: settle_loan[who] == loan + 1 -> settle_loan[who] = 0; settle_tokens[who] = 0 :: else fi
  :: else
  fi
}

inline tick_borrower(who) {
  tick_loan(who, 0);
  tick_loan(who, 1);
  if :: request[who] -> increase(request_age[who], LOAN) :: else fi;
  decrease(usable_for[who]);
  if :: usable_for[who] == 0 -> tokens[who] = 0; loan_used[who] = 0 :: else fi
}

inline tick() {
  if
  :: remaining > 0 -> if :: HELD < CAP && !owner_ended -> level++ :: else fi
  :: else -> increase(next_user_level, CAP)
  fi;
  decrease(remaining);
  if :: remaining == 0 -> level = 0 :: else fi;
  tick_borrower(0);
  tick_borrower(1);
  decrease(metered)
}

inline lend(who, loan) {
  answer[who] = true;
  answer_tokens[who] = level;
  answer_valid[who] = VALID;
  answer_loan[who] = loan;
  lent[who].tokens[loan] = level;
  lent[who].expires_in[loan] = VALID;
  level = 0
}

inline drop_answer(who) {
  answer[who] = false; answer_tokens[who] = 0; answer_valid[who] = 0; answer_loan[who] = 0
}

inline drop_request(who) { request[who] = false; request_age[who] = 0 }

inline accept_answer(who) {
#ifdef LOAN_FROM_ANSWER
  request_age[who] = 0;
#endif
  if
  :: answer_valid[who] > request_age[who] ->
     tokens[who] = answer_tokens[who];
     usable_for[who] = answer_valid[who] - request_age[who];
     loan_used[who] = answer_loan[who] + 1
  :: else
  fi;
  drop_answer(who);
  drop_request(who)
}

/* The borrower stops spending, then sends the settlement to the owner. */
inline send_settlement(who) {
  settle_loan[who] = loan_used[who];
  settle_tokens[who] = tokens[who];
#ifndef SETTLED_TOKENS_ARE_KEPT
  tokens[who] = 0; usable_for[who] = 0; loan_used[who] = 0
#endif
}

inline settle(who) {
  if
  :: lent[who].tokens[settle_loan[who] - 1] > 0 ->
     lent[who].tokens[settle_loan[who] - 1] = 0;
     lent[who].expires_in[settle_loan[who] - 1] = 0;
     if
     :: HELD + settle_tokens[who] > CAP -> level = level + CAP - HELD
     :: else -> level = level + settle_tokens[who]
     fi
  :: else
  fi;
  settle_loan[who] = 0;
  settle_tokens[who] = 0
}

inline restart(who) {
  restarts++;
  drop_answer(who); drop_request(who);
  tokens[who] = 0; usable_for[who] = 0; loan_used[who] = 0
}

/* The owner restarts: what was delegated to the old incarnation is not passed to the new one. */
inline restart_owner() {
  owner_restarted = true;
  level = 0;
#ifdef RESTARTED_OWNER_KEEPS_DELEGATION
  lent[0].tokens[0] = 0; lent[0].tokens[1] = 0; lent[1].tokens[0] = 0; lent[1].tokens[1] = 0
#else
  owner_ended = true
#endif
}

active proctype Model() {
  byte b;
  do
  :: d_step { tick(); b = 0 }
  :: d_step { remaining > 0 && remaining < DELEGATION && !owner_ended -> remaining = DELEGATION }
  :: d_step { !owner_restarted -> restart_owner() }
  /* The next user spends tokens. */
  :: d_step { next_user_level > 0 -> next_user_level--; metered++; assert(metered <= CAP) }
  :: atomic {
       if :: b = 0 :: b = 1 fi;
       if
       :: d_step { tokens[b] > 0 -> tokens[b]--; metered++; assert(metered <= CAP) }
       :: d_step { !request[b] && !answer[b] && usable_for[b] == 0 && settle_loan[b] == 0 -> request[b] = true }
       :: d_step { request[b] && !answer[b] && level > 0 && lent[b].expires_in[0] == 0 -> lend(b, 0) }
       :: d_step { request[b] && !answer[b] && level > 0 && lent[b].expires_in[1] == 0 -> lend(b, 1) }
       :: d_step { request[b] && answer[b] -> accept_answer(b) }
       :: d_step { answer[b] -> drop_answer(b) }
       :: d_step { request[b] && !answer[b] -> drop_request(b) }
       :: d_step { loan_used[b] > 0 && settle_loan[b] == 0 -> send_settlement(b) }
       :: d_step { settle_loan[b] > 0 && !owner_ended -> settle(b) }
       :: d_step { settle_loan[b] > 0 -> settle_loan[b] = 0; settle_tokens[b] = 0 }
       :: d_step { restarts < 1 -> restart(b) }
       :: else
       fi;
       b = 0
     }
  od
}
