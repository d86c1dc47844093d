package org.trefoilbarrow.transport.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.function.Supplier;
import org.trefoilbarrow.state.PlatformException;

/**
 * Detects outages of the platform by periodic cheap requests.
 *
 * <p>Because of it, watches may wait for long: when the platform answers again after an outage,
 * watches that it may have dropped can be restarted at once.
 */
public final class PlatformProbe {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The interval of a host on whose knowledge of the platform no other host depends. */
  public static final Duration INTERVAL = Duration.ofSeconds(2);

  private static final Duration INTERVAL_WHEN_LOST = Duration.ofMillis(400);

  private final Supplier<Duration> interval;
  private final Runnable request;
  private final Runnable onLost;
  private final Runnable onRegained;
  private boolean lost;

  /**
   * Creates a probe; {@link #start} starts it.
   *
   * @param interval the time between probes while the platform answers
   * @param request calls the platform, and throws {@link PlatformException} if it does not answer
   * @param onLost runs when the platform stops answering
   * @param onRegained runs when it answers again
   */
  public PlatformProbe(
      Supplier<Duration> interval, Runnable request, Runnable onLost, Runnable onRegained) {
    this.interval = checkNotNull(interval, "interval");
    this.request = checkNotNull(request, "request");
    this.onLost = checkNotNull(onLost, "onLost");
    this.onRegained = checkNotNull(onRegained, "onRegained");
  }

  /** Starts to probe on a thread of its own. */
  public void start() {
    Thread thread = new Thread(this::run, "platform-probe");
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    try {
      while (true) {
        Thread.sleep(probe().toMillis());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Probes once, and returns the delay until the next probe. */
  Duration probe() {
    try {
      request.run();
    } catch (PlatformException e) {
      if (!lost) {
        logger.atInfo().log("platform: probe failed: %s; assuming an outage", e.getMessage());
      }
      return reportLost();
    } catch (RuntimeException | Error e) {
      if (!lost) {
        logger.atSevere().withCause(e).log("platform: probe failed; assuming an outage");
      }
      return reportLost();
    }
    if (lost) {
      lost = false;
      onRegained.run();
    }
    return interval.get();
  }

  private Duration reportLost() {
    if (!lost) {
      lost = true;
      onLost.run();
    }
    return INTERVAL_WHEN_LOST;
  }
}
