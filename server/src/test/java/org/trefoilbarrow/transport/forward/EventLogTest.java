package org.trefoilbarrow.transport.forward;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** Checks that {@link EventLog} loses no lines at exit and never blocks its callers. */
public final class EventLogTest {
  private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(20);

  @Test
  public void flushWaitsUntilAllLinesAreWritten() throws Exception {
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    EventLog log = new EventLog(new PrintStream(written, false, UTF_8), () -> 7);
    log.start();
    for (int line = 0; line < 1000; line++) {
      log.add("host", "end", "line", line);
    }
    log.flush(FLUSH_TIMEOUT);
    String text = written.toString(UTF_8);
    assertEquals(text.lines().count(), 1000);
    assertTrue(text.endsWith("{\"at\":7,\"part\":\"host\",\"event\":\"end\",\"line\":999}\n"));
  }

  @Test
  public void addDropsLinesInsteadOfBlockingOnBlockedOutput() throws Exception {
    CountDownLatch unblocked = new CountDownLatch(1);
    OutputStream blocked =
        new OutputStream() {
          @Override
          public void write(int next) {
            try {
              unblocked.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        };
    EventLog log = new EventLog(new PrintStream(blocked, false, UTF_8), () -> 7);
    log.start();
    for (int line = 0; line < 10_000; line++) {
      log.add("host", "start");
    }
    log.flush(Duration.ofMillis(10));
    assertTrue(log.droppedCount() > 0);
    unblocked.countDown();
  }
}
