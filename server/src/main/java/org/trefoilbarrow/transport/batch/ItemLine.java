package org.trefoilbarrow.transport.batch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.ServiceException;

/**
 * One line of an input file, in the format of the OpenAI batch API.
 *
 * @param customId the caller's identifier of the item, unique in the file
 * @param body the request's body
 */
record ItemLine(String customId, ObjectNode body) {
  private static final String CHAT_PATH = "/v1/chat/completions";

  /**
   * Parses a line.
   *
   * @throws ServiceException if the line is not a valid item, with the line number and the reason
   */
  static ItemLine parse(String line, long lineNumber) {
    JsonNode tree;
    try {
      tree = JsonCodec.mapper().readTree(line);
    } catch (IOException e) {
      throw invalidLine(lineNumber, "is not valid JSON");
    }
    findError(tree)
        .ifPresent(
            error -> {
              throw invalidLine(lineNumber, error);
            });
    return new ItemLine(tree.get("custom_id").asText(), (ObjectNode) tree.get("body"));
  }

  private static Optional<String> findError(JsonNode tree) {
    if (tree == null || !tree.isObject()) {
      return Optional.of("is not a JSON object");
    }
    if (!tree.path("custom_id").isTextual() || tree.path("custom_id").asText().isEmpty()) {
      return Optional.of("has no \"custom_id\"");
    }
    if (!tree.path("method").asText("POST").equals("POST")) {
      return Optional.of("has a \"method\" other than \"POST\"");
    }
    if (!tree.path("url").asText().equals(CHAT_PATH)) {
      return Optional.of("has a \"url\" other than \"" + CHAT_PATH + "\"");
    }
    if (!tree.path("body").isObject() || !tree.path("body").path("model").isTextual()) {
      return Optional.of("has no \"body\" with a \"model\"");
    }
    if (tree.path("body").path("stream").asBoolean(false)) {
      return Optional.of("requests a streamed response");
    }
    return Optional.empty();
  }

  static ServiceException invalidLine(long lineNumber, String error) {
    return new ServiceException(ErrorKind.INVALID_REQUEST, "line %s %s", lineNumber, error);
  }
}
