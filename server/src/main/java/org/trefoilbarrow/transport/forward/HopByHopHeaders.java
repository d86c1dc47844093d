package org.trefoilbarrow.transport.forward;

import com.google.common.base.Ascii;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.stream.Stream;

/** Removes the hop-by-hop headers, which concern one connection only and are not forwarded. */
public final class HopByHopHeaders {
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
  private static final Splitter HEADER_LIST = Splitter.on(',').trimResults().omitEmptyStrings();

  private HopByHopHeaders() {}

  /** Returns whether a header is there and {@code Connection} does not name it. */
  public static boolean isForwarded(HttpHeaders headers, String name) {
    return headers.contains(name)
        && namesInConnection(headers).noneMatch(named -> Ascii.equalsIgnoreCase(named, name));
  }

  /** Returns a copy without the hop-by-hop headers and those that {@code Connection} names. */
  public static HttpHeaders removeFrom(HttpHeaders headers) {
    HttpHeaders copy = headers.copy();
    namesInConnection(headers).forEach(copy::remove);
    NAMES.forEach(copy::remove);
    return copy;
  }

  private static Stream<String> namesInConnection(HttpHeaders headers) {
    return headers.getAll(HttpHeaderNames.CONNECTION).stream().flatMap(HEADER_LIST::splitToStream);
  }
}
