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
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
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
import org.trefoilbarrow.coordination.leaving.LeavingServers;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.ResponseSyntax;
import org.trefoilbarrow.state.fleet.BackendServer;

/**
 * A pool of HTTP connections to backend servers, reused while the servers keep them open. Used only
 * on the event loop's thread.
 */
public final class BackendConnections {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** How long an idle connection is reused when the server states no time. */
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(3);

  /**
   * The fraction of the server's idle time during which a connection is reused, so that a request
   * is not sent while the server closes the connection.
   */
  private static final double IDLE_FRACTION = 0.6;

  private final EventLoop loop;
  private final HttpDialect dialect;
  private final LongSupplier nanoClock;
  private final LeavingServers leaving;
  private final LeavingListener leavingListener;
  private final Map<BackendServerId, Deque<Connection>> idle = new HashMap<>();

  /** Cancels a request before its response is complete. */
  @FunctionalInterface
  public interface Cancellation {
    /** Closes the connection, which makes the backend server drop the request. */
    void cancel();
  }

  /**
   * Creates an empty pool.
   *
   * @param leaving the backend servers that nothing is sent to
   * @param leavingListener receives the statements of further ones
   */
  public BackendConnections(
      EventLoop loop,
      HttpDialect dialect,
      LongSupplier nanoClock,
      LeavingServers leaving,
      LeavingListener leavingListener) {
    this.loop = checkNotNull(loop, "loop");
    this.dialect = checkNotNull(dialect, "dialect");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.leaving = checkNotNull(leaving, "leaving");
    this.leavingListener = checkNotNull(leavingListener, "leavingListener");
  }

  /** Sends a request to a backend server, on an idle connection if there is one. */
  public Cancellation send(
      BackendServer backend, FullHttpRequest request, BackendResponseHandler handler) {
    if (leaving.isLeaving(backend)) {
      request.release();
      // Run later, since the handler does not expect an end before this method returns.
      loop.execute(handler::onNotSent);
      return () -> {};
    }
    Optional<Connection> reused = takeIdle(backend);
    Connection connection = reused.orElseGet(() -> new Connection(backend));
    connection.handler = handler;
    connection.reused = reused.isPresent();
    if (connection.reused) {
      connection.write(request);
    } else {
      connection.open(request);
    }
    return () -> connection.abort(handler);
  }

  /** Returns whether a response states its own end, and does not end with its connection. */
  public static boolean isFramed(HttpResponse response) {
    return HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
  }

  /** Closes connections that are idle beyond their reuse time. */
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

  private Optional<Connection> takeIdle(BackendServer backend) {
    Deque<Connection> connections = idle.get(backend.id());
    long now = nanoClock.getAsLong();
    while (connections != null && !connections.isEmpty()) {
      Connection connection = connections.removeLast();
      // An earlier start of the server may still drain at the other end of its connections.
      boolean sameStart = connection.backend.bornMillis() == backend.bornMillis();
      if (sameStart && connection.channel.isActive() && now - connection.reusableUntilNanos < 0) {
        return Optional.of(connection);
      }
      connection.channel.close();
    }
    return Optional.empty();
  }

  /** One connection and the handler of its open request, if any. */
  private final class Connection extends ChannelInboundHandlerAdapter {
    private final BackendServer backend;
    private final BackendResponseDecoder decoder = new BackendResponseDecoder();
    private Channel channel;
    private BackendResponseHandler handler;
    private boolean sent;
    private boolean reused;
    private boolean aborted;
    private boolean failed;
    private boolean responseIgnored;
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
              // The end of the server's side is reported as an event, apart from other ends.
              .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel created) {
                      created
                          .pipeline()
                          .addLast(decoder, new HttpRequestEncoder(), Connection.this);
                    }
                  })
              .connect(backend.address(), backend.port());
      channel = connecting.channel();
      connecting.addListener(
          done -> {
            // The server may have stated that it is leaving while the connection was established.
            boolean declined = leaving.isLeaving(backend);
            if (done.isSuccess() && !aborted && !declined) {
              write(request);
              return;
            }
            ReferenceCountUtil.release(request);
            channel.close();
            if (!aborted && declined) {
              notifyNotSent();
            } else if (!aborted) {
              notifyBroken(false, LossCause.NO_CONNECTION);
            }
          });
    }

    void write(FullHttpRequest request) {
      sent = true;
      decoder.beginRequest(request.method());
      channel.writeAndFlush(request);
    }

    void abort(BackendResponseHandler cancelled) {
      if (handler == cancelled) {
        aborted = true;
        handler = null;
        channel.close();
      }
    }

    private void notifyNotSent() {
      BackendResponseHandler finishedHandler = handler;
      handler = null;
      finishedHandler.onNotSent();
    }

    private void notifyBroken(boolean requestSent, LossCause cause) {
      BackendResponseHandler finishedHandler = handler;
      handler = null;
      if (finishedHandler != null) {
        finishedHandler.onBroken(requestSent, cause);
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
      Optional<ResponseAttributes> attributes = readAttributes(message);
      if (handler == null || failed) {
        // No request is open on this connection, so the data belongs to none.
        context.close();
        return;
      }
      DecoderResult result = ((HttpObject) message).decoderResult();
      if (result.isFailure()) {
        closeAsBroken(context, causeOf(result.cause()));
        return;
      }
      if (message instanceof HttpResponse response) {
        Optional<LossCause> fault = readHeaders(response, attributes.orElseThrow());
        if (fault.isPresent()) {
          closeAsBroken(context, fault.get());
          return;
        }
      }
      if (message instanceof HttpContent content) {
        readBody(context, content);
      }
    }

    private LossCause causeOf(Throwable failure) {
      return failure instanceof InvalidResponseException invalid
          ? invalid.lossCause()
          : LossCause.UNREADABLE;
    }

    /**
     * Returns the attributes of a sound head. A statement that the server is leaving counts in
     * each, also if no request waits for the response any more.
     */
    private Optional<ResponseAttributes> readAttributes(Object message) {
      if (!(message instanceof HttpResponse response) || response.decoderResult().isFailure()) {
        return Optional.empty();
      }
      ResponseAttributes attributes = dialect.responseAttributes(response);
      if (attributes.leaving()) {
        leavingListener.stated(backend, response.status().code());
      }
      return Optional.of(attributes);
    }

    /** Reads the status and headers of a response. Returns why the response is unusable, if so. */
    private Optional<LossCause> readHeaders(HttpResponse response, ResponseAttributes attributes) {
      if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        responseIgnored = true;
        return response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
            ? Optional.of(LossCause.PROTOCOL_CHANGED)
            : Optional.empty();
      }
      responseIgnored = !isResponseToOpenRequest(attributes);
      keepAlive = HttpUtil.isKeepAlive(response) && isFramed(response);
      idleMillis = attributes.idleMillis();
      if (responseIgnored) {
        logger.atInfo().log(
            "backend: ignored a response from %s to another request than %s",
            backend.id(), handler.requestId());
        return Optional.empty();
      }
      if (!ResponseSyntax.isKnownCoding(
          response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING))) {
        return Optional.of(LossCause.TRANSFER_CODING);
      }
      boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
      if (success && !attributes.signed()) {
        return Optional.of(LossCause.UNSIGNED);
      }
      handler.onHeaders(response, attributes);
      return Optional.empty();
    }

    /**
     * Returns whether a response belongs to the open request. A repeated response to an earlier
     * request may arrive first; only the identifier tells them apart.
     */
    private boolean isResponseToOpenRequest(ResponseAttributes attributes) {
      return attributes.requestId().map(handler.requestId()::equals).orElse(!reused);
    }

    private void readBody(ChannelHandlerContext context, HttpContent content) {
      if (!responseIgnored && handler != null && content.content().isReadable()) {
        handler.onBody(content.content());
      }
      if (content instanceof LastHttpContent && !responseIgnored) {
        complete(context);
      }
    }

    private void complete(ChannelHandlerContext context) {
      BackendResponseHandler finishedHandler = handler;
      handler = null;
      boolean inStep = decoder.endRequest();
      if (keepAlive && inStep && context.channel().isActive() && finishedHandler != null) {
        long millis = idleMillis > 0 ? idleMillis : DEFAULT_IDLE_TIMEOUT.toMillis();
        reusableUntilNanos =
            nanoClock.getAsLong() + (long) (Duration.ofMillis(millis).toNanos() * IDLE_FRACTION);
        idle.computeIfAbsent(backend.id(), id -> new ArrayDeque<>()).addLast(this);
      } else {
        context.close();
      }
      if (finishedHandler != null) {
        finishedHandler.onEnd();
      }
    }

    private void closeAsBroken(ChannelHandlerContext context, LossCause cause) {
      failed = true;
      context.close();
      notifyBroken(sent, cause);
    }

    /** Closes the connection after the end of the server's side, which the decoder has read. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof ChannelInputShutdownEvent) {
        context.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      logger.atFine().withCause(cause).log(
          "backend: connection to %s failed, closing it", backend.id());
      closeAsBroken(context, LossCause.CONNECTION_ENDED);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      Deque<Connection> connections = idle.get(backend.id());
      if (connections != null) {
        connections.remove(this);
      }
      notifyBroken(sent, LossCause.CONNECTION_ENDED);
    }
  }
}
