package org.trefoilbarrow.transport.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Consumer;

/** Shows each inbound message to an observer, which must not retain it, and passes it on. */
final class InboundObserver extends ChannelInboundHandlerAdapter {
  private final Consumer<Object> observer;

  InboundObserver(Consumer<Object> observer) {
    this.observer = checkNotNull(observer, "observer");
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    observer.accept(message);
    context.fireChannelRead(message);
  }
}
