package org.trefoilbarrow.transport.batch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.RequestId;
import org.trefoilbarrow.transport.backend.FullResponse;

/** The lines of output and error files, in the published OpenAI batch shape. */
final class ResultLine {
  private ResultLine() {}

  /** Returns the line of an item that a backend server answered. */
  static String answered(RequestId id, String customId, FullResponse answer) {
    ObjectNode line = begin(id, customId);
    line.set("response", response(id, answer));
    line.putNull("error");
    return line.toString();
  }

  /** Returns the line of an item that ended as failed after a backend server answered. */
  static String refused(RequestId id, String customId, FullResponse answer) {
    ObjectNode line = begin(id, customId);
    line.set("response", response(id, answer));
    putError(line, "refused", "the backend server answered with status " + answer.status());
    return line.toString();
  }

  /** Returns the line of an item that ended as failed without an answer. */
  static String failed(RequestId id, String customId, String code, String message) {
    ObjectNode line = begin(id, customId);
    line.putNull("response");
    putError(line, code, message);
    return line.toString();
  }

  private static ObjectNode begin(RequestId id, String customId) {
    return JsonCodec.mapper().createObjectNode().put("id", id.value()).put("custom_id", customId);
  }

  private static ObjectNode response(RequestId id, FullResponse answer) {
    ObjectNode response = JsonCodec.mapper().createObjectNode();
    response.put("status_code", answer.status()).put("request_id", id.value());
    response.set("body", body(answer));
    return response;
  }

  private static JsonNode body(FullResponse answer) {
    try {
      return JsonCodec.mapper().readTree(answer.body());
    } catch (IOException e) {
      String text = new String(answer.body(), StandardCharsets.UTF_8);
      return JsonCodec.mapper().getNodeFactory().textNode(text);
    }
  }

  private static void putError(ObjectNode line, String code, String message) {
    line.putObject("error").put("code", code).put("message", message);
  }
}
