package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.fleet.Catalog;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.transport.forward.EventLog;
import org.trefoilbarrow.transport.forward.FleetDecoder;
import org.trefoilbarrow.transport.platform.CollectionRefresher;

/**
 * Keeps the configuration of a {@link FleetView} in step with the platform's.
 *
 * <p>A watch reports each change. Its answer may be lost, so decisions that cannot be taken back
 * ask for a read.
 */
final class CatalogFollower {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final FleetDecoder decoder;
  private final FleetView fleet;
  private final Runnable onNewer;
  private final EventLog log;
  private final CollectionRefresher refresher;

  /**
   * Creates a follower of a configuration that is not known yet.
   *
   * @param onNewer runs after a newer configuration has come into force
   * @param executor runs calls to the platform
   */
  CatalogFollower(
      Platform platform,
      FleetDecoder decoder,
      FleetView fleet,
      Runnable onNewer,
      Executor executor,
      EventLoop loop,
      EventLog log,
      LongSupplier nanoClock) {
    this.decoder = checkNotNull(decoder, "decoder");
    this.fleet = checkNotNull(fleet, "fleet");
    this.onNewer = checkNotNull(onNewer, "onNewer");
    this.log = checkNotNull(log, "log");
    this.refresher =
        new CollectionRefresher(
            platform, ObjectKind.CONFIGURATION, executor, loop, this::onRead, nanoClock);
  }

  /** Reads the configuration, so that it is known whether the cached one is the newest. */
  void confirm() {
    refresher.refresh();
  }

  /** Called on the loop when a watch reports a configuration. */
  void onChange(VersionedObject object) {
    apply(object);
  }

  private void onRead(ObjectPage page, long sinceNanos) {
    boolean isReadable = true;
    for (VersionedObject object : page.objects()) {
      isReadable &= apply(object);
    }
    if (isReadable) {
      fleet.confirmCatalog(sinceNanos);
      log.add(
          "config",
          "confirmed",
          "version",
          fleet.catalog().map(Catalog::version).orElse(0L),
          "revision",
          page.revision());
    }
  }

  /** Applies a configuration if it is newer; returns whether it could be read. */
  private boolean apply(VersionedObject object) {
    Optional<Catalog> catalog;
    try {
      catalog = decoder.decodeCatalog(object.name(), object.value());
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "host: configuration revision %s is unreadable and is ignored", object.version());
      log.add("config", "unreadable", "revision", object.version(), "reason", e.getMessage());
      return false;
    }
    if (catalog.isPresent() && fleet.apply(catalog.get(), object.version())) {
      log.add(
          "config",
          "in force",
          "version",
          catalog.get().version(),
          "revision",
          object.version(),
          "routes",
          catalog.get().routes().size());
      onNewer.run();
    }
    return true;
  }
}
