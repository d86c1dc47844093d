package org.trefoilbarrow.transport.forward;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Head fields that concern one connection only and are not passed on. */
public final class HopHeaders {
  private static final ImmutableSet<CharSequence> NAMES =
      ImmutableSet.of(
          HttpHeaderNames.CONNECTION,
          "keep-alive",
          "proxy-connection",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT);
  private static final Splitter FIELDS = Splitter.on(',').trimResults().omitEmptyStrings();

  private HopHeaders() {}

  /** Returns the fields that may be passed on. */
  public static HttpHeaders without(HttpHeaders headers) {
    HttpHeaders copy = headers.copy();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      FIELDS.split(value).forEach(copy::remove);
    }
    NAMES.forEach(copy::remove);
    return copy;
  }
}
