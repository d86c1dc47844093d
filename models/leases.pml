/*
 * Claim, renewal and restart for one share between two hosts: what a holder delegated has expired
 * before the next holder uses the share.
 *
 * Time is in ticks. Times are stored as remaining times, and messages carry their age, so that the
 * state space is finite without a time limit. A pause of a host is any sequence of ticks in which it
 * does nothing. A write of the share's record may be lost, applied late, or applied with its response
 * late or lost and never read back; reads may be of any age.
 *
 * Left out: clock drift (the code has margins for it), releases (the claim of a released record is
 * like the claim of the record of an ended holder). Delegations are in delegations.pml, which relies
 * on what is asserted here; loans are in loans.pml. The simulation of the real code (TokenSimulation)
 * has all of them.
 *
 * Each macro removes one protecting rule; models/check expects an error with each of them:
 *   LEASE_FROM_RESPONSE, CLAIM_BEFORE_LEASE_END, NO_CLAIM_WAIT
 */
#define HOSTS 2
#define OTHER(h) (1 - (h))
#define LEASE 4
#define DELEGATION 2

#ifdef NO_CLAIM_WAIT
#define CLAIM_WAIT 0
#else
#define CLAIM_WAIT DELEGATION
#endif
#ifdef CLAIM_BEFORE_LEASE_END
#define CLAIM_AFTER 1
#else
#define CLAIM_AFTER LEASE
#endif

#define USABLE(h) (held_for[h] > 0 && unusable_for[h] == 0)
#define REMAINING(whole, age) ((whole) > (age) -> (whole) - (age) : 0)

/* The platform's record of the share: its holder, and whether that incarnation has ended. */
byte record_holder = 0;
bool record_holder_ended = false;

byte held_for[HOSTS];
byte unusable_for[HOSTS];

/* What a host has read of the record: whether it is current, and for how long it is unchanged. */
bool seen_current[HOSTS];
byte seen_for[HOSTS];

/* A write in transit: 0 none, 1 sent, 2 applied with its response in transit. */
byte write_state[HOSTS];
bool write_claims[HOSTS];
bool write_stale[HOSTS];
byte write_age[HOSTS];

/* For how long something that a host has delegated may still be in use. */
byte delegated_for[HOSTS];

byte restarts = 0;

inline decrease(x) { if :: x > 0 -> x-- :: else fi }
inline increase(x, most) { if :: x < most -> x++ :: else fi }

inline lose_share(host) { held_for[host] = 0; unusable_for[host] = 0 }

inline end_write(host) {
  write_state[host] = 0; write_claims[host] = false; write_stale[host] = false; write_age[host] = 0
}

inline tick_host(host) {
  decrease(delegated_for[host]);
  decrease(held_for[host]);
  if
  :: held_for[host] == 0 -> unusable_for[host] = 0
  :: else -> decrease(unusable_for[host])
  fi;
  if :: seen_current[host] || seen_for[host] < LEASE -> increase(seen_for[host], LEASE) :: else fi;
  if :: write_state[host] != 0 -> increase(write_age[host], LEASE) :: else fi
}

inline observe(host) {
  seen_current[host] = true;
  seen_for[host] = 0;
  if
  :: record_holder != host || record_holder_ended -> lose_share(host)
  :: else
  fi
}

inline send_write(host, for_claim) {
  write_state[host] = 1;
  write_claims[host] = for_claim;
  write_stale[host] = !seen_current[host];
  write_age[host] = 0
}

inline apply_write(host) {
  if
  :: write_stale[host] -> end_write(host)
  :: else ->
     record_holder = host;
     record_holder_ended = false;
     write_state[host] = 2;
     seen_current[OTHER(host)] = false;
     if :: write_state[OTHER(host)] == 1 -> write_stale[OTHER(host)] = true :: else fi
  fi
}

inline confirm_write(host) {
  seen_for[host] = 0;
  seen_current[host] = (record_holder == host && !record_holder_ended);
  if
  :: seen_current[host] ->
     if :: write_claims[host] || held_for[host] == 0 -> unusable_for[host] = CLAIM_WAIT :: else fi;
#ifdef LEASE_FROM_RESPONSE
     held_for[host] = LEASE;
#else
     held_for[host] = REMAINING(LEASE, write_age[host]);
#endif
     if :: held_for[host] == 0 -> unusable_for[host] = 0 :: else fi
  :: else
  fi;
  end_write(host)
}

/* A host delegates for as long as a delegation lasts, but not past the end of its own lease. */
inline delegate(host) {
  assert(delegated_for[OTHER(host)] == 0);
  if
  :: held_for[host] < DELEGATION -> delegated_for[host] = held_for[host]
  :: else -> delegated_for[host] = DELEGATION
  fi
}

inline restart(host) {
  restarts++;
  if :: record_holder == host -> record_holder_ended = true :: else fi;
  lose_share(host);
  seen_current[host] = false;
  seen_for[host] = 0;
  end_write(host)
}

active proctype Model() {
  byte h;
  d_step {
    held_for[0] = LEASE;
    seen_current[0] = true;
    seen_current[1] = true
  }
  do
  :: d_step { tick_host(0); tick_host(1); h = 0 }
  :: atomic {
       if :: h = 0 :: h = 1 fi;
       if
       :: d_step { !seen_current[h] && write_state[h] == 0 -> observe(h) }
       :: d_step {
            (write_state[h] == 0 && held_for[h] == 0 && seen_current[h] && (seen_for[h] >= CLAIM_AFTER || record_holder == h || record_holder_ended)) ->
            send_write(h, true)
          }
       :: d_step { (write_state[h] == 0 && held_for[h] > 0 && held_for[h] < LEASE) ->
            send_write(h, false)
          }
       :: d_step { write_state[h] == 1 -> apply_write(h) }
       :: d_step { write_state[h] == 1 -> end_write(h) }
       :: d_step { write_state[h] == 2 -> confirm_write(h) }
       :: d_step { write_state[h] == 2 -> end_write(h); seen_current[h] = false }
       :: d_step { USABLE(h) -> delegate(h) }
       :: d_step { restarts < 2 -> restart(h) }
       :: else
       fi;
       h = 0
     }
  od
}
