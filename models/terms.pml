/*
 * Hand-over of dispatch between two candidates by terms of the platform's record, with two hosts that
 * serve callers and one slot: no two calls run in the slot.
 *
 * Claims are read, written on condition, applied late, and may lose their answers; placements and
 * reports cross changes of the dispatching host; candidates restart. Heartbeats carry terms.
 *
 * Left out: a host that reaches no dispatching host, which uses all slots beside the others and takes
 * the rejections of servers as backpressure, and hosts that do not report within the window of a new
 * holder; the simulation of the real code (DispatchElectionTest) has both. When a candidate claims a term is a matter of stability, not of safety.
 *
 * Each macro removes one protecting rule; models/check expects an error with each of them:
 *   CLAIM_WITHOUT_CONDITION, GRANT_WITHOUT_TERM, NO_REPORT, GRANT_BEFORE_REPORTS,
 *   FORMER_HOLDER_KEEPS_TABLE
 */
#define CANDIDATES 2
#define CALLERS 2
#define TERMS 3
#define NOBODY 2
#define AT(c, a) ((c) * CALLERS + (a))
#define ACTS(c) (held[c] != 0 && held[c] == known[c])

#ifdef GRANT_BEFORE_REPORTS
#define MAY_GRANT(c, a) follows[AT(c, a)]
#else
#define MAY_GRANT(c, a) (follows[AT(c, 0)] && follows[AT(c, 1)])
#endif

/* The platform's record: the newest term, and the live process that holds each. */
byte record = 0;
byte holder_of[TERMS + 1];

/* A candidate: the newest term that it knows, the one that it holds, and a claim in transit. */
byte known[CANDIDATES];
byte held[CANDIDATES];
byte claim[CANDIDATES];
bool answer_lost[CANDIDATES];

/* The table of a holder: which hosts get their slots from it, and which use the slot. */
bool follows[CANDIDATES * CALLERS];
bool uses[CANDIDATES * CALLERS];

/* A host that serves callers: whom it follows, in which term, and whether its call runs. */
byte followed[CALLERS];
byte followed_term[CALLERS];
bool runs[CALLERS];

/* A placement in transit: its term, 0 if there is none, and its sender. */
byte grant_term[CALLERS];
byte grant_from[CALLERS];

byte restarts = 0;

inline clear_table(c) {
  follows[AT(c, 0)] = false; follows[AT(c, 1)] = false;
  uses[AT(c, 0)] = false; uses[AT(c, 1)] = false
}

inline learn(c, term) {
  if
  :: term > known[c] ->
     known[c] = term;
#ifndef FORMER_HOLDER_KEEPS_TABLE
     clear_table(c);
#endif
     if :: holder_of[term] == c -> held[c] = term :: else -> held[c] = 0 fi
  :: else
  fi
}

inline apply_claim(c) {
#ifdef CLAIM_WITHOUT_CONDITION
  if
  :: true ->
#else
  if
  :: record == claim[c] - 1 ->
#endif
     assert(holder_of[claim[c]] == NOBODY || holder_of[claim[c]] == c);
     if :: claim[c] > record -> record = claim[c] :: else fi;
     holder_of[claim[c]] = c;
     if :: !answer_lost[c] -> learn(c, claim[c]) :: else fi
  :: else
  fi;
  claim[c] = 0; answer_lost[c] = false
}

/* Leaves the former holder, whose table may not learn of it, and reports to the next one. */
inline join(a, c, told) {
  if
  :: followed[a] != NOBODY && followed[a] != c && told ->
     follows[AT(followed[a], a)] = false; uses[AT(followed[a], a)] = false
  :: else
  fi;
  if :: grant_from[a] == c -> grant_term[a] = 0 :: else fi;
  followed[a] = c;
  followed_term[a] = held[c];
  follows[AT(c, a)] = true;
#ifdef NO_REPORT
  uses[AT(c, a)] = false
#else
  uses[AT(c, a)] = runs[a]
#endif
}

inline grant(c, a) {
  uses[AT(c, a)] = true;
  grant_term[a] = held[c];
  grant_from[a] = c
}

inline deliver(a) {
  if
#ifdef GRANT_WITHOUT_TERM
  :: !runs[a] ->
#else
  :: !runs[a] && grant_term[a] == followed_term[a] ->
#endif
     runs[a] = true;
     assert(!runs[1 - a])
  :: else
  fi;
  grant_term[a] = 0
}

inline finish(a) {
  runs[a] = false;
  uses[AT(followed[a], a)] = false
}

inline restart(c) {
  restarts++;
  known[c] = 0; held[c] = 0; answer_lost[c] = (claim[c] != 0);
  clear_table(c);
  if :: holder_of[1] == c -> holder_of[1] = NOBODY :: else fi;
  if :: holder_of[2] == c -> holder_of[2] = NOBODY :: else fi;
  if :: holder_of[3] == c -> holder_of[3] = NOBODY :: else fi;
  if :: grant_from[0] == c -> grant_term[0] = 0 :: else fi;
  if :: grant_from[1] == c -> grant_term[1] = 0 :: else fi
}

active proctype Model() {
  byte c;
  byte a;
  d_step {
    holder_of[0] = NOBODY; holder_of[1] = NOBODY; holder_of[2] = NOBODY; holder_of[3] = NOBODY;
    followed[0] = NOBODY; followed[1] = NOBODY
  }
  do
  :: atomic {
       if :: c = 0 :: c = 1 fi;
       if :: a = 0 :: a = 1 fi;
       if
       :: d_step { (claim[c] == 0 && record < TERMS) -> learn(c, record); claim[c] = record + 1 }
       :: d_step { (claim[c] != 0 && !answer_lost[c]) -> answer_lost[c] = true }
       :: d_step { claim[c] != 0 -> apply_claim(c) }
       :: d_step { claim[c] != 0 -> claim[c] = 0; answer_lost[c] = false }
       :: d_step { known[1 - c] > known[c] -> learn(c, known[1 - c]) }
       :: d_step { followed_term[a] > known[c] -> learn(c, followed_term[a]) }
       :: d_step { record > known[c] -> learn(c, record) }
       :: d_step {
            (ACTS(c) && (held[c] > followed_term[a] || (followed[a] == c && held[c] == followed_term[a]))) ->
            join(a, c, true)
          }
       :: d_step { (ACTS(c) && held[c] > followed_term[a]) -> join(a, c, false) }
       :: d_step {
            (ACTS(c) && MAY_GRANT(c, a) && !uses[AT(c, 0)] && !uses[AT(c, 1)] && grant_term[a] == 0) ->
            grant(c, a)
          }
       :: d_step { grant_term[a] != 0 -> deliver(a) }
       :: d_step { runs[a] -> finish(a) }
       :: d_step { restarts < 2 -> restart(c) }
       :: else
       fi;
       c = 0;
       a = 0
     }
  od
}
