package org.trefoilbarrow.transport.watch;

import java.time.Duration;
import java.util.Optional;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ObjectChange;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.transport.link.generated.LinkMessage;
import org.trefoilbarrow.transport.link.generated.ObjectChangeMessage;
import org.trefoilbarrow.transport.link.generated.WatchMessage;
import org.trefoilbarrow.transport.link.generated.WatchResultMessage;

/** Converts watches and their results from and to messages. */
final class WatchMessages {
  private WatchMessages() {}

  static LinkMessage watch(long number, ObjectKind kind, long afterRevision, Duration wait) {
    return LinkMessage.watch(
        new WatchMessage(number, kind.collection(), afterRevision, wait.toMillis()));
  }

  /** Returns the collection that is watched; empty if this host does not know it. */
  static Optional<ObjectKind> kindOf(WatchMessage watch) {
    return ObjectKind.ofCollection(watch.getCollection());
  }

  /** Returns the result of a watch. */
  static LinkMessage result(long number, WatchAnswer answer) {
    WatchResultMessage result = new WatchResultMessage(number);
    if (answer instanceof WatchAnswer.Changes changes) {
      result
          .setRevision(changes.batch().revision())
          .setChanges(changes.batch().changes().stream().map(WatchMessages::toMessage).toList());
    } else if (answer instanceof WatchAnswer.Snapshot snapshot) {
      result
          .setRevision(snapshot.page().revision())
          .setChanges(snapshot.page().objects().stream().map(WatchMessages::toMessage).toList())
          .setSnapshot(true);
    }
    return LinkMessage.watchResult(result);
  }

  private static ObjectChangeMessage toMessage(VersionedObject object) {
    return new ObjectChangeMessage(object.name(), object.version()).setValue(object.value());
  }

  private static ObjectChangeMessage toMessage(ObjectChange change) {
    ObjectChangeMessage message = new ObjectChangeMessage(change.name(), change.version());
    change.value().ifPresent(message::setValue);
    return message;
  }

  /** Returns the answer that a result holds. */
  static WatchAnswer answerOf(WatchResultMessage result) {
    if (!result.isSetRevision()) {
      return WatchAnswer.UNAVAILABLE;
    }
    if (result.isSnapshot()) {
      return new WatchAnswer.Snapshot(
          new ObjectPage(
              result.getRevision(),
              result.getChanges().stream().map(WatchMessages::toObject).toList(),
              true));
    }
    return new WatchAnswer.Changes(
        new ChangeBatch(
            result.getRevision(),
            result.getChanges().stream().map(WatchMessages::toChange).toList()));
  }

  private static VersionedObject toObject(ObjectChangeMessage message) {
    return new VersionedObject(message.getName(), message.getVersion(), message.getValue());
  }

  private static ObjectChange toChange(ObjectChangeMessage message) {
    return new ObjectChange(
        message.getName(), message.getVersion(), Optional.ofNullable(message.getValue()));
  }
}
