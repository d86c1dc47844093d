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
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.connection.IdleTimeout;
import org.trefoilbarrow.coordination.drain.DrainSchedule;
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
 * The HTTP server for callers: authenticates and routes requests, and forwards them to backend
 * servers or to the job gateway. Also serves readiness checks. Used only on the event loop's
 * thread.
 */
public final class Ingress {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(50);
  private static final Duration BIND_RETRY_DELAY = Duration.ofMillis(300);
  private static final Duration UNAVAILABLE_RETRY_DELAY = Duration.ofMillis(500);

  /** The longest time of a call that concerns a job: the platform's answers and their retries. */
  private static final Duration MAX_JOB_CALL_TIME = Duration.ofSeconds(4);

  /** The most bytes of one chunk; bodies are aggregated before they are forwarded. */
  private static final int MAX_CHUNK_BYTES = 65_536;

  private static final int MAX_LINE_BYTES = 8192;

  /** A first attempt has at least this fraction of the longest deadline seen on its route. */
  private static final double FIRST_ATTEMPT_FRACTION = 0.98;

  private static final int MAX_PIPELINED_REQUESTS = 16;

  private final ForwardServices services;
  private final JobGateway jobs;
  private final LongSupplier milliClock;
  private final Set<Connection> connections = new LinkedHashSet<>();
  private final Set<ForwardedCall> calls = new HashSet<>();
  private final Map<String, Long> longestDeadlines = new HashMap<>();
  private final IdleTimeout idleTimeout = new IdleTimeout();
  private Optional<Catalog> lastCatalog = Optional.empty();
  private long idleNanos;
  private boolean ready;
  private Optional<DrainSchedule> drain = Optional.empty();

  /** Creates an ingress that does not listen yet. */
  public Ingress(ForwardServices services, JobGateway jobs, LongSupplier milliClock) {
    this.services = checkNotNull(services, "services");
    this.jobs = checkNotNull(jobs, "jobs");
    this.milliClock = checkNotNull(milliClock, "milliClock");
  }

  /** Starts to listen on the ports for callers and for readiness checks. */
  public void listen(String address, int callerPort, int readinessPort) {
    bind(address, callerPort);
    bind(address, readinessPort);
    services
        .loop()
        .scheduleAtFixedRate(
            this::sweep,
            SWEEP_INTERVAL.toMillis(),
            SWEEP_INTERVAL.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  /** Sets whether readiness checks succeed, so that the host gets new connections. */
  public void setReady(boolean ready) {
    if (this.ready != ready) {
      services.log().add("ingress", ready ? "ready" : "unready");
    }
    this.ready = ready;
  }

  /**
   * Fails readiness checks from now on, closes each connection after its next response, and refuses
   * the new requests that the schedule does not accept.
   */
  public void startDraining(DrainSchedule schedule) {
    drain = Optional.of(schedule);
    ready = false;
  }

  /** Refuses a request that may take too long for a host that stops; returns whether it did. */
  private boolean refuseIfStopping(Response response, long maxNanos) {
    long now = services.nanoClock().getAsLong();
    if (drain.isEmpty() || drain.get().acceptsRequest(maxNanos, now)) {
      return false;
    }
    response.refuse(ErrorKind.SHUTTING_DOWN, UNAVAILABLE_RETRY_DELAY.toMillis());
    return true;
  }

  /** Ends all requests in progress, with an answer unless their response has begun. */
  public void endRequests() {
    long retryAfterMillis = UNAVAILABLE_RETRY_DELAY.toMillis();
    ImmutableList.copyOf(calls).forEach(call -> call.stop(retryAfterMillis));
    for (Connection connection : ImmutableList.copyOf(connections)) {
      // What is left are calls that concern jobs, whose outcome is unknown.
      connection.response.ifPresent(response -> response.refuse(ErrorKind.BACKEND_TIMEOUT, 0));
    }
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  /** Closes the connections on which no request is in progress or arriving. */
  public void closeIdleConnections() {
    for (Connection connection : ImmutableList.copyOf(connections)) {
      if (connection.isIdle()) {
        connection.channel.close();
      }
    }
  }

  /** Returns the number of requests that are in progress or arriving. */
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
                Connection connection = new Connection();
                created
                    .pipeline()
                    .addLast(
                        new InboundObserver(bytes -> connection.onBytesReceived()),
                        new HttpServerCodec(
                            MAX_LINE_BYTES, limits.maxHeaderBytes(), MAX_CHUNK_BYTES),
                        new InboundObserver(connection::onPartReceived),
                        new HttpObjectAggregator(limits.maxBodyBytes()),
                        connection);
              }
            })
        .bind(address, port)
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                logger.atSevere().withCause(done.cause()).log(
                    "ingress: cannot listen on %s:%d; retrying in %d ms",
                    address, port, BIND_RETRY_DELAY.toMillis());
                services
                    .loop()
                    .schedule(
                        () -> bind(address, port),
                        BIND_RETRY_DELAY.toMillis(),
                        TimeUnit.MILLISECONDS);
              }
            });
  }

  private void sweep() {
    long now = services.nanoClock().getAsLong();
    Optional<Catalog> catalog = services.fleet().catalog();
    boolean catalogChanged = !catalog.equals(lastCatalog);
    lastCatalog = catalog;
    for (ForwardedCall call : ImmutableList.copyOf(calls)) {
      if (catalogChanged) {
        catalog.ifPresent(call::onCatalogChanged);
      }
      call.checkProgress(now);
    }
    CallerLimits limits = limits();
    idleNanos = Duration.ofMillis(idleTimeout.update(limits.idleTimeoutMillis(), now)).toNanos();
    long headerNanos = Duration.ofMillis(limits.headerTimeoutMillis()).toNanos();
    for (Connection connection : ImmutableList.copyOf(connections)) {
      if (connection.isTimedOut(now, headerNanos)) {
        connection.channel.close();
      }
    }
    services.connections().closeIdle();
  }

  /** One connection of a caller; its requests are processed one after the other. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();
    private Channel channel;
    private long lastActiveNanos = services.nanoClock().getAsLong();
    private long maxIdleNanos = idleNanos;
    private OptionalLong headerStartNanos = OptionalLong.empty();
    private boolean receivesBody;
    private Optional<Response> response = Optional.empty();

    boolean isIdle() {
      return response.isEmpty() && !receivesBody && headerStartNanos.isEmpty();
    }

    boolean isTimedOut(long now, long headerNanos) {
      maxIdleNanos = Math.max(maxIdleNanos, idleNanos);
      if (response.isPresent()) {
        return false;
      }
      boolean headerIsLate =
          headerStartNanos.isPresent() && now - headerStartNanos.getAsLong() > headerNanos;
      return headerIsLate || now - lastActiveNanos > maxIdleNanos;
    }

    void onBytesReceived() {
      markActive();
      if (!receivesBody && headerStartNanos.isEmpty()) {
        headerStartNanos = OptionalLong.of(lastActiveNanos);
      }
    }

    void onPartReceived(Object part) {
      headerStartNanos = OptionalLong.empty();
      receivesBody = !(part instanceof LastHttpContent);
    }

    private void markActive() {
      lastActiveNanos = services.nanoClock().getAsLong();
      maxIdleNanos = idleNanos;
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
      response.ifPresent(Response::onDisconnected);
      response = Optional.empty();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      logger.atFine().withCause(cause).log("ingress: connection of a caller failed, closing it");
      context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      markActive();
      if (response.isPresent()) {
        if (waiting.size() >= MAX_PIPELINED_REQUESTS) {
          context.close();
          return;
        }
        waiting.add(request.retain());
        return;
      }
      process(request.retain());
    }

    private void process(FullHttpRequest request) {
      Response next = new Response(this, request);
      response = Optional.of(next);
      try {
        route(request, next);
      } catch (ServiceException e) {
        next.refuse(e.kind(), 0);
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log(
            "ingress: internal error while processing request \"%s\"; refusing it", next.requestId);
        next.refuse(ErrorKind.INTERNAL, 0);
      }
    }

    void responseCompleted(boolean close) {
      response = Optional.empty();
      markActive();
      if (close) {
        return;
      }
      FullHttpRequest next = waiting.poll();
      if (next != null) {
        process(next);
      }
    }
  }

  private void route(FullHttpRequest request, Response response) {
    if (request.decoderResult().isFailure()) {
      Throwable cause = request.decoderResult().cause();
      boolean tooLong =
          cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
      response.closeAfter = true;
      response.refuse(tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.INVALID_REQUEST, 0);
      return;
    }
    if (services.dialect().isReadinessCheck(request)) {
      response.respond(
          ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
          new DefaultHttpHeaders(),
          Unpooled.EMPTY_BUFFER);
      return;
    }
    Optional<Catalog> catalog = services.fleet().catalog();
    if (catalog.isEmpty()) {
      response.refuse(ErrorKind.HOST_NOT_READY, UNAVAILABLE_RETRY_DELAY.toMillis());
      return;
    }
    if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
      response.refuse(ErrorKind.INVALID_REQUEST, 0);
      return;
    }
    RequestAttributes attributes = services.dialect().requestAttributes(request);
    response.requestId = attributes.requestId();
    Optional<JobCall> jobCall = services.dialect().parseJobCall(request);
    if (jobCall.isPresent()) {
      if (!refuseIfStopping(response, MAX_JOB_CALL_TIME.toNanos())) {
        handleJobCall(catalog.get(), attributes, jobCall.get(), response);
      }
      return;
    }
    String path = pathOf(request.uri());
    Optional<Route> route = catalog.get().route(hostNameOf(request), path);
    if (route.isEmpty()) {
      response.refuse(ErrorKind.NOT_FOUND, 0);
      return;
    }
    Optional<Organisation> organisation = Optional.empty();
    if (!route.get().open() && !catalog.get().organisations().isEmpty()) {
      organisation = attributes.key().flatMap(catalog.get()::findOrganisation);
      if (organisation.isEmpty()) {
        services
            .log()
            .add(
                "ingress",
                "unknown key",
                "request",
                attributes.requestId(),
                "version",
                catalog.get().version());
        response.refuse(ErrorKind.INVALID_KEY, 0);
        return;
      }
    }
    if (attributes.requestId().isEmpty()) {
      response.refuse(ErrorKind.INVALID_REQUEST, 0);
      return;
    }
    boolean isJob = route.get().requestKind() == Route.RequestKind.BATCH;
    long maxNanos =
        isJob ? MAX_JOB_CALL_TIME.toNanos() : ForwardedCall.maxNanos(route.get(), attributes);
    if (refuseIfStopping(response, maxNanos)) {
      return;
    }
    if (isJob) {
      submitJob(request, attributes, path, organisation, response);
      return;
    }
    forward(request, attributes, route.get(), organisation, response);
  }

  private void forward(
      FullHttpRequest request,
      RequestAttributes attributes,
      Route route,
      Optional<Organisation> organisation,
      Response response) {
    ForwardedCall[] self = new ForwardedCall[1];
    ForwardedCall call =
        new ForwardedCall(
            services,
            new CallerRequest(request.retain(), attributes, route, organisation),
            isRetry(route, attributes),
            response,
            () -> calls.remove(self[0]));
    self[0] = call;
    calls.add(call);
    response.onCallerDisconnected = call::cancel;
    call.start();
  }

  /**
   * Returns whether the request is a retry. Callers of a route start with the same deadline, so one
   * with less time left has waited already.
   */
  private boolean isRetry(Route route, RequestAttributes attributes) {
    if (attributes.deadlineMillis().isEmpty()) {
      return false;
    }
    long deadline = attributes.deadlineMillis().getAsLong();
    long longest = longestDeadlines.merge(route.name(), deadline, Math::max);
    return deadline < longest * FIRST_ATTEMPT_FRACTION;
  }

  private void submitJob(
      FullHttpRequest request,
      RequestAttributes attributes,
      String path,
      Optional<Organisation> organisation,
      Response response) {
    if (!request.method().equals(HttpMethod.POST) || organisation.isEmpty()) {
      response.refuse(ErrorKind.INVALID_REQUEST, 0);
      return;
    }
    byte[] body = new byte[request.content().readableBytes()];
    request.content().getBytes(request.content().readerIndex(), body);
    List<JobItem> items = services.dialect().parseJobItems(body);
    RequestJob job =
        new RequestJob(
            JobId.of(attributes.requestId()),
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
          respondOutcome(response, outcome, HttpResponseStatus.ACCEPTED);
        });
  }

  private void handleJobCall(
      Catalog catalog, RequestAttributes attributes, JobCall call, Response response) {
    Optional<Organisation> organisation = attributes.key().flatMap(catalog::findOrganisation);
    if (organisation.isEmpty()) {
      response.refuse(ErrorKind.INVALID_KEY, 0);
      return;
    }
    if (call instanceof JobCall.ReadResults read) {
      jobs.read(
          read.job(),
          organisation.get().id(),
          read.position(),
          read.waitMillis(),
          found -> respondResults(response, read.position(), found));
    } else if (call instanceof JobCall.ReadItem item) {
      jobs.readItem(
          item.job(), organisation.get().id(), item.item(), found -> respondItem(response, found));
    } else {
      jobs.cancel(
          call.job(),
          organisation.get().id(),
          outcome -> {
            services.log().add("jobs", "ended by caller", "job", call.job(), "outcome", outcome);
            respondOutcome(response, outcome, HttpResponseStatus.OK);
          });
    }
  }

  private static void respondOutcome(
      Response response, JobGateway.Outcome outcome, HttpResponseStatus done) {
    switch (outcome) {
      case DONE -> response.respond(done, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
      case REFUSED ->
          response.refuse(ErrorKind.PLATFORM_UNAVAILABLE, UNAVAILABLE_RETRY_DELAY.toMillis());
      case UNKNOWN -> response.refuse(ErrorKind.BACKEND_TIMEOUT, 0);
      case NO_SUCH_JOB -> response.refuse(ErrorKind.NOT_FOUND, 0);
    }
  }

  private void respondResults(Response response, int position, JobGateway.JobAnswer found) {
    if (!refuseUnlessFound(response, found)) {
      byte[] body =
          services
              .dialect()
              .encodeResults(found.total(), position + found.results().size(), found.results());
      HttpHeaders headers = new DefaultHttpHeaders();
      headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
      response.respond(HttpResponseStatus.OK, headers, Unpooled.wrappedBuffer(body));
    }
  }

  private static void respondItem(Response response, JobGateway.JobAnswer found) {
    if (!refuseUnlessFound(response, found)) {
      if (found.body().isEmpty()) {
        response.refuse(ErrorKind.NOT_FOUND, 0);
        return;
      }
      response.respond(
          HttpResponseStatus.OK,
          new DefaultHttpHeaders(),
          Unpooled.wrappedBuffer(found.body().get()));
    }
  }

  private static boolean refuseUnlessFound(Response response, JobGateway.JobAnswer found) {
    return switch (found.certainty()) {
      case FOUND -> false;
      case ABSENT -> {
        response.refuse(ErrorKind.NOT_FOUND, 0);
        yield true;
      }
      case UNSURE -> {
        response.refuse(ErrorKind.PLATFORM_UNAVAILABLE, UNAVAILABLE_RETRY_DELAY.toMillis());
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

  /** The response to one request. */
  private final class Response implements Responder {
    private final Connection connection;
    private final FullHttpRequest request;
    private Runnable onCallerDisconnected = () -> {};
    private String requestId = "";
    private boolean closeAfter;
    private boolean finished;

    Response(Connection connection, FullHttpRequest request) {
      this.connection = connection;
      this.request = request;
      this.closeAfter = !HttpUtil.isKeepAlive(request);
    }

    void onDisconnected() {
      if (!finished) {
        finish();
        onCallerDisconnected.run();
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
      respond(HttpResponseStatus.valueOf(kind.status()), headers, Unpooled.wrappedBuffer(body));
    }

    @Override
    public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
      if (finished) {
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
    public void startResponse(HttpResponseStatus status, HttpHeaders headers) {
      if (finished) {
        return;
      }
      HttpHeaders sent = headers.copy();
      sent.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      announceClose(sent);
      write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, sent));
    }

    @Override
    public void writePart(ByteBuf part) {
      if (finished) {
        part.release();
        return;
      }
      connection.channel.writeAndFlush(new DefaultHttpContent(part));
    }

    @Override
    public void endResponse() {
      if (!finished) {
        write(LastHttpContent.EMPTY_LAST_CONTENT);
        complete();
      }
    }

    @Override
    public void abort() {
      if (!finished) {
        finish();
        connection.channel.close();
      }
    }

    private void announceClose(HttpHeaders headers) {
      // A request that already waits behind this one could not be answered on a closed connection.
      closeAfter |= drain.isPresent() && connection.waiting.isEmpty();
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
      connection.responseCompleted(closeAfter);
    }

    private void finish() {
      finished = true;
      request.release();
    }
  }
}
