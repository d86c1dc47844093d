package org.trefoilbarrow.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Throwables;
import com.google.common.collect.ImmutableList;
import com.google.common.io.Resources;
import com.networknt.schema.InputFormat;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import com.networknt.schema.serialization.JsonNodeReader;
import com.networknt.schema.utils.JsonNodes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads {@link Settings} from JSON with comments. Values that are not set have defaults. All errors
 * of a file are reported at once.
 */
public final class SettingsLoader {
  static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonParser.Feature.ALLOW_COMMENTS)
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .build();

  private SettingsLoader() {}

  /**
   * Reads the settings from a file and adds the defaults.
   *
   * @throws SettingsException if the file does not exist, is not readable or has errors
   */
  public static Settings load(Path file) {
    return parse(file.toString(), readText(file));
  }

  /**
   * Reads the settings from a text and adds the defaults.
   *
   * @param source the name of the text in error messages
   * @throws SettingsException if the text has errors
   */
  public static Settings parse(String source, String text) {
    JsonNode configured = readTree(source, text);
    ImmutableList<SettingsError> errors = findSchemaErrors(source, configured);
    if (!errors.isEmpty()) {
      throw new SettingsException(errors);
    }
    ObjectNode merged = (ObjectNode) readTree("defaults", resource("default-settings.json"));
    merge(merged, configured);
    Settings settings = MAPPER.convertValue(merged, Settings.class);
    ImmutableList<SettingsError> inconsistencies = findInconsistencies(source, settings);
    if (!inconsistencies.isEmpty()) {
      throw new SettingsException(inconsistencies);
    }
    return settings;
  }

  static String readText(Path file) {
    try {
      return Files.readString(file);
    } catch (NoSuchFileException e) {
      throw new SettingsException(
          ImmutableList.of(new SettingsError(file.toString(), 0, "", "file does not exist")));
    } catch (IOException e) {
      throw new SettingsException(
          ImmutableList.of(
              new SettingsError(file.toString(), 0, "", "file is not readable: " + describe(e))));
    }
  }

  private static String describe(IOException error) {
    return error.getMessage() == null ? error.getClass().getSimpleName() : error.getMessage();
  }

  private static JsonNode readTree(String source, String text) {
    try {
      return reader().readTree(text, InputFormat.JSON);
    } catch (IllegalArgumentException | IOException e) {
      throw new SettingsException(ImmutableList.of(syntaxError(source, e)));
    }
  }

  private static SettingsError syntaxError(String source, Exception error) {
    for (Throwable cause : Throwables.getCausalChain(error)) {
      if (cause instanceof JsonProcessingException syntax) {
        JsonLocation location = syntax.getLocation();
        int line = location == null ? 0 : location.getLineNr();
        return new SettingsError(source, line, "", syntax.getOriginalMessage());
      }
    }
    return new SettingsError(source, 0, "", String.valueOf(error.getMessage()));
  }

  private static JsonNodeReader reader() {
    return JsonNodeReader.builder().jsonMapper(MAPPER).locationAware().build();
  }

  private static ImmutableList<SettingsError> findSchemaErrors(String source, JsonNode configured) {
    JsonSchemaFactory factory = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012);
    SchemaValidatorsConfig config =
        SchemaValidatorsConfig.builder().formatAssertionsEnabled(true).build();
    JsonSchema schema = factory.getSchema(resource("settings-schema.json"), config);
    ImmutableList.Builder<SettingsError> errors = ImmutableList.builder();
    for (ValidationMessage message : schema.validate(configured)) {
      errors.add(toSettingsError(source, message));
    }
    return errors.build();
  }

  private static SettingsError toSettingsError(String source, ValidationMessage message) {
    JsonNode node = message.getInstanceNode();
    String path = message.getInstanceLocation().toString();
    String property = message.getProperty();
    if (property != null && node != null && node.has(property)) {
      node = node.get(property);
      path = path + "/" + property;
    }
    JsonLocation location = node == null ? null : JsonNodes.tokenLocationOf(node);
    int line = location == null ? 0 : location.getLineNr();
    String text = message.getMessage();
    int colon = text.indexOf(": ");
    return new SettingsError(source, line, path, colon < 0 ? text : text.substring(colon + 2));
  }

  private static ImmutableList<SettingsError> findInconsistencies(
      String source, Settings settings) {
    List<SettingsError> errors = new ArrayList<>();
    SharesSettings shares = settings.shares();
    require(
        errors,
        shares.loanMillis() < shares.delegationMillis(),
        source,
        "/shares/loanMillis",
        "must be less than delegationMillis, which is " + shares.delegationMillis());
    require(
        errors,
        shares.claimWaitMillis() >= shares.delegationMillis() + 2 * shares.marginMillis(),
        source,
        "/shares/claimWaitMillis",
        "must be at least delegationMillis plus twice marginMillis");
    require(
        errors,
        shares.leaseMillis() > 2 * shares.clockMarginMillis() + shares.claimWaitMillis(),
        source,
        "/shares/leaseMillis",
        "must be more than twice clockMarginMillis plus claimWaitMillis");
    require(
        errors,
        settings.batch().maxPartBytes() <= settings.batch().maxBufferedBytes(),
        source,
        "/batch/maxBufferedBytes",
        "must be at least maxPartBytes, which is " + settings.batch().maxPartBytes());
    HostSettings host = settings.host();
    require(
        errors,
        host.callerPort() != host.metricsPort()
            && host.callerPort() != host.peerPort()
            && host.metricsPort() != host.peerPort(),
        source,
        "/host",
        "callerPort, metricsPort and peerPort must differ");
    return ImmutableList.copyOf(errors);
  }

  private static void require(
      List<SettingsError> errors, boolean holds, String source, String path, String message) {
    if (!holds) {
      errors.add(new SettingsError(source, 0, path, message));
    }
  }

  private static void merge(ObjectNode base, JsonNode configured) {
    configured
        .fields()
        .forEachRemaining(
            field -> {
              JsonNode known = base.get(field.getKey());
              if (known instanceof ObjectNode knownObject && field.getValue().isObject()) {
                merge(knownObject, field.getValue());
              } else {
                base.set(field.getKey(), field.getValue());
              }
            });
  }

  private static String resource(String name) {
    try {
      return Resources.toString(
          Resources.getResource(SettingsLoader.class, name), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(String.format("resource \"%s\" is missing", name), e);
    }
  }
}
