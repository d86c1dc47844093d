package org.trefoilbarrow.coordination.share;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import org.trefoilbarrow.coordination.membership.Rendezvous;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.ShareRecord;

/**
 * Decides which shares to claim, renew and release, and records which are held.
 *
 * <p>A share is held from the send of a successful claim or renewal until the lease ends by this
 * host's clock. It is claimed from another host only after its record was unchanged for a whole
 * lease, after a release, or when a newer incarnation of the holder runs. A claimed share is not
 * used before all that the former holder delegated has expired.
 *
 * <p>Times are readings of this host's monotonic clock, in nanoseconds. Thread-safe; no method does
 * I/O.
 */
public final class ShareLeases {
  private final ShareRules rules;
  private final HostId self;
  private final long incarnation;
  private final ImmutableList<ShareState> states;
  private final List<ShareState> claimOrder;

  /** The known state of one share. */
  private static final class ShareState {
    final int index;
    boolean observed;
    long version;
    ShareRecord record = ShareRecord.neverHeld();
    long unchangedSinceNanos;
    boolean held;
    long heldUntilNanos;
    long renewedAtNanos;
    long usableFromNanos;
    boolean draining;
    boolean writing;

    ShareState(int index) {
      this.index = index;
    }
  }

  /** Creates a record without held shares for one incarnation of a host. */
  public ShareLeases(ShareRules rules, HostId self, long incarnation) {
    this.rules = checkNotNull(rules, "rules");
    this.self = checkNotNull(self, "self");
    this.incarnation = incarnation;
    ImmutableList.Builder<ShareState> builder = ImmutableList.builder();
    for (int index = 0; index < rules.count(); index++) {
      builder.add(new ShareState(index));
    }
    this.states = builder.build();
    // Hosts that start together prefer different shares, so that few of their claims collide.
    this.claimOrder =
        states.stream()
            .sorted(
                Comparator.comparingLong(state -> Rendezvous.score("share-" + state.index, self)))
            .toList();
  }

  /**
   * Records the object of a share as read from the platform.
   *
   * @param version the object's version, or 0 if it does not exist
   * @param nowNanos a time after the response arrived
   */
  public synchronized void observe(int share, long version, ShareRecord record, long nowNanos) {
    ShareState state = state(share);
    if (state.observed && version <= state.version) {
      return;
    }
    state.observed = true;
    state.version = version;
    state.record = record;
    state.unchangedSinceNanos = nowNanos;
    if (!record.isHeldBy(self, incarnation)) {
      state.held = false;
    }
  }

  /**
   * Returns the writes to send now. Each must be followed by {@link #onWritten}.
   *
   * @param wanted the number of shares that this host should hold
   * @param isSuperseded whether a newer incarnation of the record's holder runs, so that the holder
   *     certainly does not
   * @param isDrained whether no work in progress needs the share any more
   */
  public synchronized List<ShareAction> plan(
      int wanted, Predicate<ShareRecord> isSuperseded, IntPredicate isDrained, long nowNanos) {
    List<ShareAction> actions = new ArrayList<>();
    expire(nowNanos);
    adjustDraining(wanted);
    for (ShareState state : states) {
      if (!state.held || state.writing) {
        continue;
      }
      if (state.draining && isDrained.test(state.index)) {
        actions.add(startWrite(state, ShareAction.Type.RELEASE, state.record.released()));
      } else if (nowNanos - state.renewedAtNanos >= rules.renewEveryNanos()) {
        ShareRecord renewed = state.record.heldBy(self, incarnation);
        actions.add(startWrite(state, ShareAction.Type.RENEW, renewed));
      }
    }
    int missing = wanted - countHeldOrClaiming();
    for (ShareState state : claimOrder) {
      if (missing <= 0) {
        break;
      }
      if (isClaimable(state, isSuperseded, nowNanos)) {
        ShareRecord claimed = state.record.heldBy(self, incarnation);
        actions.add(startWrite(state, ShareAction.Type.CLAIM, claimed));
        missing--;
      }
    }
    return actions;
  }

  /**
   * Records the outcome of a write.
   *
   * @param sentAtNanos when the write was first sent
   * @param version the version that the write created, or 0 if it had no effect or its outcome is
   *     unknown
   */
  public synchronized void onWritten(
      ShareAction action, long sentAtNanos, long version, long nowNanos) {
    ShareState state = state(action.share());
    state.writing = false;
    if (version == 0 || version < state.version) {
      return;
    }
    state.observed = true;
    state.version = version;
    state.record = action.record();
    state.unchangedSinceNanos = nowNanos;
    if (action.type() == ShareAction.Type.RELEASE) {
      state.held = false;
      return;
    }
    if (!state.held || action.type() == ShareAction.Type.CLAIM) {
      state.usableFromNanos = nowNanos + rules.claimWait().toNanos();
      state.draining = false;
    }
    state.held = true;
    state.renewedAtNanos = sentAtNanos;
    // The lease counts from the send, because the platform may have applied the write at any time
    // since.
    state.heldUntilNanos = sentAtNanos + rules.heldNanos();
  }

  /** Returns the shares that this host holds and is not releasing, whether usable yet or not. */
  public synchronized List<HeldShare> held(long nowNanos) {
    expire(nowNanos);
    return states.stream()
        .filter(state -> state.held && !state.draining)
        .map(state -> new HeldShare(state.index, state.usableFromNanos, state.heldUntilNanos))
        .toList();
  }

  /** Returns the shares that may be used now. */
  public List<HeldShare> usable(long nowNanos) {
    return held(nowNanos).stream().filter(s -> s.usableFromNanos() <= nowNanos).toList();
  }

  /** Returns the number of shares into which each limit is divided. */
  public int count() {
    return rules.count();
  }

  private void expire(long nowNanos) {
    for (ShareState state : states) {
      if (state.held && nowNanos >= state.heldUntilNanos) {
        state.held = false;
      }
    }
  }

  private void adjustDraining(int wanted) {
    int kept = 0;
    for (ShareState state : states) {
      if (state.held && !state.draining) {
        kept++;
        state.draining = kept > wanted;
      }
    }
  }

  private boolean isClaimable(
      ShareState state, Predicate<ShareRecord> isSuperseded, long nowNanos) {
    if (!state.observed || state.held || state.writing) {
      return false;
    }
    ShareRecord record = state.record;
    return record.isFree()
        || isOwnEarlierClaim(record)
        || isSuperseded.test(record)
        || nowNanos - state.unchangedSinceNanos >= rules.claimAfterNanos();
  }

  /**
   * Returns whether the record names an earlier incarnation of this host, or this one after its
   * lease has expired.
   */
  private boolean isOwnEarlierClaim(ShareRecord record) {
    return self.equals(record.holder()) && record.incarnation() <= incarnation;
  }

  private ShareAction startWrite(ShareState state, ShareAction.Type type, ShareRecord record) {
    state.writing = true;
    return new ShareAction(type, state.index, state.version, record);
  }

  private int countHeldOrClaiming() {
    int count = 0;
    for (ShareState state : states) {
      boolean claiming = state.writing && !state.held;
      if (claiming || (state.held && !state.draining)) {
        count++;
      }
    }
    return count;
  }

  private ShareState state(int share) {
    checkArgument(share >= 0 && share < states.size(), "share %s does not exist", share);
    return states.get(share);
  }
}
