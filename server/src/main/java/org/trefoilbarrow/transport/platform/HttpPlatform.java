package org.trefoilbarrow.transport.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.apache.hc.client5.http.classic.methods.HttpDelete;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPut;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ObjectChange;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.VersionedObject;

/**
 * The client of the platform's object service over HTTP.
 *
 * <p>Calls wait until the limit of calls per second allows them; a watch counts as one call.
 * Thread-safe.
 */
public final class HttpPlatform implements Platform {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final Duration WATCH_TIMEOUT_MARGIN = Duration.ofSeconds(2);

  private final String address;
  private final Duration timeout;
  private final PlatformCalls calls;

  /**
   * Creates a client.
   *
   * @param address the base address of the service
   * @param timeout how long a call waits for its response
   * @param callsPerSecond the largest rate of calls
   */
  public HttpPlatform(
      CloseableHttpClient client,
      String address,
      Duration timeout,
      double callsPerSecond,
      LongSupplier nanoClock) {
    this.address = checkNotNull(address, "address");
    this.timeout = checkNotNull(timeout, "timeout");
    this.calls = new PlatformCalls(client, timeout, callsPerSecond, nanoClock);
  }

  /** Returns the time of the last response, by the clock given to the constructor. */
  public long lastResponseNanos() {
    return calls.lastResponseNanos();
  }

  /** Returns the number of calls made so far. */
  public long calls() {
    return calls.count();
  }

  @Override
  public Optional<VersionedObject> read(ObjectKind kind, String name) {
    return calls.call(
        new HttpGet(objectPath(kind, name)),
        timeout,
        response -> {
          if (response.getCode() == NOT_FOUND) {
            return Optional.empty();
          }
          requireOk(response);
          byte[] body = EntityUtils.toByteArray(response.getEntity());
          String value = new String(body, StandardCharsets.UTF_8);
          return Optional.of(new VersionedObject(name, version(response), value));
        });
  }

  @Override
  public Optional<Long> write(ObjectKind kind, String name, long expectedVersion, String value) {
    HttpPut request = new HttpPut(objectPath(kind, name));
    setExpectedVersion(request, expectedVersion);
    request.setEntity(new StringEntity(value, ContentType.APPLICATION_JSON));
    return calls.call(request, timeout, HttpPlatform::writtenVersion);
  }

  @Override
  public Optional<Long> delete(ObjectKind kind, String name, long expectedVersion) {
    HttpDelete request = new HttpDelete(objectPath(kind, name));
    setExpectedVersion(request, expectedVersion);
    return calls.call(request, timeout, HttpPlatform::writtenVersion);
  }

  @Override
  public ObjectPage list(ObjectKind kind, String prefix, String after, int limit) {
    String path =
        String.format(
            "%s/objects/%s?prefix=%s&after=%s&limit=%d",
            address, kind.collection(), encode(prefix), encode(after), limit);
    return calls.call(
        new HttpGet(path),
        timeout,
        response -> {
          requireOk(response);
          JsonNode page = JsonCodec.mapper().readTree(response.getEntity().getContent());
          ImmutableList.Builder<VersionedObject> objects = ImmutableList.builder();
          for (JsonNode object : page.path("objects")) {
            objects.add(
                new VersionedObject(
                    object.path("name").asText(),
                    object.path("version").asLong(),
                    object.path("value").asText()));
          }
          return new ObjectPage(
              page.path("revision").asLong(), objects.build(), page.path("complete").asBoolean());
        });
  }

  @Override
  public Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait) {
    String path =
        String.format(
            "%s/watch/%s?after=%d&waitMillis=%d",
            address, kind.collection(), afterRevision, wait.toMillis());
    return calls.call(
        new HttpGet(path),
        wait.plus(WATCH_TIMEOUT_MARGIN),
        response -> {
          if (response.getCode() == GONE) {
            return Optional.empty();
          }
          requireOk(response);
          return Optional.of(
              readChanges(JsonCodec.mapper().readTree(response.getEntity().getContent())));
        });
  }

  private static ChangeBatch readChanges(JsonNode batch) {
    ImmutableList.Builder<ObjectChange> changes = ImmutableList.builder();
    for (JsonNode change : batch.path("changes")) {
      changes.add(
          new ObjectChange(
              change.path("name").asText(),
              change.path("version").asLong(),
              change.has("value") ? Optional.of(change.path("value").asText()) : Optional.empty()));
    }
    return new ChangeBatch(batch.path("revision").asLong(), changes.build());
  }

  private static Optional<Long> writtenVersion(ClassicHttpResponse response) throws IOException {
    EntityUtils.consume(response.getEntity());
    if (response.getCode() == CONFLICT) {
      return Optional.empty();
    }
    requireOk(response);
    return Optional.of(version(response));
  }

  private static void requireOk(ClassicHttpResponse response) throws IOException {
    if (response.getCode() != OK) {
      throw new IOException("platform responded with status " + response.getCode());
    }
  }

  private static long version(ClassicHttpResponse response) throws IOException {
    Header tag = response.getFirstHeader(HttpHeaders.ETAG);
    if (tag == null) {
      throw new IOException("platform response has no ETag header with a version");
    }
    return Long.parseLong(tag.getValue().replace("\"", ""));
  }

  private static void setExpectedVersion(HttpUriRequestBase request, long expectedVersion) {
    if (expectedVersion == ABSENT) {
      request.setHeader(HttpHeaders.IF_NONE_MATCH, "*");
    } else {
      request.setHeader(HttpHeaders.IF_MATCH, "\"" + expectedVersion + "\"");
    }
  }

  private String objectPath(ObjectKind kind, String name) {
    return address + "/objects/" + kind.collection() + "/" + name;
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
