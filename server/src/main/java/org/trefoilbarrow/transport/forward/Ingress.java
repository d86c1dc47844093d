package org.trefoilbarrow.transport.forward;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.ErrorResponse;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.RequestJob;
import org.trefoilbarrow.protocol.RequestJob.JobItem;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.state.fleet.CallerLimits;
import org.trefoilbarrow.state.fleet.Catalog;
import org.trefoilbarrow.state.fleet.Organisation;
import org.trefoilbarrow.state.fleet.Route;

/**
 * Takes requests of callers, finds route and organisation, and has them forwarded. Also answers
 * whether the host may get new connections. Used by the thread of the event loop alone.
 */
public final class Ingress {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration SWEEP_EVERY = Duration.ofMillis(50);
  private static final Duration BIND_AGAIN = Duration.ofMillis(300);
  private static final Duration RETRY_UNREADY = Duration.ofMillis(500);

  /** A chunk of a body; bodies are put together whole before they are sent on. */
  private static final int MAX_CHUNK_BYTES = 65_536;

  private static final int MAX_LINE_BYTES = 8192;

  /** A first attempt has at least this part of the longest deadline seen on its route left. */
  private static final double FIRST_ATTEMPT_PART = 0.98;

  private static final int MAX_PIPELINED = 16;

  private final ForwardServices services;
  private final JobGateway jobs;
  private final LongSupplier milliClock;
  private final Set<Connection> connections = new LinkedHashSet<>();
  private final Set<ForwardedCall> calls = new HashSet<>();
  private final Map<String, Long> longestDeadlines = new HashMap<>();
  private boolean ready;
  private boolean draining;

  /** Creates an ingress that does not listen yet. */
  public Ingress(ForwardServices services, JobGateway jobs, LongSupplier milliClock) {
    this.services = checkNotNull(services, "services");
    this.jobs = checkNotNull(jobs, "jobs");
    this.milliClock = checkNotNull(milliClock, "milliClock");
  }

  /** Begins to listen on the addresses for callers and for the question of readiness. */
  public void listen(String address, int callerPort, int readinessPort) {
    bind(address, callerPort);
    bind(address, readinessPort);
    services
        .loop()
        .scheduleAtFixedRate(
            this::sweep, SWEEP_EVERY.toMillis(), SWEEP_EVERY.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Sets whether the host may get new connections. */
  public void setReady(boolean ready) {
    if (this.ready != ready) {
      services.log().add("ingress", ready ? "ready" : "unready");
    }
    this.ready = ready;
  }

  /** Announces the end: connections are closed after their next answer. */
  public void startDraining() {
    draining = true;
    ready = false;
  }

  /** Closes the connections on which no request is answered. */
  public void closeIdleConnections() {
    for (Connection connection : ImmutableList.copyOf(connections)) {
      if (connection.isIdle()) {
        connection.channel.close();
      }
    }
  }

  /** Returns the number of requests that are being answered. */
  public int activeCount() {
    return (int) connections.stream().filter(connection -> !connection.isIdle()).count();
  }

  private CallerLimits limits() {
    return services.fleet().catalog().map(Catalog::limits).orElse(CallerLimits.INITIAL);
  }

  private void bind(String address, int port) {
    new ServerBootstrap()
        .group(services.loop())
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 1024)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel created) {
                CallerLimits limits = limits();
                created
                    .pipeline()
                    .addLast(
                        new HttpServerCodec(
                            MAX_LINE_BYTES, limits.maxHeaderBytes(), MAX_CHUNK_BYTES),
                        new HttpObjectAggregator(limits.maxBodyBytes()),
                        new Connection());
              }
            })
        .bind(address, port)
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                logger.atSevere().withCause(done.cause()).log(
                    "ingress: cannot listen on %s:%d", address, port);
                services
                    .loop()
                    .schedule(
                        () -> bind(address, port), BIND_AGAIN.toMillis(), TimeUnit.MILLISECONDS);
              }
            });
  }

  private void sweep() {
    long now = services.nanoClock().getAsLong();
    for (ForwardedCall call : ImmutableList.copyOf(calls)) {
      call.checkProgress(now);
    }
    long idleNanos = Duration.ofMillis(limits().idleTimeoutMillis()).toNanos();
    for (Connection connection : ImmutableList.copyOf(connections)) {
      if (connection.isIdle() && now - connection.activeNanos > idleNanos) {
        connection.channel.close();
      }
    }
    services.connections().closeIdle();
  }

  /** One connection of a caller, whose requests are answered one after the other. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();
    private Channel channel;
    private long activeNanos = services.nanoClock().getAsLong();
    private Optional<Answer> answer = Optional.empty();

    boolean isIdle() {
      return answer.isEmpty();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      channel = context.channel();
      connections.add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connections.remove(this);
      waiting.forEach(FullHttpRequest::release);
      waiting.clear();
      answer.ifPresent(Answer::callerLeft);
      answer = Optional.empty();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      logger.atFine().withCause(cause).log("ingress: a connection failed");
      context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      activeNanos = services.nanoClock().getAsLong();
      if (answer.isPresent()) {
        if (waiting.size() >= MAX_PIPELINED) {
          context.close();
          return;
        }
        waiting.add(request.retain());
        return;
      }
      begin(request.retain());
    }

    private void begin(FullHttpRequest request) {
      Answer next = new Answer(this, request);
      answer = Optional.of(next);
      try {
        route(request, next);
      } catch (ServiceException e) {
        next.refuse(e.kind(), 0);
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("ingress: a request failed");
        next.refuse(ErrorKind.INTERNAL, 0);
      }
    }

    void answered(boolean close) {
      answer = Optional.empty();
      activeNanos = services.nanoClock().getAsLong();
      if (close) {
        return;
      }
      FullHttpRequest next = waiting.poll();
      if (next != null) {
        begin(next);
      }
    }
  }

  private void route(FullHttpRequest request, Answer answer) {
    if (request.decoderResult().isFailure()) {
      Throwable cause = request.decoderResult().cause();
      boolean tooLong =
          cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
      answer.closeAfter = true;
      answer.refuse(tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.INVALID_REQUEST, 0);
      return;
    }
    if (services.dialect().isReadinessCheck(request)) {
      answer.answer(
          ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
          new DefaultHttpHeaders(),
          Unpooled.EMPTY_BUFFER);
      return;
    }
    Optional<Catalog> known = services.fleet().catalog();
    if (known.isEmpty()) {
      answer.refuse(ErrorKind.HOST_ISOLATED, RETRY_UNREADY.toMillis());
      return;
    }
    if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
      answer.refuse(ErrorKind.INVALID_REQUEST, 0);
      return;
    }
    RequestAttributes facts = services.dialect().requestAttributes(request);
    answer.requestId = facts.requestId();
    Optional<JobCall> jobCall = services.dialect().parseJobCall(request);
    if (jobCall.isPresent()) {
      callJob(known.get(), facts, jobCall.get(), answer);
      return;
    }
    String path = pathOf(request.uri());
    Optional<Route> route = known.get().route(hostNameOf(request), path);
    if (route.isEmpty()) {
      answer.refuse(ErrorKind.NOT_FOUND, 0);
      return;
    }
    Optional<Organisation> organisation = Optional.empty();
    if (!route.get().open() && !known.get().organisations().isEmpty()) {
      organisation = facts.key().flatMap(known.get()::findOrganisation);
      if (organisation.isEmpty()) {
        services
            .log()
            .add(
                "ingress",
                "unknown key",
                "request",
                facts.requestId(),
                "version",
                known.get().version());
        answer.refuse(ErrorKind.INVALID_KEY, 0);
        return;
      }
    }
    if (facts.requestId().isEmpty()) {
      answer.refuse(ErrorKind.INVALID_REQUEST, 0);
      return;
    }
    if (route.get().requestKind() == Route.RequestKind.BATCH) {
      submitJob(request, facts, path, organisation, answer);
      return;
    }
    forward(request, facts, route.get(), organisation, answer);
  }

  private void forward(
      FullHttpRequest request,
      RequestAttributes facts,
      Route route,
      Optional<Organisation> organisation,
      Answer answer) {
    ForwardedCall[] self = new ForwardedCall[1];
    ForwardedCall call =
        new ForwardedCall(
            services,
            request.retain(),
            facts,
            route,
            organisation,
            isRepeated(route, facts),
            answer,
            () -> calls.remove(self[0]));
    self[0] = call;
    calls.add(call);
    answer.onCallerLeft = call::cancel;
    call.start();
  }

  /**
   * Returns whether the caller tried before: callers of a route begin with the same deadline, so
   * one with less time left has waited already.
   */
  private boolean isRepeated(Route route, RequestAttributes facts) {
    if (facts.deadlineMillis().isEmpty()) {
      return false;
    }
    long deadline = facts.deadlineMillis().getAsLong();
    long longest = longestDeadlines.merge(route.name(), deadline, Math::max);
    return deadline < longest * FIRST_ATTEMPT_PART;
  }

  private void submitJob(
      FullHttpRequest request,
      RequestAttributes facts,
      String path,
      Optional<Organisation> organisation,
      Answer answer) {
    if (!request.method().equals(HttpMethod.POST) || organisation.isEmpty()) {
      answer.refuse(ErrorKind.INVALID_REQUEST, 0);
      return;
    }
    byte[] body = new byte[request.content().readableBytes()];
    request.content().getBytes(request.content().readerIndex(), body);
    List<JobItem> items = services.dialect().parseJobItems(body);
    RequestJob job =
        new RequestJob(
            JobId.of(facts.requestId()),
            organisation.get().id(),
            hostNameOf(request),
            path,
            milliClock.getAsLong(),
            items);
    jobs.submit(
        job,
        outcome -> {
          services
              .log()
              .add("jobs", "submitted", "job", job.id(), "items", items.size(), "outcome", outcome);
          respond(answer, outcome, HttpResponseStatus.ACCEPTED);
        });
  }

  private void callJob(Catalog catalog, RequestAttributes facts, JobCall call, Answer answer) {
    Optional<Organisation> organisation = facts.key().flatMap(catalog::findOrganisation);
    if (organisation.isEmpty()) {
      answer.refuse(ErrorKind.INVALID_KEY, 0);
      return;
    }
    if (call instanceof JobCall.ReadResults read) {
      jobs.read(
          read.job(),
          organisation.get().id(),
          read.position(),
          read.waitMillis(),
          found -> respondResults(answer, read.position(), found));
    } else if (call instanceof JobCall.ReadItem item) {
      jobs.readItem(
          item.job(), organisation.get().id(), item.item(), found -> respondItem(answer, found));
    } else {
      jobs.cancel(
          call.job(),
          organisation.get().id(),
          outcome -> {
            services.log().add("jobs", "ended by caller", "job", call.job(), "outcome", outcome);
            respond(answer, outcome, HttpResponseStatus.OK);
          });
    }
  }

  private static void respond(Answer answer, JobGateway.Outcome outcome, HttpResponseStatus done) {
    switch (outcome) {
      case DONE -> answer.answer(done, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
      case REFUSED -> answer.refuse(ErrorKind.PLATFORM_UNAVAILABLE, RETRY_UNREADY.toMillis());
      case UNKNOWN -> answer.refuse(ErrorKind.BACKEND_TIMEOUT, 0);
      case NO_SUCH_JOB -> answer.refuse(ErrorKind.NOT_FOUND, 0);
    }
  }

  private void respondResults(Answer answer, int position, JobGateway.JobAnswer found) {
    if (!respondUnlessFound(answer, found)) {
      byte[] body =
          services
              .dialect()
              .encodeResults(found.total(), position + found.results().size(), found.results());
      HttpHeaders headers = new DefaultHttpHeaders();
      headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
      answer.answer(HttpResponseStatus.OK, headers, Unpooled.wrappedBuffer(body));
    }
  }

  private static void respondItem(Answer answer, JobGateway.JobAnswer found) {
    if (!respondUnlessFound(answer, found)) {
      if (found.body().isEmpty()) {
        answer.refuse(ErrorKind.NOT_FOUND, 0);
        return;
      }
      answer.answer(
          HttpResponseStatus.OK,
          new DefaultHttpHeaders(),
          Unpooled.wrappedBuffer(found.body().get()));
    }
  }

  private static boolean respondUnlessFound(Answer answer, JobGateway.JobAnswer found) {
    return switch (found.certainty()) {
      case FOUND -> false;
      case ABSENT -> {
        answer.refuse(ErrorKind.NOT_FOUND, 0);
        yield true;
      }
      case UNSURE -> {
        answer.refuse(ErrorKind.PLATFORM_UNAVAILABLE, RETRY_UNREADY.toMillis());
        yield true;
      }
    };
  }

  private static String pathOf(String uri) {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  private static String hostNameOf(FullHttpRequest request) {
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    int port = host.indexOf(':');
    return port < 0 ? host : host.substring(0, port);
  }

  /** The answer to one request. */
  private final class Answer implements Responder {
    private final Connection connection;
    private final FullHttpRequest request;
    private Runnable onCallerLeft = () -> {};
    private String requestId = "";
    private boolean closeAfter;
    private boolean over;

    Answer(Connection connection, FullHttpRequest request) {
      this.connection = connection;
      this.request = request;
      this.closeAfter = !HttpUtil.isKeepAlive(request);
    }

    void callerLeft() {
      if (!over) {
        finish();
        onCallerLeft.run();
      }
    }

    @Override
    public void refuse(ErrorKind kind, long retryAfterMillis) {
      HttpHeaders headers = new DefaultHttpHeaders();
      headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
      if (retryAfterMillis > 0) {
        services.dialect().setRetryAfter(headers, retryAfterMillis);
      }
      byte[] body =
          JsonCodec.encode(ErrorResponse.of(kind, kind.code(), requestId)).getBytes(UTF_8);
      answer(HttpResponseStatus.valueOf(kind.status()), headers, Unpooled.wrappedBuffer(body));
    }

    @Override
    public void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
      if (over) {
        body.release();
        return;
      }
      HttpHeaders sent = headers.copy();
      sent.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      announceClose(sent);
      write(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, status, body, sent, EmptyHttpHeaders.INSTANCE));
      complete();
    }

    @Override
    public void begin(HttpResponseStatus status, HttpHeaders headers) {
      if (over) {
        return;
      }
      HttpHeaders sent = headers.copy();
      sent.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      announceClose(sent);
      write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, sent));
    }

    @Override
    public void part(ByteBuf part) {
      if (over) {
        part.release();
        return;
      }
      connection.channel.writeAndFlush(new DefaultHttpContent(part));
    }

    @Override
    public void end() {
      if (!over) {
        write(LastHttpContent.EMPTY_LAST_CONTENT);
        complete();
      }
    }

    @Override
    public void breakOff() {
      if (!over) {
        finish();
        connection.channel.close();
      }
    }

    private void announceClose(HttpHeaders headers) {
      closeAfter |= draining;
      if (closeAfter) {
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
    }

    private void write(Object message) {
      connection.channel.write(message);
    }

    private void complete() {
      finish();
      if (closeAfter) {
        connection
            .channel
            .writeAndFlush(Unpooled.EMPTY_BUFFER)
            .addListener(ChannelFutureListener.CLOSE);
      } else {
        connection.channel.flush();
      }
      connection.answered(closeAfter);
    }

    private void finish() {
      over = true;
      request.release();
    }
  }
}
