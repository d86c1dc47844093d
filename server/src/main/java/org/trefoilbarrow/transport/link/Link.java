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
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.trefoilbarrow.transport.link.generated.HelloMessage;
import org.trefoilbarrow.transport.link.generated.LinkMessage;
import org.trefoilbarrow.transport.link.generated.PulseMessage;

/**
 * A connection to a host that dispatches, opened again whenever it is lost or silent. Used by the
 * thread of the event loop alone.
 */
final class Link {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration RECONNECT_AFTER = Duration.ofMillis(250);
  private static final Duration PULSE_EVERY = Duration.ofMillis(150);

  /** How long a link may stay silent: three pulses, so that one late one is borne. */
  static final Duration SILENCE = Duration.ofMillis(500);

  private final EventLoop loop;
  private final PeerAddress peer;
  private final HelloMessage hello;
  private final BooleanSupplier fit;
  private final BooleanSupplier takesPlaces;
  private final LongSupplier nanoClock;
  private final Runnable onChange;
  private final Consumer<LinkMessage> onMessage;
  private Channel channel;
  private long heardNanos;
  private long pulseNumber;
  private boolean live;
  private boolean peerFit;
  private boolean peerChosen;
  private boolean closed;

  Link(
      EventLoop loop,
      PeerAddress peer,
      HelloMessage hello,
      BooleanSupplier fit,
      BooleanSupplier takesPlaces,
      LongSupplier nanoClock,
      Runnable onChange,
      Consumer<LinkMessage> onMessage) {
    this.loop = checkNotNull(loop, "loop");
    this.peer = checkNotNull(peer, "peer");
    this.hello = checkNotNull(hello, "hello");
    this.fit = checkNotNull(fit, "fit");
    this.takesPlaces = checkNotNull(takesPlaces, "takesPlaces");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.onChange = checkNotNull(onChange, "onChange");
    this.onMessage = checkNotNull(onMessage, "onMessage");
    connect();
  }

  PeerAddress peer() {
    return peer;
  }

  /** Returns whether the peer answered a moment ago. */
  boolean isLive() {
    return live;
  }

  /** Returns whether the peer follows the platform at present. */
  boolean isFit() {
    return live && peerFit;
  }

  /** Returns whether hosts that serve callers take their places from the peer. */
  boolean isChosen() {
    return live && peerChosen;
  }

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
            connectLater();
          }
        });
  }

  private void connectLater() {
    if (!closed) {
      loop.schedule(this::connect, RECONNECT_AFTER.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void pulse(Channel current) {
    if (current != channel) {
      return;
    }
    if (nanoClock.getAsLong() - heardNanos > SILENCE.toNanos()) {
      drop("silent");
      return;
    }
    PulseMessage question = new PulseMessage(pulseNumber++, false, fit.getAsBoolean());
    question.setTakesPlaces(takesPlaces.getAsBoolean());
    send(LinkMessage.pulse(question));
    loop.schedule(() -> pulse(current), PULSE_EVERY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void drop(String reason) {
    Channel dropped = channel;
    channel = null;
    if (dropped != null) {
      dropped.close();
    }
    if (live) {
      live = false;
      logger.atInfo().log("link: %s lost: %s", peer.host(), reason);
      onChange.run();
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<LinkMessage> {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      channel = context.channel();
      heardNanos = nanoClock.getAsLong();
      send(LinkMessage.hello(hello));
      pulse(channel);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, LinkMessage message) {
      if (context.channel() != channel) {
        return;
      }
      heardNanos = nanoClock.getAsLong();
      if (message.isSetPulse()) {
        heard(message.getPulse());
      } else {
        onMessage.accept(message);
      }
    }

    private void heard(PulseMessage pulse) {
      final boolean changed = !live || peerFit != pulse.isFit();
      if (!live) {
        logger.atInfo().log("link: %s answers", peer.host());
      }
      live = true;
      peerFit = pulse.isFit();
      peerChosen = pulse.isTakesPlaces();
      if (changed) {
        onChange.run();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (context.channel() == channel) {
        drop("connection ended");
      }
      connectLater();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      logger.atFine().withCause(cause).log("link: %s failed", peer.host());
      context.close();
    }
  }
}
