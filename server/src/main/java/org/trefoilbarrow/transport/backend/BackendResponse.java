package org.trefoilbarrow.transport.backend;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP response of a backend server, with the body still to be read.
 *
 * <p>{@link #abort} may be called from any thread; the connection is then closed and not reused.
 */
final class BackendResponse implements AutoCloseable {
  private final HttpUriRequestBase request;
  private final ClassicHttpResponse response;

  BackendResponse(HttpUriRequestBase request, ClassicHttpResponse response) {
    this.request = request;
    this.response = response;
  }

  int status() {
    return response.getCode();
  }

  @Nullable String contentType() {
    Header header = response.getFirstHeader(HttpHeaders.CONTENT_TYPE);
    return header == null ? null : header.getValue();
  }

  @Nullable String header(String name) {
    Header header = response.getFirstHeader(name);
    return header == null ? null : header.getValue();
  }

  /** Returns the body; reading it fails if the response ends before it is complete. */
  InputStream body() throws IOException {
    return response.getEntity() == null
        ? InputStream.nullInputStream()
        : response.getEntity().getContent();
  }

  void abort() {
    request.cancel();
  }

  @Override
  public void close() throws IOException {
    response.close();
  }
}
