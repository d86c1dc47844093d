package org.trefoilbarrow.transport.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.PromptPartId;
import org.trefoilbarrow.state.fleet.BackendServer;

/**
 * Finds out whether a backend server has ended after a connection to it broke: a connection may
 * break for other reasons, but a server that still accepts connections lives. Checks each server
 * once for all requests that were broken off there. Used only on the event loop's thread.
 */
public final class ServerEndDetector {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** A process that ends closes its connections and its listening socket one after the other. */
  private static final Duration SECOND_CHECK_DELAY = Duration.ofMillis(50);

  /** The most different prompts of one server for which an end is reported. */
  private static final int MAX_PROMPTS = 64;

  private final EventLoop loop;
  private final LongSupplier nanoClock;
  private final Listener listener;
  private final Map<BackendServerId, Check> checks = new HashMap<>();

  /** Receives the ends of backend servers. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Called for each prompt that was at a backend server when that ended.
     *
     * @param parts the shared parts of the prompt
     * @param endNanos when the first connection broke
     */
    void ended(BackendServer backend, ImmutableList<PromptPartId> parts, long endNanos);
  }

  /** The check of one server. */
  private static final class Check {
    final BackendServer backend;
    final long brokenNanos;
    final Set<ImmutableList<PromptPartId>> prompts = new LinkedHashSet<>();

    Check(BackendServer backend, long brokenNanos) {
      this.backend = backend;
      this.brokenNanos = brokenNanos;
    }
  }

  /** Creates a detector. */
  public ServerEndDetector(EventLoop loop, LongSupplier nanoClock, Listener listener) {
    this.loop = checkNotNull(loop, "loop");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.listener = checkNotNull(listener, "listener");
  }

  /**
   * Records that the connection of a request broke before a backend server began to answer.
   *
   * @param parts the shared parts of the request's prompt
   */
  public void broken(BackendServer backend, ImmutableList<PromptPartId> parts) {
    if (parts.isEmpty()) {
      return;
    }
    Check check = checks.get(backend.id());
    if (check == null) {
      check = new Check(backend, nanoClock.getAsLong());
      checks.put(backend.id(), check);
      connect(check, true);
    }
    if (check.prompts.size() < MAX_PROMPTS) {
      check.prompts.add(parts);
    }
  }

  private void connect(Check check, boolean mayRepeat) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
            .handler(new ChannelInboundHandlerAdapter())
            .connect(check.backend.address(), check.backend.port());
    connecting.addListener(done -> loop.execute(() -> onChecked(check, connecting, mayRepeat)));
  }

  private void onChecked(Check check, ChannelFuture connecting, boolean mayRepeat) {
    connecting.channel().close();
    // Other failures, such as a lack of descriptors, are this host's own.
    boolean ended = connecting.cause() instanceof ConnectException;
    if (connecting.isSuccess() && mayRepeat) {
      loop.schedule(
          () -> connect(check, false), SECOND_CHECK_DELAY.toMillis(), TimeUnit.MILLISECONDS);
      return;
    }
    checks.remove(check.backend.id());
    if (ended) {
      check.prompts.forEach(parts -> listener.ended(check.backend, parts, check.brokenNanos));
    } else {
      logger.atFine().withCause(connecting.cause()).log(
          "backend: connections to %s broke, but no check shows its end", check.backend.id());
    }
  }
}
