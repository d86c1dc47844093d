package org.trefoilbarrow.transport.backend;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.message.BasicLineParser;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.trefoilbarrow.protocol.ResponseSyntax;

/**
 * Parses the heads of responses for HTTP clients by {@link ResponseSyntax}, so that all that read
 * responses take the same ones. Thread-safe.
 */
final class ResponseHeadParser extends BasicLineParser {
  static final ResponseHeadParser INSTANCE = new ResponseHeadParser();

  private ResponseHeadParser() {}

  @Override
  public StatusLine parseStatusLine(CharArrayBuffer line) throws ParseException {
    if (!ResponseSyntax.isStatusLine(line)) {
      throw new ParseException("the response has no valid status line");
    }
    return super.parseStatusLine(line);
  }

  @Override
  public Header parseHeader(CharArrayBuffer line) throws ParseException {
    if (!ResponseSyntax.isFieldLine(line)) {
      throw new ParseException("the response has an invalid line in its head");
    }
    return super.parseHeader(line);
  }

  /**
   * Returns the length of a body, or a constant of {@link
   * org.apache.hc.core5.http.ContentLengthStrategy}.
   */
  static long determineLength(HttpMessage response) throws HttpException {
    for (Header length : response.getHeaders(HttpHeaders.CONTENT_LENGTH)) {
      if (!ResponseSyntax.isLength(length.getValue())) {
        throw new ProtocolException("the response has an invalid length");
      }
    }
    return DefaultContentLengthStrategy.INSTANCE.determineLength(response);
  }
}
