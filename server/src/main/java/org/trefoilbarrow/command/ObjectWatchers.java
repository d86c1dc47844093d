package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

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
  private final Platform platform;
  private final EventLoop loop;
  private final Duration watchWait;
  private final Runnable onFirstRead;

  /**
   * Creates a factory of watchers.
   *
   * @param onFirstRead runs on the loop after a collection was read for the first time
   */
  ObjectWatchers(Platform platform, EventLoop loop, Duration watchWait, Runnable onFirstRead) {
    this.platform = checkNotNull(platform, "platform");
    this.loop = checkNotNull(loop, "loop");
    this.watchWait = checkNotNull(watchWait, "watchWait");
    this.onFirstRead = checkNotNull(onFirstRead, "onFirstRead");
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
    ObjectTracker tracker = new ObjectTracker(onPut, onDelete);
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
    private final Consumer<VersionedObject> onPut;
    private final Consumer<String> onDelete;
    private final Set<String> knownNames = new HashSet<>();
    private boolean wasRead;

    ObjectTracker(Consumer<VersionedObject> onPut, Consumer<String> onDelete) {
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
      if (!wasRead) {
        wasRead = true;
        onFirstRead.run();
      }
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
      onPut.accept(object);
    }

    private void delete(String name) {
      if (knownNames.remove(name)) {
        onDelete.accept(name);
      }
    }
  }
}
