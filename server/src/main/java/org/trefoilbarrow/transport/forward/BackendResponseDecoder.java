package org.trefoilbarrow.transport.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses on a connection to a backend server, one request at a time. Bytes that
 * arrive while no request is open belong to no response, so they close the connection; they would
 * become the beginning of the next response otherwise. Used only on the event loop's thread.
 */
final class BackendResponseDecoder extends HttpResponseDecoder {
  private boolean requestIsOpen;
  private boolean headRequested;

  /** Called before a request is sent. */
  void beginRequest(HttpMethod method) {
    requestIsOpen = true;
    headRequested = method.equals(HttpMethod.HEAD);
  }

  /**
   * Called at the end of a response. Returns whether nothing was received beyond it, so that the
   * connection may be reused.
   */
  boolean endRequest() {
    requestIsOpen = false;
    return actualReadableBytes() == 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object received) throws Exception {
    if (requestIsOpen) {
      super.channelRead(context, received);
      return;
    }
    ReferenceCountUtil.release(received);
    context.close();
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage response) {
    return headRequested || super.isContentAlwaysEmpty(response);
  }
}
