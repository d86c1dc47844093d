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

/** Makes watchers that hand the objects of a collection one by one to the event loop. */
final class ObjectWatchers {
  private final Platform platform;
  private final EventLoop loop;
  private final Duration watchWait;
  private final Runnable onFirstRead;

  /**
   * Creates the maker.
   *
   * @param onFirstRead runs on the loop when a collection was read for the first time
   */
  ObjectWatchers(Platform platform, EventLoop loop, Duration watchWait, Runnable onFirstRead) {
    this.platform = checkNotNull(platform, "platform");
    this.loop = checkNotNull(loop, "loop");
    this.watchWait = checkNotNull(watchWait, "watchWait");
    this.onFirstRead = checkNotNull(onFirstRead, "onFirstRead");
  }

  /** Returns a watcher that does not watch yet and begins the next watch at once. */
  CollectionWatcher of(
      ObjectKind kind, Consumer<VersionedObject> onPut, Consumer<String> onDelete) {
    return of(kind, onPut, onDelete, Duration.ZERO);
  }

  /**
   * Returns a watcher that does not watch yet.
   *
   * @param onPut takes an object that is new or has changed
   * @param onDelete takes the name of an object that is gone
   * @param pauseAfterChanges how long after changes the next watch begins
   */
  CollectionWatcher of(
      ObjectKind kind,
      Consumer<VersionedObject> onPut,
      Consumer<String> onDelete,
      Duration pauseAfterChanges) {
    Feed feed = new Feed(onPut, onDelete);
    return new CollectionWatcher(
        platform,
        kind,
        page -> loop.execute(() -> feed.takeWhole(page)),
        batch -> loop.execute(() -> feed.takeChanges(batch)),
        () -> {},
        watchWait,
        pauseAfterChanges);
  }

  private final class Feed {
    private final Consumer<VersionedObject> onPut;
    private final Consumer<String> onDelete;
    private final Set<String> known = new HashSet<>();
    private boolean read;

    Feed(Consumer<VersionedObject> onPut, Consumer<String> onDelete) {
      this.onPut = checkNotNull(onPut, "onPut");
      this.onDelete = checkNotNull(onDelete, "onDelete");
    }

    void takeWhole(ObjectPage page) {
      Set<String> gone = new HashSet<>(known);
      for (VersionedObject object : page.objects()) {
        gone.remove(object.name());
        put(object);
      }
      gone.forEach(this::delete);
      if (!read) {
        read = true;
        onFirstRead.run();
      }
    }

    void takeChanges(ChangeBatch batch) {
      for (ObjectChange change : batch.changes()) {
        if (change.value().isPresent()) {
          put(new VersionedObject(change.name(), change.version(), change.value().get()));
        } else {
          delete(change.name());
        }
      }
    }

    private void put(VersionedObject object) {
      known.add(object.name());
      onPut.accept(object);
    }

    private void delete(String name) {
      if (known.remove(name)) {
        onDelete.accept(name);
      }
    }
  }
}
