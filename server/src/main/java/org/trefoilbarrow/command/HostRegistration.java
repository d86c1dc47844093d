package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.transport.forward.EventLog;
import org.trefoilbarrow.transport.link.PeerAddress;

/**
 * Registers a host at the platform, and confirms to operators that a host was removed.
 *
 * <p>Calls to the platform run on the executor and are retried until they succeed.
 */
final class HostRegistration {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  private final Platform platform;
  private final PeerAddress self;
  private final String removalCompletedStatus;
  private final EventLoop loop;
  private final Executor executor;
  private final BooleanSupplier leaving;
  private final EventLog log;

  /**
   * Creates the registration of a host that is not registered yet.
   *
   * @param removalCompletedStatus the status of a machine that is empty
   * @param leaving whether the host is leaving, and must not be registered any more
   */
  HostRegistration(
      Platform platform,
      PeerAddress self,
      String removalCompletedStatus,
      EventLoop loop,
      Executor executor,
      BooleanSupplier leaving,
      EventLog log) {
    this.platform = checkNotNull(platform, "platform");
    this.self = checkNotNull(self, "self");
    this.removalCompletedStatus = checkNotNull(removalCompletedStatus, "removalCompletedStatus");
    this.loop = checkNotNull(loop, "loop");
    this.executor = checkNotNull(executor, "executor");
    this.leaving = checkNotNull(leaving, "leaving");
    this.log = checkNotNull(log, "log");
  }

  /** Registers the host, replacing the entry of an earlier incarnation. */
  void register() {
    executor.execute(this::tryRegister);
  }

  /** Removes the entry of a host, if there is one, and confirms that its machine is empty. */
  void confirmRemoval(HostId host) {
    executor.execute(() -> tryConfirmRemoval(host));
  }

  private void tryRegister() {
    if (leaving.getAsBoolean()) {
      return;
    }
    String name = self.host().value();
    try {
      long version =
          platform
              .read(ObjectKind.HOST, name)
              .map(VersionedObject::version)
              .orElse(Platform.ABSENT);
      if (platform.write(ObjectKind.HOST, name, version, JsonCodec.encode(self)).isPresent()) {
        log.add("host", "registered", "host", self.host());
        return;
      }
    } catch (PlatformException e) {
      logger.atFine().log(
          "host: %s was not registered; the call is repeated in %s ms: %s",
          name, RETRY_DELAY.toMillis(), e.getMessage());
    }
    retryLater(this::tryRegister);
  }

  /**
   * The platform stores everything that outlives a host, so a machine is empty once the other hosts
   * know that it is leaving.
   */
  private void tryConfirmRemoval(HostId host) {
    try {
      Optional<VersionedObject> listed = platform.read(ObjectKind.HOST, host.value());
      if (listed.isPresent()) {
        platform.delete(ObjectKind.HOST, host.value(), listed.get().version());
      }
      Optional<VersionedObject> removalRequest =
          platform.read(ObjectKind.HOST_REMOVAL, host.value());
      if (removalRequest.isPresent()) {
        platform.write(
            ObjectKind.HOST_REMOVAL,
            host.value(),
            removalRequest.get().version(),
            removalCompletedStatus);
      }
    } catch (PlatformException e) {
      logger.atInfo().log(
          "host: the removal of %s was not confirmed; the calls are repeated in %s ms: %s",
          host, RETRY_DELAY.toMillis(), e.getMessage());
      retryLater(() -> tryConfirmRemoval(host));
    }
  }

  private void retryLater(Runnable task) {
    loop.schedule(() -> executor.execute(task), RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
  }
}
