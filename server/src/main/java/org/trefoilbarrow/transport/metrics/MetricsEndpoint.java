package org.trefoilbarrow.transport.metrics;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.dropwizard.samplebuilder.CustomMappingSampleBuilder;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Collections;

/**
 * An HTTP endpoint that serves the metrics of a host in the Prometheus text format. Used only on
 * the event loop's thread.
 */
public final class MetricsEndpoint {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String PATH = "/metrics";

  /** Requests for metrics have no body. */
  private static final int MAX_REQUEST_BYTES = 1024;

  private final EventLoop loop;
  private final DropwizardExports exports;

  /** Creates an endpoint that does not listen yet. */
  public MetricsEndpoint(EventLoop loop, FleetMetrics metrics) {
    this.loop = checkNotNull(loop, "loop");
    this.exports =
        new DropwizardExports(
            metrics.registry(), new CustomMappingSampleBuilder(FleetMetrics.labelMappings()));
  }

  /** Starts to listen; if that fails, the host runs without a metrics endpoint. */
  public void listen(String address, int port) {
    new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel created) {
                created
                    .pipeline()
                    .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                        new Handler());
              }
            })
        .bind(address, port)
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                logger.atWarning().withCause(done.cause()).log(
                    "metrics: cannot listen on %s:%d; running without a metrics endpoint",
                    address, port);
              }
            });
  }

  /** Returns all metrics in the Prometheus text format. */
  String text() {
    StringWriter text = new StringWriter();
    try {
      TextFormat.write004(text, Collections.enumeration(exports.collect()));
    } catch (IOException e) {
      throw new UncheckedIOException("cannot encode the metrics as text", e);
    }
    return text.toString();
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      boolean found = request.uri().equals(PATH);
      ByteBuf body = found ? Unpooled.copiedBuffer(text(), UTF_8) : Unpooled.EMPTY_BUFFER;
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              found ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND,
              body);
      response
          .headers()
          .set(HttpHeaderNames.CONTENT_TYPE, TextFormat.CONTENT_TYPE_004)
          .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
          .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      logger.atFine().withCause(cause).log("metrics: connection failed, closing it");
      context.close();
    }
  }
}
