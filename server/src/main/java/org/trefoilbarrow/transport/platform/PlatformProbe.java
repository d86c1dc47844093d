package org.trefoilbarrow.transport.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.trefoilbarrow.state.PlatformException;

/**
 * Asks the platform a cheap question again and again. Watches may then wait for long: when the
 * platform answers again after it did not, watches that may have been forgotten are begun anew.
 */
public final class PlatformProbe {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration EVERY = Duration.ofSeconds(2);
  private static final Duration EVERY_WHEN_LOST = Duration.ofMillis(400);

  private final Runnable question;
  private final Runnable onLost;
  private final Runnable onRegained;
  private boolean lost;

  /**
   * Creates a probe; {@link #start} begins to ask.
   *
   * @param question asks the platform, and throws {@link PlatformException} if it does not answer
   * @param onLost runs when the platform stops answering
   * @param onRegained runs when it answers again
   */
  public PlatformProbe(Runnable question, Runnable onLost, Runnable onRegained) {
    this.question = checkNotNull(question, "question");
    this.onLost = checkNotNull(onLost, "onLost");
    this.onRegained = checkNotNull(onRegained, "onRegained");
  }

  /** Begins to ask on a thread of its own. */
  public void start() {
    Thread thread = new Thread(this::run, "platform-probe");
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    try {
      while (true) {
        Thread.sleep(ask().toMillis());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Asks once, and returns after what time to ask again. */
  Duration ask() {
    try {
      question.run();
    } catch (PlatformException e) {
      if (!lost) {
        logger.atInfo().log("platform: no answer to a probe: %s", e.getMessage());
        lost = true;
        onLost.run();
      }
      return EVERY_WHEN_LOST;
    }
    if (lost) {
      lost = false;
      onRegained.run();
    }
    return EVERY;
  }
}
