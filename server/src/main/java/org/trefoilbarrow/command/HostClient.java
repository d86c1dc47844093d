package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.entity.mime.MultipartEntityBuilder;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.transport.backend.HttpClients;

/** A client of a host's HTTP API that authenticates with one key. */
final class HostClient implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
  private static final int MAX_CONNECTIONS = 4;
  private static final int NOT_FOUND_STATUS = 404;
  private static final int MIN_ERROR_STATUS = 400;

  private final CloseableHttpClient client = HttpClients.pooled(CONNECT_TIMEOUT, MAX_CONNECTIONS);
  private final String address;
  private final String key;

  HostClient(String address, String key) {
    this.address = checkNotNull(address, "address");
    this.key = checkNotNull(key, "key");
  }

  /** Returns the resource at a path, or empty if it does not exist. */
  Optional<JsonNode> find(String path) {
    return execute(
        request("GET", path),
        response ->
            response.getCode() == NOT_FOUND_STATUS
                ? Optional.empty()
                : Optional.of(readJson(response)));
  }

  /** Returns the resource at a path. */
  JsonNode get(String path) {
    return execute(request("GET", path), HostClient::readJson);
  }

  /** Puts JSON under a precondition: the expected version, or 0 if the object must not exist. */
  JsonNode put(String path, String body, long expectedVersion) {
    HttpUriRequestBase request = request("PUT", path);
    if (expectedVersion == 0) {
      request.setHeader(HttpHeaders.IF_NONE_MATCH, "*");
    } else {
      request.setHeader(HttpHeaders.IF_MATCH, "\"" + expectedVersion + "\"");
    }
    request.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
    return execute(request, HostClient::readJson);
  }

  /** Deletes the resource at a path if it has the expected version. */
  JsonNode delete(String path, long expectedVersion) {
    HttpUriRequestBase request = request("DELETE", path);
    request.setHeader(HttpHeaders.IF_MATCH, "\"" + expectedVersion + "\"");
    return execute(request, HostClient::readJson);
  }

  /** Posts JSON, with the idempotency key if there is one. */
  JsonNode post(String path, String body, Optional<String> idempotencyKey) {
    HttpUriRequestBase request = request("POST", path);
    idempotencyKey.ifPresent(value -> request.setHeader("Idempotency-Key", value));
    request.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
    return execute(request, HostClient::readJson);
  }

  /** Uploads a file of batch items. */
  JsonNode upload(File file) {
    HttpUriRequestBase request = request("POST", "/v1/files");
    HttpEntity entity =
        MultipartEntityBuilder.create()
            .addTextBody("purpose", "batch")
            .addBinaryBody("file", file, ContentType.APPLICATION_OCTET_STREAM, file.getName())
            .build();
    request.setEntity(entity);
    return execute(request, HostClient::readJson);
  }

  /** Copies the resource at a path to the output. */
  void download(String path, OutputStream output) {
    execute(
        request("GET", path),
        response -> {
          if (response.getCode() >= MIN_ERROR_STATUS) {
            readJson(response);
          }
          response.getEntity().writeTo(output);
          return null;
        });
  }

  @Override
  public void close() {
    try {
      client.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private HttpUriRequestBase request(String method, String path) {
    HttpUriRequestBase request = new HttpUriRequestBase(method, uri(path));
    request.setHeader(HttpHeaders.AUTHORIZATION, "Bearer " + key);
    return request;
  }

  private URI uri(String path) {
    try {
      URI uri = new URI(address + path);
      if ("http".equals(uri.getScheme()) && uri.getHost() != null) {
        return uri;
      }
    } catch (URISyntaxException e) {
      throw new CommandException(
          ExitCode.USAGE, "\"%s%s\" is not a valid address: %s", address, path, e.getReason());
    }
    throw new CommandException(
        ExitCode.USAGE, "host \"%s\" is not an address such as http://127.0.0.1:8080", address);
  }

  /** Converts a response to a value. */
  @FunctionalInterface
  private interface ResponseReader<T> {
    T read(ClassicHttpResponse response) throws IOException;
  }

  private <T> T execute(HttpUriRequestBase request, ResponseReader<T> reader) {
    try {
      return client.execute(request, reader::read);
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.NO_ANSWER, "no response from host \"%s\": %s", address, e.getMessage());
    }
  }

  private static JsonNode readJson(ClassicHttpResponse response) throws IOException {
    byte[] body = EntityUtils.toByteArray(response.getEntity());
    if (response.getCode() >= MIN_ERROR_STATUS) {
      throw refusedException(response.getCode(), new String(body, StandardCharsets.UTF_8));
    }
    return JsonCodec.mapper().readTree(body);
  }

  private static CommandException refusedException(int status, String body) {
    try {
      JsonNode error = JsonCodec.mapper().readTree(body).path("error");
      return new CommandException(
          ExitCode.REFUSED,
          "%s (%s): %s",
          error.path("code").asText("refused"),
          status,
          error.path("message").asText(body));
    } catch (IOException e) {
      return new CommandException(
          ExitCode.REFUSED, "the host refused the request with status %s", status);
    }
  }
}
