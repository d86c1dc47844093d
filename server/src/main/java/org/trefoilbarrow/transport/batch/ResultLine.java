package org.trefoilbarrow.transport.batch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.RequestId;
import org.trefoilbarrow.transport.backend.FullResponse;

/** Creates the lines of output and error files, in the format of the OpenAI batch API. */
final class ResultLine {
  private ResultLine() {}

  /** Returns the line of an item that ended with a response. */
  static String answered(RequestId id, String customId, FullResponse response) {
    ObjectNode line = newLine(id, customId);
    line.set("response", toJson(id, response));
    line.putNull("error");
    return line.toString();
  }

  /** Returns the line of an item that failed because of the status of its response. */
  static String refused(RequestId id, String customId, FullResponse response) {
    ObjectNode line = newLine(id, customId);
    line.set("response", toJson(id, response));
    putError(line, "refused", "the backend server answered with status " + response.status());
    return line.toString();
  }

  /** Returns the line of an item that failed without a response. */
  static String failed(RequestId id, String customId, String code, String message) {
    ObjectNode line = newLine(id, customId);
    line.putNull("response");
    putError(line, code, message);
    return line.toString();
  }

  private static ObjectNode newLine(RequestId id, String customId) {
    return JsonCodec.mapper().createObjectNode().put("id", id.value()).put("custom_id", customId);
  }

  private static ObjectNode toJson(RequestId id, FullResponse response) {
    ObjectNode json = JsonCodec.mapper().createObjectNode();
    json.put("status_code", response.status()).put("request_id", id.value());
    json.set("body", body(response));
    return json;
  }

  private static JsonNode body(FullResponse response) {
    try {
      return JsonCodec.mapper().readTree(response.body());
    } catch (IOException e) {
      String text = new String(response.body(), StandardCharsets.UTF_8);
      return JsonCodec.mapper().getNodeFactory().textNode(text);
    }
  }

  private static void putError(ObjectNode line, String code, String message) {
    line.putObject("error").put("code", code).put("message", message);
  }
}
