package org.trefoilbarrow.transport.watch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Maps;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ObjectChange;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.transport.link.generated.LinkMessage;
import org.trefoilbarrow.transport.link.generated.ObjectChangeMessage;
import org.trefoilbarrow.transport.link.generated.WatchMessage;
import org.trefoilbarrow.transport.link.generated.WatchResultMessage;

/** Converts watches and their results from and to messages. */
final class WatchMessages {
  private static final Map<String, ObjectKind> KINDS =
      Maps.uniqueIndex(Arrays.asList(ObjectKind.values()), ObjectKind::collection);

  private WatchMessages() {}

  static LinkMessage watch(long number, ObjectKind kind, long afterRevision, Duration wait) {
    return LinkMessage.watch(
        new WatchMessage(number, kind.collection(), afterRevision, wait.toMillis()));
  }

  /** Returns the collection that is watched; empty if this host does not know it. */
  static Optional<ObjectKind> kindOf(WatchMessage watch) {
    return Optional.ofNullable(KINDS.get(watch.getCollection()));
  }

  /** Returns the result of a watch; an absent batch tells the receiver to ask the platform. */
  static LinkMessage result(long number, Optional<ChangeBatch> batch) {
    WatchResultMessage result = new WatchResultMessage(number);
    batch.ifPresent(
        found ->
            result
                .setRevision(found.revision())
                .setChanges(found.changes().stream().map(WatchMessages::toMessage).toList()));
    return LinkMessage.watchResult(result);
  }

  private static ObjectChangeMessage toMessage(ObjectChange change) {
    ObjectChangeMessage message = new ObjectChangeMessage(change.name(), change.version());
    change.value().ifPresent(message::setValue);
    return message;
  }

  static Optional<ChangeBatch> batchOf(WatchResultMessage result) {
    if (!result.isSetRevision()) {
      return Optional.empty();
    }
    return Optional.of(
        new ChangeBatch(
            result.getRevision(),
            result.getChanges().stream()
                .map(WatchMessages::toChange)
                .collect(ImmutableList.toImmutableList())));
  }

  private static ObjectChange toChange(ObjectChangeMessage message) {
    return new ObjectChange(
        message.getName(), message.getVersion(), Optional.ofNullable(message.getValue()));
  }
}
