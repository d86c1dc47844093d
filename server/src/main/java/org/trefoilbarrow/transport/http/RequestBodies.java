package org.trefoilbarrow.transport.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.ByteStreams;
import java.io.IOException;
import java.io.InputStream;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.ServiceException;

/** Reads bodies of requests within bounds. */
final class RequestBodies {
  private RequestBodies() {}

  /**
   * Returns the whole body.
   *
   * @throws ServiceException if it is too large or does not arrive
   */
  static byte[] read(InputStream body, int maxBytes) {
    try {
      byte[] bytes = ByteStreams.limit(body, maxBytes + 1L).readAllBytes();
      if (bytes.length > maxBytes) {
        throw new ServiceException(
            ErrorKind.BODY_TOO_LARGE, "the body is longer than %s bytes", maxBytes);
      }
      return bytes;
    } catch (IOException e) {
      throw new ServiceException(
          ErrorKind.INVALID_REQUEST, e, "the body did not arrive as a whole");
    }
  }

  /**
   * Returns the JSON object that the bytes state.
   *
   * @throws ServiceException if they do not state one
   */
  static ObjectNode parseObject(byte[] bytes) {
    try {
      JsonNode tree = JsonCodec.mapper().readTree(bytes);
      if (tree instanceof ObjectNode object) {
        return object;
      }
    } catch (IOException e) {
      throw new ServiceException(ErrorKind.INVALID_REQUEST, e, "the body is not valid JSON");
    }
    throw new ServiceException(ErrorKind.INVALID_REQUEST, "the body is not a JSON object");
  }
}
