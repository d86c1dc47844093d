package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.trefoilbarrow.transport.link.generated.HelloMessage;
import org.trefoilbarrow.transport.link.generated.LinkMessage;
import org.trefoilbarrow.transport.link.generated.PulseMessage;

/**
 * A connection to a peer that can dispatch; reconnects when it is closed or its heartbeats time
 * out. Used only on the event loop's thread.
 */
final class Link {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration RECONNECT_DELAY = Duration.ofMillis(250);
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(150);

  /** Closes a link without messages: three heartbeat intervals, so that one may be late. */
  static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(500);

  private final EventLoop loop;
  private final PeerAddress peer;
  private final HelloMessage hello;
  private final Supplier<LongFunction<PulseMessage>> heartbeats;
  private final LongSupplier nanoClock;
  private final Listener listener;
  private Channel channel;
  private LongFunction<PulseMessage> connectionHeartbeats;
  private long lastReceivedNanos;
  private long heartbeatNumber;
  private boolean live;
  private boolean peerConnectedToPlatform;
  private boolean peerIsChosenDispatcher;
  private boolean closed;

  /** Receives what happens on a link. */
  interface Listener {
    /** The peer sent a heartbeat. */
    void heartbeat(PeerAddress peer, PulseMessage heartbeat);

    /** The connection was lost, or the heartbeats of the peer have timed out. */
    void lost(PeerAddress peer);

    /** Whether the peer is live or connected to the platform has changed. */
    void stateChanged();

    /** The peer sent a message that is not a heartbeat. */
    void received(PeerAddress peer, LinkMessage message);
  }

  /**
   * Creates a link, which connects at once.
   *
   * @param hello the first message on each connection
   * @param heartbeats creates the source of the heartbeats, by their number, on a new connection
   */
  Link(
      EventLoop loop,
      PeerAddress peer,
      HelloMessage hello,
      Supplier<LongFunction<PulseMessage>> heartbeats,
      LongSupplier nanoClock,
      Listener listener) {
    this.loop = checkNotNull(loop, "loop");
    this.peer = checkNotNull(peer, "peer");
    this.hello = checkNotNull(hello, "hello");
    this.heartbeats = checkNotNull(heartbeats, "heartbeats");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.listener = checkNotNull(listener, "listener");
    connect();
  }

  PeerAddress peer() {
    return peer;
  }

  /** Returns whether the peer answers heartbeats within {@link #HEARTBEAT_TIMEOUT}. */
  boolean isLive() {
    return live;
  }

  /** Returns whether the peer is live and connected to the platform. */
  boolean isConnectedToPlatform() {
    return live && peerConnectedToPlatform;
  }

  /** Returns whether the peer is live and hosts that serve callers get their slots from it. */
  boolean isChosenDispatcher() {
    return live && peerIsChosenDispatcher;
  }

  /** Sends a message; it is dropped while the link is not connected. */
  void send(LinkMessage message) {
    if (channel != null && channel.isActive()) {
      channel.writeAndFlush(message, channel.voidPromise());
    }
  }

  void close() {
    closed = true;
    drop("closed");
  }

  private void connect() {
    if (closed) {
      return;
    }
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel created) throws Exception {
                    LinkPipeline.install(created.pipeline(), new Handler());
                  }
                })
            .connect(peer.address(), peer.port());
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            scheduleReconnect();
          }
        });
  }

  private void scheduleReconnect() {
    if (!closed) {
      loop.schedule(this::connect, RECONNECT_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void sendHeartbeat(Channel current) {
    if (current != channel) {
      return;
    }
    if (nanoClock.getAsLong() - lastReceivedNanos > HEARTBEAT_TIMEOUT.toNanos()) {
      drop("no message within " + HEARTBEAT_TIMEOUT.toMillis() + " ms");
      return;
    }
    send(LinkMessage.pulse(connectionHeartbeats.apply(heartbeatNumber++)));
    loop.schedule(
        () -> sendHeartbeat(current), HEARTBEAT_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void drop(String reason) {
    Channel dropped = channel;
    channel = null;
    if (dropped != null) {
      dropped.close();
    }
    if (live) {
      live = false;
      logger.atInfo().log(
          "link: connection to %s lost (%s); it is not used for dispatch until it answers again",
          peer.host(), reason);
      listener.lost(peer);
      listener.stateChanged();
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<LinkMessage> {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      channel = context.channel();
      connectionHeartbeats = heartbeats.get();
      lastReceivedNanos = nanoClock.getAsLong();
      send(LinkMessage.hello(hello));
      sendHeartbeat(channel);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, LinkMessage message) {
      if (context.channel() != channel) {
        return;
      }
      lastReceivedNanos = nanoClock.getAsLong();
      if (message.isSetPulse()) {
        receiveHeartbeat(message.getPulse());
      } else {
        listener.received(peer, message);
      }
    }

    private void receiveHeartbeat(PulseMessage heartbeat) {
      final boolean changed = !live || peerConnectedToPlatform != heartbeat.isFit();
      if (!live) {
        logger.atInfo().log("link: peer %s answers heartbeats", peer.host());
      }
      live = true;
      peerConnectedToPlatform = heartbeat.isFit();
      peerIsChosenDispatcher = heartbeat.isTakesPlaces();
      listener.heartbeat(peer, heartbeat);
      if (changed) {
        listener.stateChanged();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (context.channel() == channel) {
        drop("connection closed by the peer");
      }
      scheduleReconnect();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      logger.atFine().withCause(cause).log(
          "link: connection to %s failed, closing it", peer.host());
      context.close();
    }
  }
}
