package org.trefoilbarrow.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Encodes and decodes messages and records as compact JSON. Thread-safe. */
public final class JsonCodec {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          // Hosts of a newer version may write fields that this version lacks.
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private JsonCodec() {}

  /** Returns the shared mapper, for trees and streaming. It must not be reconfigured. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /** Returns the given value as JSON. */
  public static String encode(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(
          String.format(
              "value of type \"%s\" cannot be encoded as JSON", value.getClass().getName()),
          e);
    }
  }

  /** Returns how many bytes a text takes as a JSON string in UTF-8, with its quotation marks. */
  public static long encodedBytes(String text) {
    long bytes = 2;
    for (int index = 0; index < text.length(); index++) {
      bytes += encodedBytes(text.charAt(index));
    }
    return bytes;
  }

  private static int encodedBytes(char character) {
    if (character < ' ') {
      boolean hasShortEscape = "\b\t\n\f\r".indexOf(character) >= 0;
      return hasShortEscape ? 2 : 6;
    }
    if (character == '"' || character == '\\') {
      return 2;
    }
    if (character < 0x80) {
      return 1;
    }
    // The two characters of a surrogate pair are one of four bytes.
    return character < 0x800 || Character.isSurrogate(character) ? 2 : 3;
  }

  /**
   * Returns the value that the JSON encodes.
   *
   * @throws UncheckedIOException if the text does not encode a value of the type
   */
  public static <T> T decode(String json, Class<T> type) {
    try {
      return MAPPER.readValue(json, type);
    } catch (IOException e) {
      throw new UncheckedIOException(
          String.format("text is not the JSON of a value of type \"%s\"", type.getName()), e);
    }
  }
}
