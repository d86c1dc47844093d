package org.trefoilbarrow.transport.http;

import com.google.common.flogger.MetadataKey;

/** The structured fields of log lines. */
public final class LogFields {
  /** The identifier of the request. */
  public static final MetadataKey<String> REQUEST = MetadataKey.single("request", String.class);

  /** The organisation of the caller. */
  public static final MetadataKey<String> ORGANISATION =
      MetadataKey.single("organisation", String.class);

  /** The name of the route. */
  public static final MetadataKey<String> ROUTE = MetadataKey.single("route", String.class);

  private LogFields() {}
}
