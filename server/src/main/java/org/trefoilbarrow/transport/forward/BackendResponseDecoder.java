package org.trefoilbarrow.transport.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses on a connection to a backend server, one request at a time. Bytes that
 * arrive while no request is open belong to no response that anyone waits for, so the connection is
 * closed after them; they would become the beginning of the next response otherwise. The head among
 * them is decoded nevertheless, since it may state that the server is leaving. Used only on the
 * event loop's thread.
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
    boolean belongsToRequest = requestIsOpen;
    super.channelRead(context, received);
    if (!belongsToRequest) {
      context.close();
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage response) {
    return headRequested || super.isContentAlwaysEmpty(response);
  }
}
