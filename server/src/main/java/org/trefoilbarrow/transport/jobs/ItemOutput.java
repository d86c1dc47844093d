package org.trefoilbarrow.transport.jobs;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.trefoilbarrow.transport.forward.EventStream;

/**
 * The output of a batch item as far as it has been received: the data of the events of one stream,
 * which may come from several runs, each resumed after the last event of the one before. Not
 * thread-safe.
 */
final class ItemOutput {
  private final StringBuilder text = new StringBuilder();
  private Optional<String> lastEventId = Optional.empty();
  private Optional<String> streamType = Optional.empty();
  private boolean hasData;

  /** Returns the identifier of the last event, after which a run is resumed. */
  Optional<String> lastEventId() {
    return lastEventId;
  }

  /** Returns the data of all events, separated by line feeds. */
  String text() {
    return text.toString();
  }

  /** Returns the number of characters of {@link #text}. */
  int length() {
    return text.length();
  }

  /**
   * Returns whether a response may begin the output or go on with it.
   *
   * @param type the media type of the response
   */
  boolean isContinuedBy(int status, Optional<String> type) {
    return status == HttpResponseStatus.OK.code()
        && (lastEventId.isEmpty() || type.equals(streamType));
  }

  /** Appends an event, unless it was received before or has no identifier. */
  void append(EventStream.Event event, Optional<String> type) {
    if (event.id().isEmpty() || !event.isAfter(lastEventId)) {
      return;
    }
    lastEventId = event.id();
    streamType = type;
    event.data().ifPresent(this::appendData);
  }

  private void appendData(String data) {
    if (hasData) {
      text.append('\n');
    }
    hasData = true;
    text.append(data);
  }

  /** Discards what was received, since it is no output; the item starts from its beginning. */
  void discard() {
    text.setLength(0);
    text.trimToSize();
    hasData = false;
    lastEventId = Optional.empty();
    streamType = Optional.empty();
  }
}
