package org.trefoilbarrow.transport.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.util.Timeout;
import org.trefoilbarrow.coordination.backend.BackendDefinition;
import org.trefoilbarrow.coordination.backend.PermitScheduler;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.transport.platform.PeriodicTask;

/**
 * Polls the load reports of backend servers, and detects unresponsive connections.
 *
 * <p>Reports are read over a connection that is kept open for them. If a read times out there while
 * one over a new connection succeeds, all connections that were open before are assumed to be
 * unresponsive. Backend servers without load reports are polled too: any response shows that they
 * run.
 */
public final class LoadMonitor implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Timeout RESPONSE_TIMEOUT = Timeout.ofMilliseconds(500);
  private static final int OK = 200;

  private final CloseableHttpClient pooledClient;
  private final CloseableHttpClient unpooledClient;
  private final PermitScheduler scheduler;
  private final UnresponsiveConnectionListener listener;
  private final LongSupplier nanoClock;
  private final PeriodicTask task;
  private final ExecutorService readers;
  private final Set<BackendServerId> inProgress = ConcurrentHashMap.newKeySet();

  /** Is notified of unresponsive connections. */
  @FunctionalInterface
  public interface UnresponsiveConnectionListener {
    /** Records that connections opened before a time are unresponsive, while new ones work. */
    void onUnresponsiveConnections(BackendServerId backend, long openedBeforeNanos);
  }

  /**
   * Creates a monitor of the given backend servers; {@link #start} starts it.
   *
   * @param connectTimeout the longest time to open a connection
   * @param every the interval between two reads of a report
   */
  public LoadMonitor(
      PermitScheduler scheduler,
      Supplier<? extends Iterable<BackendDefinition>> backends,
      UnresponsiveConnectionListener listener,
      Duration connectTimeout,
      Duration every,
      LongSupplier nanoClock) {
    this.pooledClient = HttpClients.pooled(connectTimeout, 1);
    this.unpooledClient = HttpClients.unpooled(connectTimeout, 1);
    this.scheduler = checkNotNull(scheduler, "scheduler");
    checkNotNull(backends, "backends");
    this.listener = checkNotNull(listener, "listener");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.readers =
        Executors.newCachedThreadPool(
            new ThreadFactoryBuilder().setNameFormat("load-report-%d").setDaemon(true).build());
    this.task =
        new PeriodicTask("load-reports", every, () -> backends.get().forEach(this::startRead));
  }

  /** Starts to poll. */
  public void start() {
    task.start();
  }

  @Override
  public void close() {
    task.close();
    readers.shutdownNow();
  }

  /** Reads a report on a thread of its own, so that it does not delay other backend servers. */
  private void startRead(BackendDefinition backend) {
    if (!inProgress.add(backend.id())) {
      return;
    }
    readers.execute(
        () -> {
          try {
            read(backend);
          } finally {
            inProgress.remove(backend.id());
          }
        });
  }

  private void read(BackendDefinition backend) {
    long startNanos = nanoClock.getAsLong();
    try {
      fetch(pooledClient, backend);
    } catch (SocketTimeoutException e) {
      checkNewConnection(backend, startNanos);
    } catch (IOException e) {
      logger.atFine().log("backend: no load report of %s: %s", backend.id(), e.getMessage());
    }
  }

  private void checkNewConnection(BackendDefinition backend, long openedBeforeNanos) {
    try {
      fetch(unpooledClient, backend);
      logger.atWarning().log(
          "backend: connections to %s went silent, new ones are opened", backend.id());
      listener.onUnresponsiveConnections(backend.id(), openedBeforeNanos);
    } catch (IOException e) {
      logger.atFine().log("backend: no load report of %s: %s", backend.id(), e.getMessage());
    }
  }

  private void fetch(CloseableHttpClient client, BackendDefinition backend) throws IOException {
    HttpGet request = new HttpGet(backend.address() + "/load");
    request.setConfig(RequestConfig.custom().setResponseTimeout(RESPONSE_TIMEOUT).build());
    client.execute(
        request,
        response -> {
          byte[] body = EntityUtils.toByteArray(response.getEntity());
          if (response.getCode() == OK) {
            onReport(backend, JsonCodec.mapper().readTree(body));
          }
          scheduler.onReachable(backend.id(), nanoClock.getAsLong());
          return null;
        });
  }

  private void onReport(BackendDefinition backend, JsonNode report) {
    if (!report.has("bootId")) {
      return;
    }
    scheduler.onLoadReport(
        backend.id(),
        Optional.of(report.path("bootId").asText()),
        report.path("cold").asBoolean(false),
        nanoClock.getAsLong());
  }
}
