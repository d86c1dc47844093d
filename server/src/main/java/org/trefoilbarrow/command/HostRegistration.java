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
 * Lists a host at the platform, and answers operators that a machine is empty. Calls to the
 * platform run on the executor and are tried until they are answered.
 */
final class HostRegistration {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TRY_AGAIN = Duration.ofMillis(300);

  private final Platform platform;
  private final PeerAddress self;
  private final String removalCompletedStatus;
  private final EventLoop loop;
  private final Executor executor;
  private final BooleanSupplier leaving;
  private final EventLog log;

  /**
   * Creates the registration of a host that is not listed yet.
   *
   * @param removalCompletedStatus the status of a machine that is empty
   * @param leaving whether the host leaves, and is not to be listed any more
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

  /** Lists the host, in place of an earlier life of it. */
  void register() {
    executor.execute(this::tryRegister);
  }

  /** Takes a host from the list, if it is there, and says that its machine is empty. */
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
      logger.atFine().log("host: not registered yet: %s", e.getMessage());
    }
    again(this::tryRegister);
  }

  /** All that lasts lies at the platform, so a machine is empty once others know that it leaves. */
  private void tryConfirmRemoval(HostId host) {
    try {
      Optional<VersionedObject> listed = platform.read(ObjectKind.HOST, host.value());
      if (listed.isPresent()) {
        platform.delete(ObjectKind.HOST, host.value(), listed.get().version());
      }
      Optional<VersionedObject> asked = platform.read(ObjectKind.HOST_REMOVAL, host.value());
      if (asked.isPresent()) {
        platform.write(
            ObjectKind.HOST_REMOVAL, host.value(), asked.get().version(), removalCompletedStatus);
      }
    } catch (PlatformException e) {
      logger.atInfo().log("host: the removal is not confirmed yet: %s", e.getMessage());
      again(() -> tryConfirmRemoval(host));
    }
  }

  private void again(Runnable task) {
    loop.schedule(() -> executor.execute(task), TRY_AGAIN.toMillis(), TimeUnit.MILLISECONDS);
  }
}
