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
 * Decides which shares to claim, renew and release, and tells which are held.
 *
 * <p>A share is held from the send of a successful claim or renewal until the lease ends by this
 * host's clock. It is claimed from another host only after its record was seen unchanged for a
 * whole lease, after a release, or when the holder is known to be dead. A claimed share is not used
 * before all that the former holder delegated has lapsed.
 *
 * <p>Times are readings of this host's monotonic clock, in nanoseconds. Thread-safe; no method does
 * I/O.
 */
public final class ShareLeases {
  private final ShareRules rules;
  private final HostId self;
  private final long incarnation;
  private final ImmutableList<Slot> slots;
  private final List<Slot> claimOrder;

  /** What is known of one share. */
  private static final class Slot {
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

    Slot(int index) {
      this.index = index;
    }
  }

  /** Creates a keeper for one incarnation of a host. */
  public ShareLeases(ShareRules rules, HostId self, long incarnation) {
    this.rules = checkNotNull(rules, "rules");
    this.self = checkNotNull(self, "self");
    this.incarnation = incarnation;
    ImmutableList.Builder<Slot> builder = ImmutableList.builder();
    for (int index = 0; index < rules.count(); index++) {
      builder.add(new Slot(index));
    }
    this.slots = builder.build();
    // Hosts that start together prefer different shares, so that few of their claims collide.
    this.claimOrder =
        slots.stream()
            .sorted(Comparator.comparingLong(slot -> Rendezvous.score("share-" + slot.index, self)))
            .toList();
  }

  /**
   * Records a share's object as it was read.
   *
   * @param version the object's version, or 0 if it does not exist
   * @param nowNanos a time after the answer arrived
   */
  public synchronized void observe(int share, long version, ShareRecord record, long nowNanos) {
    Slot slot = slot(share);
    if (slot.observed && version <= slot.version) {
      return;
    }
    slot.observed = true;
    slot.version = version;
    slot.record = record;
    slot.unchangedSinceNanos = nowNanos;
    if (!record.isHeldBy(self, incarnation)) {
      slot.held = false;
    }
  }

  /**
   * Returns the writes to make now. Each must be answered by {@link #onWritten}.
   *
   * @param wanted the number of shares that this host should hold
   * @param isSuperseded tells of a holder that it certainly no longer runs
   * @param isDrained tells of a share that no work in progress needs it any more
   */
  public synchronized List<ShareAction> plan(
      int wanted, Predicate<ShareRecord> isSuperseded, IntPredicate isDrained, long nowNanos) {
    List<ShareAction> actions = new ArrayList<>();
    expire(nowNanos);
    adjustDraining(wanted);
    for (Slot slot : slots) {
      if (!slot.held || slot.writing) {
        continue;
      }
      if (slot.draining && isDrained.test(slot.index)) {
        actions.add(begin(slot, ShareAction.Type.RELEASE, slot.record.released()));
      } else if (nowNanos - slot.renewedAtNanos >= rules.renewEveryNanos()) {
        ShareRecord renewed = slot.record.heldBy(self, incarnation);
        actions.add(begin(slot, ShareAction.Type.RENEW, renewed));
      }
    }
    int missing = wanted - countHeldOrClaiming();
    for (Slot slot : claimOrder) {
      if (missing <= 0) {
        break;
      }
      if (isClaimable(slot, isSuperseded, nowNanos)) {
        ShareRecord claimed = slot.record.heldBy(self, incarnation);
        actions.add(begin(slot, ShareAction.Type.CLAIM, claimed));
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
    Slot slot = slot(action.share());
    slot.writing = false;
    if (version == 0 || version < slot.version) {
      return;
    }
    slot.observed = true;
    slot.version = version;
    slot.record = action.record();
    slot.unchangedSinceNanos = nowNanos;
    if (action.type() == ShareAction.Type.RELEASE) {
      slot.held = false;
      return;
    }
    if (!slot.held || action.type() == ShareAction.Type.CLAIM) {
      slot.usableFromNanos = nowNanos + rules.claimWait().toNanos();
      slot.draining = false;
    }
    slot.held = true;
    slot.renewedAtNanos = sentAtNanos;
    // The lease counts from the send: the platform may have applied the write at any time since.
    slot.heldUntilNanos = sentAtNanos + rules.heldNanos();
  }

  /** Returns the shares that this host holds and does not give up, whether usable yet or not. */
  public synchronized List<HeldShare> held(long nowNanos) {
    expire(nowNanos);
    return slots.stream()
        .filter(slot -> slot.held && !slot.draining)
        .map(slot -> new HeldShare(slot.index, slot.usableFromNanos, slot.heldUntilNanos))
        .toList();
  }

  /** Returns the shares that may be used now. */
  public List<HeldShare> usable(long nowNanos) {
    return held(nowNanos).stream().filter(s -> s.usableFromNanos() <= nowNanos).toList();
  }

  /** Returns the number of shares. */
  public int count() {
    return rules.count();
  }

  private void expire(long nowNanos) {
    for (Slot slot : slots) {
      if (slot.held && nowNanos >= slot.heldUntilNanos) {
        slot.held = false;
      }
    }
  }

  private void adjustDraining(int wanted) {
    int keeping = 0;
    for (Slot slot : slots) {
      if (slot.held && !slot.draining) {
        keeping++;
        slot.draining = keeping > wanted;
      }
    }
  }

  private boolean isClaimable(Slot slot, Predicate<ShareRecord> isSuperseded, long nowNanos) {
    if (!slot.observed || slot.held || slot.writing) {
      return false;
    }
    ShareRecord record = slot.record;
    return record.isFree()
        || isOwnBefore(record)
        || isSuperseded.test(record)
        || nowNanos - slot.unchangedSinceNanos >= rules.claimAfterNanos();
  }

  /**
   * Returns whether an earlier incarnation of this host, or a lapsed lease of this one, holds it.
   */
  private boolean isOwnBefore(ShareRecord record) {
    return self.equals(record.holder()) && record.incarnation() <= incarnation;
  }

  private ShareAction begin(Slot slot, ShareAction.Type type, ShareRecord record) {
    slot.writing = true;
    return new ShareAction(type, slot.index, slot.version, record);
  }

  private int countHeldOrClaiming() {
    int count = 0;
    for (Slot slot : slots) {
      boolean claiming = slot.writing && !slot.held;
      if (claiming || (slot.held && !slot.draining)) {
        count++;
      }
    }
    return count;
  }

  private Slot slot(int share) {
    checkArgument(share >= 0 && share < slots.size(), "share %s does not exist", share);
    return slots.get(share);
  }
}
