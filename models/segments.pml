/*
 * Claim, run, commit, takeover, cancel and completion of a batch job of one segment with one item, by
 * two hosts and an operator who may cancel at any of them.
 *
 * The platform's objects are the segment's record (the holder's claim, visible results) and the job's
 * manifest (open, completed, cancelled). Writes are conditional on the version that the writer knows;
 * they may be lost, applied late, or applied with their response lost, and are then read back. A host
 * may be paused for any time, so that it resumes as a zombie after another host claimed its segment,
 * and may restart. A segment may be claimed by another host at any time: leases make this rare only
 * to avoid repeated work.
 *
 * Asserted: at most one result of the item is visible, a visible result never disappears, and the job
 * ends once.
 *
 * Left out: more items and segments, attempts, the bytes of results.
 *
 * Each macro removes one protecting rule; models/check expects an error with each of them:
 *   COMMIT_WITHOUT_VERSION, END_WITHOUT_VERSION, LOST_RESPONSE_IS_A_FAILURE
 */
#define HOSTS 2
#define OTHER(h) (1 - (h))
#define OPEN 0
#define COMPLETED 1
#define CANCELLED 2
#define MAX_CLAIMS 3

/* The platform. */
byte visible = 0;
byte claims = 0;
byte manifest = OPEN;
byte ends = 0;

/* A host: whether it assumes that it holds the claim, what it knows to be visible, its result. */
bool holds[HOSTS];
bool current[HOSTS];
byte known_visible[HOSTS];
bool has_result[HOSTS];

/* A commit in transit: 0 none, 1 sent, 2 applied with its response in transit, 3 response lost. */
byte commit[HOSTS];
byte commit_visible[HOSTS];
bool commit_stale[HOSTS];

/* A write that ends the job: the state it writes, or OPEN for none; whether its version is old. */
byte ending[HOSTS];
bool ending_stale[HOSTS];

byte restarts = 0;

inline make_others_stale(host) {
  current[OTHER(host)] = false;
  if :: commit[OTHER(host)] == 1 -> commit_stale[OTHER(host)] = true :: else fi
}

inline end_commit(host) { commit[host] = 0; commit_visible[host] = 0; commit_stale[host] = false }

inline lose_claim(host) {
  holds[host] = false; current[host] = false; has_result[host] = false; known_visible[host] = 0
}

/* A claim reads the record and replaces it under the next fencing number. */
inline claim(host) {
  claims++;
  holds[host] = true;
  current[host] = true;
  known_visible[host] = visible;
  has_result[host] = false;
  make_others_stale(host)
}

inline send_commit(host) {
  commit[host] = 1;
  commit_visible[host] = known_visible[host] + 1;
  commit_stale[host] = !current[host]
}

inline apply_commit(host) {
#ifdef COMMIT_WITHOUT_VERSION
  commit_stale[host] = false;
#endif
  if
  :: commit_stale[host] -> end_commit(host); lose_claim(host)
  :: else ->
     assert(commit_visible[host] >= visible);
#ifdef COMMIT_WITHOUT_VERSION
     /* The zombie's result part is visible beside the one that is already visible. */
     visible++;
#else
     visible = commit_visible[host];
#endif
     assert(visible <= 1);
     commit[host] = 2;
     make_others_stale(host)
  fi
}

inline confirm_commit(host) {
  known_visible[host] = commit_visible[host];
  has_result[host] = false;
  end_commit(host)
}

/* A response was lost: the record is read back. */
inline read_back(host) {
#ifdef LOST_RESPONSE_IS_A_FAILURE
  /* The host adopts the current version and commits its result again. */
  current[host] = true;
  known_visible[host] = visible;
  end_commit(host)
#else
  if
  :: current[host] -> confirm_commit(host)
  :: else -> end_commit(host); lose_claim(host)
  fi
#endif
}

inline apply_end(host) {
#ifdef END_WITHOUT_VERSION
  ending_stale[host] = false;
#endif
  if
  :: !ending_stale[host] ->
     manifest = ending[host];
     ends++;
     assert(ends <= 1);
     if :: ending[OTHER(host)] != OPEN -> ending_stale[OTHER(host)] = true :: else fi
  :: else
  fi;
  ending[host] = OPEN;
  ending_stale[host] = false
}

inline restart(host) {
  restarts++;
  lose_claim(host);
  if :: commit[host] != 1 -> end_commit(host) :: else fi
}

active proctype Model() {
  byte h;
  do
  :: atomic {
       if :: h = 0 :: h = 1 fi;
       if
       :: d_step { !holds[h] && commit[h] == 0 && claims < MAX_CLAIMS && manifest == OPEN && visible == 0 -> claim(h) }
       :: d_step { holds[h] && !has_result[h] && known_visible[h] == 0 && commit[h] == 0 -> has_result[h] = true }
       :: d_step { holds[h] && has_result[h] && commit[h] == 0 -> send_commit(h) }
       :: d_step { commit[h] == 1 -> apply_commit(h) }
       :: d_step { commit[h] == 2 -> confirm_commit(h) }
       :: d_step { commit[h] == 2 -> commit[h] = 3 }
       :: d_step { commit[h] == 3 -> read_back(h) }
       :: d_step { commit[h] == 1 && holds[h] -> end_commit(h) }
       :: d_step { ending[h] == OPEN && manifest == OPEN && visible == 1 -> ending[h] = COMPLETED }
       :: d_step { ending[h] == OPEN && manifest == OPEN -> ending[h] = CANCELLED }
       :: d_step { ending[h] != OPEN -> apply_end(h) }
       :: d_step { ending[h] != OPEN -> ending[h] = OPEN; ending_stale[h] = false }
       :: d_step { restarts < 2 -> restart(h) }
       :: else
       fi;
       h = 0
     }
  od
}
