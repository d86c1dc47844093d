package org.trefoilbarrow.protocol;

import com.google.common.base.Ascii;
import com.google.common.base.CharMatcher;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The syntax of the head of an HTTP/1 response (RFC 9112), for all that reads responses. Decoders
 * of HTTP accept more than the syntax allows, and each accepts something else, so that two decoders
 * may find different bodies in the same bytes.
 */
public final class ResponseSyntax {
  /**
   * Statuses outside of 100 to 599 have no meaning between processes. The reason may be missing,
   * and words may be apart by more than one blank.
   */
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.\\d[ \\t]+[1-5]\\d\\d(?:[ \\t][^\\x00-\\x08\\x0A-\\x1F\\x7F]*)?");

  private static final CharMatcher DIGIT = CharMatcher.inRange('0', '9');

  /** The characters of a name; most are letters, which are tried first. */
  private static final CharMatcher TOKEN =
      CharMatcher.inRange('a', 'z')
          .or(CharMatcher.inRange('A', 'Z'))
          .or(DIGIT)
          .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"));

  /**
   * The control bytes, of which only a tab may stand in a value; others end it for some readers.
   */
  private static final CharMatcher FORBIDDEN =
      CharMatcher.inRange('\0', '\37').and(CharMatcher.isNot('\t')).or(CharMatcher.is('\177'));

  private static final String CHUNKED = "chunked";

  private ResponseSyntax() {}

  /** Returns whether a line, without its end, is a status line. */
  public static boolean isStatusLine(CharSequence line) {
    return STATUS_LINE.matcher(line).matches();
  }

  /**
   * Returns whether what stands before the colon of a line is the name of a field. A name is not
   * followed by a blank: some readers ignore the blank, others the line.
   */
  public static boolean isFieldName(CharSequence name) {
    return name.length() > 0 && TOKEN.matchesAllOf(name);
  }

  /** Returns whether a line, without its end, is a field of a head: a name, a colon and a value. */
  public static boolean isFieldLine(CharSequence line) {
    int colon = CharMatcher.is(':').indexIn(line);
    return colon > 0 && isFieldName(line.subSequence(0, colon)) && FORBIDDEN.matchesNoneOf(line);
  }

  /** Returns whether a value states the length of a body. */
  public static boolean isLength(String value) {
    return !value.isEmpty() && DIGIT.matchesAllOf(value);
  }

  /**
   * Returns whether a body can be decoded from its transfer codings: there is none, or chunks are
   * the only one. No request allows others.
   *
   * @param values the values of all fields {@code Transfer-Encoding} of the head
   */
  public static boolean isKnownCoding(List<String> values) {
    return values.isEmpty()
        || (values.size() == 1 && Ascii.equalsIgnoreCase(values.get(0), CHUNKED));
  }
}
