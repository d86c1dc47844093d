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

/** Reads and writes the records of shares as a {@link ShareLeases} asks. Used by one thread. */
public final class ShareAgent {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int WRITE_ATTEMPTS = 3;

  private final Platform platform;
  private final ConfirmedWrites writes;
  private final ShareLeases keeper;
  private final HostId self;
  private final MembershipView membership;
  private final IntPredicate isDrained;
  private final BooleanSupplier isLeaving;
  private final Consumer<Set<Integer>> onUsable;
  private final Duration readEvery;
  private final LongSupplier nanoClock;
  private long readAtNanos;
  private boolean everRead;

  /**
   * Creates an agent.
   *
   * @param isDrained tells of a share that no work in progress needs it any more
   * @param onUsable takes the shares that may be used, after each step
   * @param readEvery how often all records are read
   */
  public ShareAgent(
      Platform platform,
      ConfirmedWrites writes,
      ShareLeases keeper,
      HostId self,
      MembershipView membership,
      IntPredicate isDrained,
      BooleanSupplier isLeaving,
      Consumer<Set<Integer>> onUsable,
      Duration readEvery,
      LongSupplier nanoClock) {
    this.platform = checkNotNull(platform, "platform");
    this.writes = checkNotNull(writes, "writes");
    this.keeper = checkNotNull(keeper, "keeper");
    this.self = checkNotNull(self, "self");
    this.membership = checkNotNull(membership, "membership");
    this.isDrained = checkNotNull(isDrained, "isDrained");
    this.isLeaving = checkNotNull(isLeaving, "isLeaving");
    this.onUsable = checkNotNull(onUsable, "onUsable");
    this.readEvery = checkNotNull(readEvery, "readEvery");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /** Tells which shares may be used now; it needs no platform and must run often. */
  public void publishUsable() {
    onUsable.accept(
        keeper.usable(nanoClock.getAsLong()).stream()
            .map(HeldShare::index)
            .collect(Collectors.toSet()));
  }

  /** Reads the records when it is time, and makes the writes that the keeper asks for. */
  public void step() {
    long now = nanoClock.getAsLong();
    if (!everRead || now - readAtNanos >= readEvery.toNanos()) {
      readAll();
    }
    for (ShareAction action : plan()) {
      write(action);
    }
    publishUsable();
  }

  private List<ShareAction> plan() {
    long now = nanoClock.getAsLong();
    return keeper.plan(
        wanted(now),
        record ->
            record.holder() != null
                && membership.isSuperseded(record.holder(), record.incarnation()),
        isDrained,
        now);
  }

  /** Returns this host's even part of the shares, or none when it leaves. */
  private int wanted(long nowNanos) {
    if (isLeaving.getAsBoolean()) {
      return 0;
    }
    return FairShareCount.of(
        keeper.count(),
        self,
        membership.livePeers(nowNanos).stream().map(HostStatus::host).toList());
  }

  private void readAll() {
    List<VersionedObject> objects =
        CollectionReader.readAll(platform, ObjectKind.SHARE, "").objects();
    long now = nanoClock.getAsLong();
    Set<Integer> present = new HashSet<>();
    for (VersionedObject object : objects) {
      int share = Integer.parseInt(object.name());
      if (share < keeper.count()) {
        present.add(share);
        ShareRecord record = JsonCodec.decode(object.value(), ShareRecord.class);
        keeper.observe(share, object.version(), record, now);
      }
    }
    for (int share = 0; share < keeper.count(); share++) {
      if (!present.contains(share)) {
        keeper.observe(share, Platform.ABSENT, ShareRecord.neverHeld(), now);
      }
    }
    readAtNanos = now;
    everRead = true;
  }

  private void write(ShareAction action) {
    long sentAt = nanoClock.getAsLong();
    long version = 0;
    try {
      WriteOutcome written =
          writes.write(
              ObjectKind.SHARE,
              String.format("%04d", action.share()),
              action.expectedVersion(),
              JsonCodec.encode(action.record()),
              WRITE_ATTEMPTS);
      version = written.version();
      if (!written.isApplied()) {
        // The keeper goes on from what the platform holds.
        everRead = false;
      }
    } finally {
      keeper.onWritten(action, sentAt, version, nanoClock.getAsLong());
    }
    if (version > 0 && action.type() != ShareAction.Type.RENEW) {
      logger.atInfo().log("shares: %s of share %s", action.type(), action.share());
    }
  }
}
