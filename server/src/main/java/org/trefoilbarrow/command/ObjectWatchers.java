package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ObjectChange;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.transport.platform.CollectionWatcher;

/** Creates watchers that pass the objects of a collection one by one to the event loop. */
final class ObjectWatchers {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Platform platform;
  private final EventLoop loop;
  private final Duration watchWait;
  private final Consumer<ObjectKind> onRead;

  /**
   * Creates a factory of watchers.
   *
   * @param onRead runs on the loop after each read of a whole collection
   */
  ObjectWatchers(
      Platform platform, EventLoop loop, Duration watchWait, Consumer<ObjectKind> onRead) {
    this.platform = checkNotNull(platform, "platform");
    this.loop = checkNotNull(loop, "loop");
    this.watchWait = checkNotNull(watchWait, "watchWait");
    this.onRead = checkNotNull(onRead, "onRead");
  }

  /** Returns a watcher that is not started yet, without a delay between changes and next watch. */
  CollectionWatcher of(
      ObjectKind kind, Consumer<VersionedObject> onPut, Consumer<String> onDelete) {
    return of(kind, onPut, onDelete, Duration.ZERO);
  }

  /**
   * Returns a watcher that is not started yet.
   *
   * @param onPut receives each object that is new or has changed
   * @param onDelete receives the name of each deleted object
   * @param delayAfterChanges the delay between changes and the next watch
   */
  CollectionWatcher of(
      ObjectKind kind,
      Consumer<VersionedObject> onPut,
      Consumer<String> onDelete,
      Duration delayAfterChanges) {
    ObjectTracker tracker = new ObjectTracker(kind, onPut, onDelete);
    return new CollectionWatcher(
        platform,
        kind,
        page -> loop.execute(() -> tracker.onSnapshot(page)),
        batch -> loop.execute(() -> tracker.onChanges(batch)),
        () -> {},
        watchWait,
        delayAfterChanges);
  }

  private final class ObjectTracker {
    private final ObjectKind kind;
    private final Consumer<VersionedObject> onPut;
    private final Consumer<String> onDelete;
    private final Set<String> knownNames = new HashSet<>();

    ObjectTracker(ObjectKind kind, Consumer<VersionedObject> onPut, Consumer<String> onDelete) {
      this.kind = checkNotNull(kind, "kind");
      this.onPut = checkNotNull(onPut, "onPut");
      this.onDelete = checkNotNull(onDelete, "onDelete");
    }

    void onSnapshot(ObjectPage page) {
      Set<String> deleted = new HashSet<>(knownNames);
      for (VersionedObject object : page.objects()) {
        deleted.remove(object.name());
        put(object);
      }
      deleted.forEach(this::delete);
      onRead.accept(kind);
    }

    void onChanges(ChangeBatch batch) {
      for (ObjectChange change : batch.changes()) {
        if (change.value().isPresent()) {
          put(new VersionedObject(change.name(), change.version(), change.value().get()));
        } else {
          delete(change.name());
        }
      }
    }

    private void put(VersionedObject object) {
      knownNames.add(object.name());
      handle(object.name(), () -> onPut.accept(object));
    }

    private void delete(String name) {
      if (knownNames.remove(name)) {
        handle(name, () -> onDelete.accept(name));
      }
    }

    /** Runs the handler of one object; its failure concerns none of the others. */
    private void handle(String name, Runnable handler) {
      try {
        handler.run();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log(
            "platform: cannot handle object \"%s\" of %s; ignoring it", name, kind.collection());
      }
    }
  }
}
