package org.trefoilbarrow.transport.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.state.PlatformException;

/**
 * Runs a step repeatedly on a thread of its own, with a fixed delay after each run. A step that
 * fails runs again after the delay.
 */
public final class PeriodicTask implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String name;
  private final Duration delay;
  private final Runnable step;
  private final Thread thread;
  private volatile boolean closed;

  /** Creates a task; {@link #start} starts it. */
  public PeriodicTask(String name, Duration delay, Runnable step) {
    this.name = checkNotNull(name, "name");
    this.delay = checkNotNull(delay, "delay");
    this.step = checkNotNull(step, "step");
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  /** Starts to run the step. */
  public void start() {
    thread.start();
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }

  private void run() {
    while (!closed) {
      try {
        step.run();
      } catch (PlatformException | ServiceException e) {
        logger.atFine().log("%s: step failed: %s", name, e.getMessage());
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("%s: step failed unexpectedly", name);
      }
      try {
        Thread.sleep(delay.toMillis());
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
