package org.trefoilbarrow.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Takes the answer to a request that was sent to a backend server. */
public interface BackendExchange {

  /** Returns the identifier by which the answer is recognised. */
  String requestId();

  /** The head of the answer came. */
  void onHead(HttpResponse head, ResponseAttributes facts);

  /** A part of the answer's body came; the callee must not keep it. */
  void onBody(ByteBuf part);

  /** The answer is complete. */
  void onEnd();

  /**
   * The answer will not be complete.
   *
   * @param sent whether the request may have reached the backend server
   */
  void onBroken(boolean sent);
}
