package org.trefoilbarrow.transport.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.ByteStreams;
import java.io.IOException;
import java.io.InputStream;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.ServiceException;

/** Reads request bodies up to a maximum size. */
final class RequestBodies {
  /**
   * How much of a body beyond its limit is read and dropped. Closing a connection with unread bytes
   * resets it, and the caller, which still sends, would not get the response.
   */
  private static final long MAX_DROPPED_BYTES = 64L << 20;

  private RequestBodies() {}

  /**
   * Reads a body to its end.
   *
   * @throws ServiceException if the body is too large or ends early
   */
  static byte[] read(InputStream body, int maxBytes) {
    try {
      byte[] bytes = ByteStreams.limit(body, maxBytes + 1L).readAllBytes();
      if (bytes.length > maxBytes) {
        ByteStreams.exhaust(ByteStreams.limit(body, MAX_DROPPED_BYTES));
        throw new ServiceException(
            ErrorKind.BODY_TOO_LARGE,
            "the request body is longer than the limit of %s bytes",
            maxBytes);
      }
      return bytes;
    } catch (IOException e) {
      throw new ServiceException(
          ErrorKind.INVALID_REQUEST, e, "the request body could not be read to its end");
    }
  }

  /**
   * Parses a JSON object.
   *
   * @throws ServiceException if the bytes are not a JSON object
   */
  static ObjectNode parseObject(byte[] bytes) {
    try {
      JsonNode tree = JsonCodec.mapper().readTree(bytes);
      if (tree instanceof ObjectNode object) {
        return object;
      }
    } catch (IOException e) {
      throw new ServiceException(
          ErrorKind.INVALID_REQUEST, e, "the request body is not valid JSON");
    }
    throw new ServiceException(ErrorKind.INVALID_REQUEST, "the request body is not a JSON object");
  }
}
