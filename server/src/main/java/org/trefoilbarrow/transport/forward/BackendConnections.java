package org.trefoilbarrow.transport.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.state.fleet.BackendServer;

/**
 * Connections to backend servers, reused while the servers keep them open. Used by the thread of
 * the event loop alone.
 */
public final class BackendConnections {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** How long a connection is reused when the server names no time. */
  private static final Duration DEFAULT_IDLE = Duration.ofSeconds(3);

  /** The part of the server's idle time that is used, so that requests do not cross its close. */
  private static final double IDLE_PART = 0.6;

  private final EventLoop loop;
  private final HttpDialect dialect;
  private final LongSupplier nanoClock;
  private final Map<BackendServerId, Deque<Connection>> idle = new HashMap<>();

  /** Ends the use of a connection before its answer is complete. */
  @FunctionalInterface
  public interface Cancellation {
    /** Closes the connection, which tells the backend server to drop the request. */
    void cancel();
  }

  /** Creates an empty set of connections. */
  public BackendConnections(EventLoop loop, HttpDialect dialect, LongSupplier nanoClock) {
    this.loop = checkNotNull(loop, "loop");
    this.dialect = checkNotNull(dialect, "dialect");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /** Sends a request to a backend server. */
  public Cancellation send(
      BackendServer backend, FullHttpRequest request, BackendExchange exchange) {
    Optional<Connection> reused = takeIdle(backend.id());
    Connection connection = reused.orElseGet(() -> new Connection(backend));
    connection.exchange = exchange;
    if (reused.isPresent()) {
      connection.write(request);
    } else {
      connection.open(request);
    }
    return () -> connection.abort(exchange);
  }

  /** Closes connections that were idle for too long. */
  public void closeIdle() {
    long now = nanoClock.getAsLong();
    for (Deque<Connection> connections : idle.values()) {
      Iterator<Connection> all = connections.iterator();
      while (all.hasNext()) {
        Connection connection = all.next();
        if (now - connection.reusableUntilNanos >= 0) {
          all.remove();
          connection.channel.close();
        }
      }
    }
    idle.values().removeIf(Deque::isEmpty);
  }

  private Optional<Connection> takeIdle(BackendServerId backend) {
    Deque<Connection> connections = idle.get(backend);
    long now = nanoClock.getAsLong();
    while (connections != null && !connections.isEmpty()) {
      Connection connection = connections.removeLast();
      if (connection.channel.isActive() && now - connection.reusableUntilNanos < 0) {
        return Optional.of(connection);
      }
      connection.channel.close();
    }
    return Optional.empty();
  }

  /** One connection and the exchange that uses it. */
  private final class Connection extends ChannelInboundHandlerAdapter {
    private final BackendServer backend;
    private Channel channel;
    private BackendExchange exchange;
    private boolean sent;
    private boolean aborted;
    private boolean failed;
    private boolean foreign;
    private boolean keepAlive;
    private long idleMillis;
    private long reusableUntilNanos;

    Connection(BackendServer backend) {
      this.backend = backend;
    }

    void open(FullHttpRequest request) {
      ChannelFuture connecting =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel created) {
                      created.pipeline().addLast(new HttpClientCodec(), Connection.this);
                    }
                  })
              .connect(backend.address(), backend.port());
      channel = connecting.channel();
      connecting.addListener(
          done -> {
            if (done.isSuccess() && !aborted) {
              write(request);
              return;
            }
            ReferenceCountUtil.release(request);
            channel.close();
            if (!aborted) {
              end(false);
            }
          });
    }

    void write(FullHttpRequest request) {
      sent = true;
      channel.writeAndFlush(request);
    }

    void abort(BackendExchange user) {
      if (exchange == user) {
        aborted = true;
        exchange = null;
        channel.close();
      }
    }

    private void end(boolean reached) {
      BackendExchange ended = exchange;
      exchange = null;
      if (ended != null) {
        ended.onBroken(reached);
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      try {
        read(context, message);
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void read(ChannelHandlerContext context, Object message) {
      if (exchange == null || failed) {
        // Nothing was asked: whatever follows an answer belongs to no request.
        context.close();
        return;
      }
      if (message instanceof HttpResponse head) {
        if (head.decoderResult().isFailure()) {
          broken(context);
          return;
        }
        if (!readHead(head)) {
          broken(context);
          return;
        }
      }
      if (message instanceof HttpContent content) {
        if (content.decoderResult().isFailure()) {
          broken(context);
          return;
        }
        readBody(context, content);
      }
    }

    /** Takes the head of an answer; returns false if no backend server can have made it. */
    private boolean readHead(HttpResponse head) {
      if (head.status().code() == HttpResponseStatus.CONTINUE.code()) {
        foreign = true;
        return true;
      }
      ResponseAttributes facts = dialect.responseAttributes(head);
      // A second answer to an earlier request may come first; the identifier tells.
      foreign = facts.requestId().filter(id -> !id.equals(exchange.requestId())).isPresent();
      keepAlive = HttpUtil.isKeepAlive(head) && isFramed(head);
      idleMillis = facts.idleMillis();
      if (foreign) {
        logger.atInfo().log("backend: an answer to another request came from %s", backend.id());
        return true;
      }
      boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
      if (success && !facts.signed()) {
        logger.atInfo().log("backend: an answer without signature came from %s", backend.id());
        return false;
      }
      exchange.onHead(head, facts);
      return true;
    }

    private boolean isFramed(HttpResponse head) {
      return HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
    }

    private void readBody(ChannelHandlerContext context, HttpContent content) {
      if (!foreign && exchange != null && content.content().isReadable()) {
        exchange.onBody(content.content());
      }
      if (content instanceof LastHttpContent && !foreign) {
        complete(context);
      }
    }

    private void complete(ChannelHandlerContext context) {
      BackendExchange ended = exchange;
      exchange = null;
      if (keepAlive && context.channel().isActive() && ended != null) {
        long millis = idleMillis > 0 ? idleMillis : DEFAULT_IDLE.toMillis();
        reusableUntilNanos =
            nanoClock.getAsLong() + (long) (Duration.ofMillis(millis).toNanos() * IDLE_PART);
        idle.computeIfAbsent(backend.id(), id -> new ArrayDeque<>()).addLast(this);
      } else {
        context.close();
      }
      if (ended != null) {
        ended.onEnd();
      }
    }

    private void broken(ChannelHandlerContext context) {
      failed = true;
      context.close();
      end(sent);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      logger.atFine().withCause(cause).log("backend: connection to %s failed", backend.id());
      broken(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      Deque<Connection> connections = idle.get(backend.id());
      if (connections != null) {
        connections.remove(this);
      }
      end(sent);
    }
  }
}
