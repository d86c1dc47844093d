package org.trefoilbarrow.standins;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

/**
 * Parts of HTTP responses that no sound server sends, as bytes of ISO 8859-1, for tests of whatever
 * reads responses.
 */
public final class MalformedResponses {
  /** A sound status line. */
  public static final String STATUS_LINE = "HTTP/1.1 200 OK";

  private MalformedResponses() {}

  /** Returns malformed status lines, without the line end. */
  public static ImmutableList<String> statusLines() {
    return ImmutableList.of(
        "HTTP/1.1 000 Trouble",
        "HTTP/1.1 001 Trouble",
        "HTTP/1.1 099 Trouble",
        "HTTP/1.1 600 Trouble",
        "HTTP/1.1 999 Trouble",
        "HTTP/1.1 1000 Trouble",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 +200 OK",
        "HTTP/1.1 -200 OK",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 OK",
        "HTTP/1.1",
        "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK",
        "HTTP/11 200 OK",
        "HTTP/1.10 200 OK",
        "http/1.1 200 OK",
        "ICY/1.1 200 OK",
        "ICY 200 OK",
        "HTTP/1.1 200 O\0K",
        "HTTP/1.1 200 O\rK",
        "HTTP/1.1 200 \33[2J");
  }

  /** Returns status lines after bytes that belong to no response. */
  public static ImmutableList<String> statusLinesAfterOtherBytes() {
    return ImmutableList.of(
        "x" + STATUS_LINE,
        " " + STATUS_LINE,
        "\t" + STATUS_LINE,
        "\0" + STATUS_LINE,
        "\r\n" + STATUS_LINE);
  }

  /** Returns lines of a head, or of the trailer of a body in chunks, whose name is malformed. */
  public static ImmutableList<String> fieldLines() {
    return ImmutableList.of(
        "X Bad: 1",
        "X\tBad: 1",
        "X-Bad : 1",
        "X-Bad\t: 1",
        "X\1Bad: 1",
        "X\0Bad: 1",
        "X-Bad\0: 1",
        "\33X-Bad: 1",
        "X\177Bad: 1",
        "XéBad: 1",
        "X\rBad: 1",
        "X(Bad): 1",
        ": 1",
        "X-Bad",
        "X Bad");
  }

  /** Returns lines whose value holds a control byte. */
  public static ImmutableList<String> valueLines() {
    return ImmutableList.of(
        "X-Bad: a\0b",
        "X-Bad: a\rb",
        "X-Bad: a\1b",
        "X-Bad: a\13b",
        "X-Bad: a\33b",
        "X-Bad: a\177b");
  }

  /** Returns the lines of heads whose length or transfer coding is malformed or unknown. */
  public static ImmutableList<String> framingLines() {
    return ImmutableList.of(
        "Content-Length: 2\r\nContent-Length: 3",
        "Content-Length: 2, 3",
        "Content-Length: +2",
        "Content-Length: -2",
        "Content-Length: 0x2",
        "Content-Length: 2 2",
        "Content-Length: ",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: chunkedx",
        "Transfer-Encoding: \"chunked\"",
        "Transfer-Encoding: chunked;x=1",
        "Transfer-Encoding: ");
  }

  /** Returns bodies in chunks that are malformed, or that end too early. */
  public static ImmutableSet<String> chunkedBodies() {
    return ImmutableSet.of(
        "+2\r\nok\r\n0\r\n\r\n",
        "-2\r\nok\r\n0\r\n\r\n",
        "0x2\r\nok\r\n0\r\n\r\n",
        " 2\r\nok\r\n0\r\n\r\n",
        "2 2\r\nok\r\n0\r\n\r\n",
        "2x\r\nok\r\n0\r\n\r\n",
        "2\0\r\nok\r\n0\r\n\r\n",
        "\0002\r\nok\r\n0\r\n\r\n",
        "2\1\r\nok\r\n0\r\n\r\n",
        "\r\n2\r\nok\r\n0\r\n\r\n",
        "\r\n",
        ";x=1\r\n\r\n",
        "x\r\n\r\n",
        "100000002\r\nok\r\n0\r\n\r\n",
        "10000000000000002\r\nok\r\n0\r\n\r\n",
        "2\r\nok and more\r\n0\r\n\r\n",
        "2\r\nok0\r\n\r\n",
        "2\r\nok0\r\n0\r\n\r\n",
        "2\r\nok\r\r\n0\r\n\r\n",
        "3\r\nok\r\n0\r\n\r\n",
        "2\r\nok\r\n-0\r\n\r\n",
        "2\r\nok\r\n\r\n",
        "2\r\nok\r\n0",
        "2\r\nok\r\n0\r\n",
        "2\r\nok\r\n0\r\nX-Sum: 1\r\n",
        "2\r\nok\r\n",
        "2\r\nok",
        "2\r\no",
        "2\r\n");
  }
}
