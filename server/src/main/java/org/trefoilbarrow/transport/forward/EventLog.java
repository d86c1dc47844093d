package org.trefoilbarrow.transport.forward;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * A log of events, written as one JSON object per line. {@link #add} never blocks: when the buffer
 * is full, lines are dropped and counted. Thread-safe.
 */
public final class EventLog {
  private static final int MAX_BUFFERED_LINES = 4096;
  private static final JsonFactory JSON = new JsonFactory();

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_BUFFERED_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong unwritten = new AtomicLong();
  private final PrintStream output;
  private final LongSupplier milliClock;

  /** Creates a log that buffers lines until {@link #start} is called. */
  public EventLog(PrintStream output, LongSupplier milliClock) {
    this.output = output;
    this.milliClock = milliClock;
  }

  /** Starts the thread that writes the lines. */
  public void start() {
    Thread writer = new Thread(this::write, "event-log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Adds a line.
   *
   * @param part the part of the program, such as {@code forward}
   * @param event what happened
   * @param fields names and values, alternating
   */
  public void add(String part, String event, Object... fields) {
    unwritten.incrementAndGet();
    if (!lines.offer(encode(part, event, fields))) {
      unwritten.decrementAndGet();
      dropped.incrementAndGet();
    }
  }

  /**
   * Waits until all lines are written or the limit has passed.
   *
   * @param limit the longest wait; lines not written by then are lost if the process exits
   */
  public void flush(Duration limit) throws InterruptedException {
    for (long waited = 0; waited < limit.toMillis() && unwritten.get() > 0; waited++) {
      Thread.sleep(1);
    }
  }

  /** Returns the number of lines that were dropped. */
  public long droppedCount() {
    return dropped.get();
  }

  private String encode(String part, String event, Object... fields) {
    StringWriter text = new StringWriter(160);
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      json.writeNumberField("at", milliClock.getAsLong());
      json.writeStringField("part", part);
      json.writeStringField("event", event);
      for (int index = 0; index + 1 < fields.length; index += 2) {
        json.writeFieldName(String.valueOf(fields[index]));
        Object value = fields[index + 1];
        if (value instanceof Integer || value instanceof Long) {
          json.writeNumber(((Number) value).longValue());
        } else if (value instanceof Boolean flag) {
          json.writeBoolean(flag);
        } else {
          json.writeString(String.valueOf(value));
        }
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(
          "cannot encode event \"" + event + "\" of \"" + part + "\" as JSON", e);
    }
    return text.toString();
  }

  private void write() {
    long reportedDrops = 0;
    try {
      while (true) {
        StringBuilder batch = new StringBuilder(lines.take()).append('\n');
        int count = 1;
        for (String next = lines.poll(); next != null; next = lines.poll()) {
          batch.append(next).append('\n');
          count++;
        }
        long totalDrops = dropped.get();
        if (totalDrops != reportedDrops) {
          batch.append(encode("log", "dropped", "lines", totalDrops - reportedDrops)).append('\n');
          reportedDrops = totalDrops;
        }
        output.append(batch);
        output.flush();
        unwritten.addAndGet(-count);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
