package org.trefoilbarrow.transport.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Maps;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ChangeLog;
import org.trefoilbarrow.state.CollectionCopy;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.transport.link.PlacementClient;
import org.trefoilbarrow.transport.link.generated.LinkMessage;
import org.trefoilbarrow.transport.link.generated.WatchMessage;

/**
 * Serves the watches of other hosts from the changes that this host's own watches returned. Changes
 * that it has are sent at once. While this host is not sure to hear from the platform, it knows of
 * no further ones, and tells the others to ask the platform themselves. Except where stated, used
 * only on the event loop's thread.
 */
public final class WatchRelay implements PlacementClient.MessageHandler {
  /**
   * How long receivers wait while this host reads a collection again, so that one list serves all
   * of them.
   */
  private static final Duration MAX_PAUSE = Duration.ofSeconds(1);

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /** The most characters of changes that are kept for one collection. */
  private static final long MAX_LOG_CHARACTERS = 1 << 20;

  private final EventLoop loop;
  private final BooleanSupplier connectedToPlatform;
  private final LongSupplier nanoClock;
  private final Map<ObjectKind, ChangeLog> logs;
  private final Map<ObjectKind, CollectionCopy> copies;
  private final Map<ObjectKind, List<Waiting>> waiting = new EnumMap<>(ObjectKind.class);
  private final Map<ObjectKind, Long> pausedSinceNanos = new ConcurrentHashMap<>();
  private long servedCount;

  /** A watch that waits for a change. */
  private record Waiting(long number, long afterRevision, long endNanos, Reply reply) {}

  /**
   * Creates a relay without changes; {@link #start} starts it.
   *
   * @param kinds the collections whose watches are served
   * @param connectedToPlatform whether the platform responded to this host within a time that the
   *     receivers of changes can bear to be behind
   */
  public WatchRelay(
      EventLoop loop,
      Collection<ObjectKind> kinds,
      BooleanSupplier connectedToPlatform,
      LongSupplier nanoClock) {
    this.loop = checkNotNull(loop, "loop");
    this.connectedToPlatform = checkNotNull(connectedToPlatform, "connectedToPlatform");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.logs = Maps.immutableEnumMap(Maps.toMap(kinds, kind -> new ChangeLog(MAX_LOG_CHARACTERS)));
    this.copies = Maps.immutableEnumMap(Maps.toMap(kinds, kind -> new CollectionCopy()));
  }

  /** Starts to end the watches whose wait is over. */
  public void start() {
    loop.scheduleAtFixedRate(
        this::endDue, CHECK_INTERVAL.toMillis(), CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Returns the number of watches that were answered. */
  public long servedCount() {
    return servedCount;
  }

  /** Records that a watch of this host begins. May be called on any thread. */
  void beginWatch(ObjectKind kind, long afterRevision) {
    ChangeLog log = logs.get(kind);
    if (log != null) {
      pausedSinceNanos.remove(kind);
      log.beginWatch(afterRevision);
    }
  }

  /** Records a page of a list that this host reads. May be called on any thread. */
  void addPage(ObjectKind kind, ObjectPage page, boolean first) {
    CollectionCopy copy = copies.get(kind);
    if (copy != null) {
      copy.addPage(page, first);
    }
  }

  /** Records what a watch of this host returned. May be called on any thread. */
  void append(ObjectKind kind, ChangeBatch batch) {
    ChangeLog log = logs.get(kind);
    if (log != null) {
      copies.get(kind).apply(batch);
      log.append(batch);
      loop.execute(() -> serveWaiting(kind));
    }
  }

  /**
   * Records that this host watches a collection no more until it has read it again. May be called
   * on any thread.
   */
  void pause(ObjectKind kind) {
    pausedSinceNanos.put(kind, nanoClock.getAsLong());
  }

  /**
   * Tells the hosts whose watches wait to ask the platform, after a watch of this host has failed.
   * May be called on any thread.
   */
  void endWaiting(ObjectKind kind) {
    loop.execute(
        () -> {
          List<Waiting> ended = waiting.remove(kind);
          if (ended != null) {
            ended.forEach(watch -> answer(watch.reply(), watch.number(), WatchAnswer.UNAVAILABLE));
          }
        });
  }

  @Override
  public void received(HostId from, LinkMessage message, Reply reply) {
    if (!message.isSetWatch()) {
      return;
    }
    WatchMessage watch = message.getWatch();
    Optional<ObjectKind> kind = WatchMessages.kindOf(watch).filter(logs::containsKey);
    if (kind.isEmpty()) {
      answer(reply, watch.getWatch(), WatchAnswer.UNAVAILABLE);
      return;
    }
    long endNanos =
        nanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(Math.max(0, watch.getWaitMillis()));
    Waiting added = new Waiting(watch.getWatch(), watch.getAfterRevision(), endNanos, reply);
    if (!serve(kind.get(), added)) {
      waiting.computeIfAbsent(kind.get(), key -> new ArrayList<>()).add(added);
    }
  }

  private void serveWaiting(ObjectKind kind) {
    List<Waiting> watches = waiting.get(kind);
    if (watches != null) {
      watches.removeIf(watch -> serve(kind, watch));
      waiting.remove(kind, ImmutableList.of());
    }
  }

  /** Answers a watch if it need not wait; returns whether it was answered. */
  private boolean serve(ObjectKind kind, Waiting watch) {
    Optional<ChangeBatch> batch = logs.get(kind).since(watch.afterRevision());
    if (batch.isPresent() && !batch.get().changes().isEmpty()) {
      answer(watch.reply(), watch.number(), new WatchAnswer.Changes(batch.get()));
      return true;
    }
    Long pausedNanos = pausedSinceNanos.get(kind);
    if (pausedNanos != null && nanoClock.getAsLong() - pausedNanos < MAX_PAUSE.toNanos()) {
      return false;
    }
    if (pausedNanos != null || !connectedToPlatform.getAsBoolean()) {
      answer(watch.reply(), watch.number(), WatchAnswer.UNAVAILABLE);
      return true;
    }
    boolean waits = batch.isPresent() && watch.endNanos() - nanoClock.getAsLong() > 0;
    if (!waits) {
      answer(
          watch.reply(),
          watch.number(),
          batch
              .map(changes -> changesAfter(kind, watch.afterRevision(), changes))
              .orElseGet(() -> snapshotAfter(kind, watch.afterRevision())));
    }
    return !waits;
  }

  /** Returns the changes, unless the receiver has read newer ones than this host knows. */
  private WatchAnswer changesAfter(ObjectKind kind, long revision, ChangeBatch changes) {
    return logs.get(kind).endRevision() < revision
        ? WatchAnswer.UNAVAILABLE
        : new WatchAnswer.Changes(changes);
  }

  /** Returns all objects, unless the receiver has newer ones. */
  private WatchAnswer snapshotAfter(ObjectKind kind, long revision) {
    return copies
        .get(kind)
        .snapshot()
        .filter(page -> page.revision() >= revision)
        .<WatchAnswer>map(WatchAnswer.Snapshot::new)
        .orElse(WatchAnswer.UNAVAILABLE);
  }

  private void endDue() {
    ImmutableList.copyOf(waiting.keySet()).forEach(this::serveWaiting);
  }

  private void answer(Reply reply, long number, WatchAnswer answer) {
    servedCount += answer.equals(WatchAnswer.UNAVAILABLE) ? 0 : 1;
    reply.send(WatchMessages.result(number, answer));
  }
}
