package org.trefoilbarrow.transport.forward;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Cuts the body of an event stream into whole events, so that no part of an event is passed on and
 * the stream can go on after its last whole event. Not thread-safe.
 */
public final class EventStream {
  /** The most bytes of one event that are kept until it is whole. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
  private boolean lineIsEmpty = true;
  private boolean tooLong;

  /**
   * One event.
   *
   * @param bytes the event as it came, with the empty line that ends it
   * @param id the event's identifier, if it has one
   * @param data the event's data lines, joined by line feeds; absent if there are none
   */
  public record Event(byte[] bytes, Optional<String> id, Optional<String> data) {
    /**
     * Returns whether the event comes after another of the same stream. Identifiers grow; those
     * that are not numbers are only compared for equality.
     */
    public boolean isAfter(Optional<String> last) {
      if (last.isEmpty() || id.isEmpty()) {
        return true;
      }
      Long number = Longs.tryParse(id.get());
      Long lastNumber = Longs.tryParse(last.get());
      return number == null || lastNumber == null ? !id.equals(last) : number > lastNumber;
    }

    static Event parse(byte[] bytes) {
      Optional<String> id = Optional.empty();
      StringBuilder data = null;
      for (String line : new String(bytes, UTF_8).split("\r?\n", -1)) {
        if (line.startsWith("id:")) {
          id = Optional.of(value(line, "id:"));
        } else if (line.startsWith("data:")) {
          data = data == null ? new StringBuilder() : data.append('\n');
          data.append(value(line, "data:"));
        }
      }
      return new Event(bytes, id, Optional.ofNullable(data).map(StringBuilder::toString));
    }

    private static String value(String line, String field) {
      String value = line.substring(field.length());
      return value.startsWith(" ") ? value.substring(1) : value;
    }
  }

  /** Takes a part of the body and returns the events that it completes. */
  public ImmutableList<Event> take(ByteBuf part) {
    ImmutableList.Builder<Event> events = ImmutableList.builder();
    while (part.isReadable()) {
      byte next = part.readByte();
      partial.write(next);
      if (next == '\n') {
        if (lineIsEmpty) {
          events.add(Event.parse(partial.toByteArray()));
          partial.reset();
        }
        lineIsEmpty = true;
      } else if (next != '\r') {
        lineIsEmpty = false;
      }
      if (partial.size() > MAX_EVENT_BYTES) {
        tooLong = true;
        partial.reset();
      }
    }
    return events.build();
  }

  /** Returns whether an event began that is not whole. */
  public boolean isInsideEvent() {
    return tooLong || partial.size() > 0;
  }
}
