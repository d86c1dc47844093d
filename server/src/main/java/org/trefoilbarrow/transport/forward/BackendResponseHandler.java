package org.trefoilbarrow.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to a request that was sent to a backend server. */
public interface BackendResponseHandler {

  /** Returns the identifier of the request, by which its response is recognised. */
  String requestId();

  /** Called when the status and the headers of the response were received. */
  void onHeaders(HttpResponse response, ResponseAttributes attributes);

  /** Called for each part of the response body; the callee must not retain the buffer. */
  void onBody(ByteBuf part);

  /** Called when the response is complete. */
  void onEnd();

  /**
   * Called when the request was not sent, since the backend server has stated that it is leaving.
   */
  void onNotSent();

  /**
   * Called when the response is lost or cannot be completed.
   *
   * @param sent whether the request may have reached the backend server
   */
  void onBroken(boolean sent, LossCause cause);
}
