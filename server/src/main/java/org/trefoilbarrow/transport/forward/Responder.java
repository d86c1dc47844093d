package org.trefoilbarrow.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.trefoilbarrow.protocol.ErrorKind;

/** Answers one request of a caller. */
public interface Responder {

  /** Sends an answer of this host. */
  void refuse(ErrorKind kind, long retryAfterMillis);

  /** Sends a whole answer; the body is taken over. */
  void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /** Begins an answer whose parts follow. */
  void begin(HttpResponseStatus status, HttpHeaders headers);

  /** Sends a part of an answer that began; the part is taken over. */
  void part(ByteBuf part);

  /** Ends an answer that began. */
  void end();

  /** Closes the connection, which tells the caller that the answer is not complete. */
  void breakOff();
}
