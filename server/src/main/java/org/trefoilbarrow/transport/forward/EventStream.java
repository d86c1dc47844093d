package org.trefoilbarrow.transport.forward;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Splits the body of a server-sent event stream into complete events. Only complete events are
 * returned, so that the stream can be resumed after the last of them. Not thread-safe.
 */
public final class EventStream {
  /** The most bytes of an incomplete event that are buffered. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
  private boolean lineIsEmpty = true;
  private boolean tooLong;

  /**
   * One event.
   *
   * @param bytes the event as received, including the empty line that ends it
   * @param id the event's identifier, if it has one
   * @param data the event's data lines, joined by line feeds; absent if there are none
   */
  public record Event(byte[] bytes, Optional<String> id, Optional<String> data) {
    /**
     * Returns whether this event comes after the event with the given identifier in the same
     * stream. Identifiers increase; those that are not numbers are only compared for equality.
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

  /** Returns the media type of a response without its parameters, in lower case, if stated. */
  public static Optional<String> typeOf(HttpResponse response) {
    return Optional.ofNullable(HttpUtil.getMimeType(response))
        .map(type -> Ascii.toLowerCase(type.toString().trim()));
  }

  /** Appends a part of the body and returns the events that it completes. */
  public ImmutableList<Event> append(ByteBuf part) {
    ImmutableList.Builder<Event> events = ImmutableList.builder();
    while (part.isReadable() && !tooLong) {
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

  /** Returns the bytes of the incomplete event that are buffered. */
  public int bufferedBytes() {
    return partial.size();
  }

  /** Returns whether an event exceeded the limit; nothing is read after that. */
  public boolean isTooLong() {
    return tooLong;
  }

  /** Returns whether the last event is incomplete, or an event exceeded the limit. */
  public boolean isInsideEvent() {
    return tooLong || partial.size() > 0;
  }
}
