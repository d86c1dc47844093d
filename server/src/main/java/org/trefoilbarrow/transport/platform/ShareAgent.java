package org.trefoilbarrow.transport.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.coordination.share.FairShareCount;
import org.trefoilbarrow.coordination.share.HeldShare;
import org.trefoilbarrow.coordination.share.ShareAction;
import org.trefoilbarrow.coordination.share.ShareLeases;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.ShareRecord;
import org.trefoilbarrow.state.CollectionReader;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.WriteOutcome;

/**
 * Reads the records of shares from the platform and makes the writes that {@link ShareLeases}
 * plans. Used by one thread.
 */
public final class ShareAgent {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_WRITE_ATTEMPTS = 3;

  private final Platform platform;
  private final ConfirmedWrites writes;
  private final ShareLeases leases;
  private final HostId self;
  private final MembershipView membership;
  private final IntPredicate isDrained;
  private final BooleanSupplier isLeaving;
  private final Consumer<Set<Integer>> onUsable;
  private final Duration readEvery;
  private final LongSupplier nanoClock;
  private long readAtNanos;
  private boolean hasRead;

  /**
   * Creates an agent.
   *
   * @param isDrained returns whether no work in progress needs a share any more
   * @param onUsable receives the shares that may be used, after each step
   * @param readEvery the interval between two reads of all records
   */
  public ShareAgent(
      Platform platform,
      ConfirmedWrites writes,
      ShareLeases leases,
      HostId self,
      MembershipView membership,
      IntPredicate isDrained,
      BooleanSupplier isLeaving,
      Consumer<Set<Integer>> onUsable,
      Duration readEvery,
      LongSupplier nanoClock) {
    this.platform = checkNotNull(platform, "platform");
    this.writes = checkNotNull(writes, "writes");
    this.leases = checkNotNull(leases, "leases");
    this.self = checkNotNull(self, "self");
    this.membership = checkNotNull(membership, "membership");
    this.isDrained = checkNotNull(isDrained, "isDrained");
    this.isLeaving = checkNotNull(isLeaving, "isLeaving");
    this.onUsable = checkNotNull(onUsable, "onUsable");
    this.readEvery = checkNotNull(readEvery, "readEvery");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /** Reports which shares may be used now; it does not call the platform and must run often. */
  public void publishUsable() {
    onUsable.accept(
        leases.usable(nanoClock.getAsLong()).stream()
            .map(HeldShare::index)
            .collect(Collectors.toSet()));
  }

  /** Reads the records if the interval has passed, and makes the planned writes. */
  public void step() {
    long nowNanos = nanoClock.getAsLong();
    if (!hasRead || nowNanos - readAtNanos >= readEvery.toNanos()) {
      readAll();
    }
    for (ShareAction action : plan()) {
      write(action);
    }
    publishUsable();
  }

  private List<ShareAction> plan() {
    long nowNanos = nanoClock.getAsLong();
    return leases.plan(
        targetCount(nowNanos),
        record ->
            record.holder() != null
                && membership.isSuperseded(record.holder(), record.incarnation()),
        isDrained,
        nowNanos);
  }

  /** Returns this host's fair number of shares, or 0 if it is leaving. */
  private int targetCount(long nowNanos) {
    if (isLeaving.getAsBoolean()) {
      return 0;
    }
    return FairShareCount.of(
        leases.count(),
        self,
        membership.livePeers(nowNanos).stream().map(HostStatus::host).toList());
  }

  private void readAll() {
    List<VersionedObject> objects =
        CollectionReader.readAll(platform, ObjectKind.SHARE, "").objects();
    long nowNanos = nanoClock.getAsLong();
    Set<Integer> present = new HashSet<>();
    for (VersionedObject object : objects) {
      int share = Integer.parseInt(object.name());
      if (share < leases.count()) {
        present.add(share);
        ShareRecord record = JsonCodec.decode(object.value(), ShareRecord.class);
        leases.observe(share, object.version(), record, nowNanos);
      }
    }
    for (int share = 0; share < leases.count(); share++) {
      if (!present.contains(share)) {
        leases.observe(share, Platform.ABSENT, ShareRecord.neverHeld(), nowNanos);
      }
    }
    readAtNanos = nowNanos;
    hasRead = true;
  }

  private void write(ShareAction action) {
    long sentAtNanos = nanoClock.getAsLong();
    long version = 0;
    try {
      WriteOutcome written =
          writes.write(
              ObjectKind.SHARE,
              String.format("%04d", action.share()),
              action.expectedVersion(),
              JsonCodec.encode(action.record()),
              MAX_WRITE_ATTEMPTS);
      version = written.version();
      if (!written.isApplied()) {
        // Read the records again: the leases resume from what the platform holds.
        hasRead = false;
      }
    } finally {
      leases.onWritten(action, sentAtNanos, version, nanoClock.getAsLong());
    }
    if (version > 0 && action.type() != ShareAction.Type.RENEW) {
      logger.atInfo().log("shares: %s of share %s", action.type(), action.share());
    }
  }
}
