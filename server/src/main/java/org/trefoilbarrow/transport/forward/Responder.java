package org.trefoilbarrow.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.trefoilbarrow.protocol.ErrorKind;

/** Sends the response to one request of a caller. */
public interface Responder {

  /** Sends an error response; without a retry time if {@code retryAfterMillis} is 0. */
  void refuse(ErrorKind kind, long retryAfterMillis);

  /** Sends a complete response and releases the body. */
  void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /** Starts a chunked response, whose parts follow. */
  void startResponse(HttpResponseStatus status, HttpHeaders headers);

  /** Sends a part of a started response and releases it. */
  void writePart(ByteBuf part);

  /** Completes a started response. */
  void endResponse();

  /** Closes the connection, which shows the caller that the response is incomplete. */
  void abort();
}
