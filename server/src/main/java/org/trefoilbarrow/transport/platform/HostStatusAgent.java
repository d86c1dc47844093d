package org.trefoilbarrow.transport.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.state.CollectionReader;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.VersionedObject;

/**
 * Writes this host's status to the platform and reads those of the other hosts.
 *
 * <p>Status records without an update for an hour are removed. Used by one thread.
 */
public final class HostStatusAgent {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration REMOVE_AFTER = Duration.ofHours(1);

  private final Platform platform;
  private final MembershipView membership;
  private final HostStatus template;
  private final BooleanSupplier isLeaving;
  private final LongSupplier nanoClock;
  private final Map<String, ObservedVersion> observedVersions = new HashMap<>();
  private long ownVersion = Platform.ABSENT;
  private long heartbeat;

  private record ObservedVersion(long version, long firstSeenNanos) {}

  /**
   * Creates an agent.
   *
   * @param template the status of this host at its start
   */
  public HostStatusAgent(
      Platform platform,
      MembershipView membership,
      HostStatus template,
      BooleanSupplier isLeaving,
      LongSupplier nanoClock) {
    this.platform = checkNotNull(platform, "platform");
    this.membership = checkNotNull(membership, "membership");
    this.template = checkNotNull(template, "template");
    this.isLeaving = checkNotNull(isLeaving, "isLeaving");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /** Writes this host's status and reads all others. */
  public void exchange() {
    writeOwn();
    readOthers();
  }

  /** Removes this host's status, as the last step of a shutdown. */
  public void remove() {
    try {
      platform
          .read(ObjectKind.HOST, template.host().value())
          .ifPresent(o -> platform.delete(ObjectKind.HOST, o.name(), o.version()));
    } catch (PlatformException e) {
      logger.atInfo().log(
          "membership: own status not removed from the platform: %s", e.getMessage());
    }
  }

  private void writeOwn() {
    String name = template.host().value();
    String value = JsonCodec.encode(currentStatus());
    Optional<Long> written = platform.write(ObjectKind.HOST, name, ownVersion, value);
    if (written.isEmpty()) {
      ownVersion =
          platform
              .read(ObjectKind.HOST, name)
              .map(VersionedObject::version)
              .orElse(Platform.ABSENT);
      written = platform.write(ObjectKind.HOST, name, ownVersion, value);
    }
    written.ifPresent(version -> ownVersion = version);
  }

  private HostStatus currentStatus() {
    return new HostStatus(
        template.host(),
        template.incarnation(),
        template.peerAddress(),
        template.callerAddress(),
        template.failureDomain(),
        isLeaving.getAsBoolean(),
        ++heartbeat);
  }

  private void readOthers() {
    long nowNanos = nanoClock.getAsLong();
    Set<String> present = new HashSet<>();
    for (VersionedObject object :
        CollectionReader.readAll(platform, ObjectKind.HOST, "").objects()) {
      present.add(object.name());
      membership.onStatus(JsonCodec.decode(object.value(), HostStatus.class), nowNanos);
      removeIfStale(object, nowNanos);
    }
    for (String name : Set.copyOf(observedVersions.keySet())) {
      if (!present.contains(name)) {
        observedVersions.remove(name);
        membership.onUnlisted(HostId.of(name));
      }
    }
  }

  private void removeIfStale(VersionedObject object, long nowNanos) {
    ObservedVersion observed = observedVersions.get(object.name());
    if (observed == null || observed.version() != object.version()) {
      observedVersions.put(object.name(), new ObservedVersion(object.version(), nowNanos));
      return;
    }
    if (nowNanos - observed.firstSeenNanos() >= REMOVE_AFTER.toNanos()) {
      platform.delete(ObjectKind.HOST, object.name(), object.version());
    }
  }
}
