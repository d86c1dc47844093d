package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/** A client's call on a new connection. */
public final class Http {
  private Http() {}

  /** The answer to a call; its status is 0 if there was none. */
  public static final class Answer {
    public final int status;
    public final String head;
    public final byte[] body;

    /** Whether the body was complete. */
    public final boolean whole;

    Answer(int status, String head, byte[] body, boolean whole) {
      this.status = status;
      this.head = head;
      this.body = body;
      this.whole = whole;
    }

    public String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private static final Answer NONE = new Answer(0, "", new byte[0], false);

  /** Makes a call and reads the whole answer. */
  public static Answer call(
      int port, String method, String path, Map<String, String> headers, byte[] body, int millis) {
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(millis);
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      if (!headers.containsKey("Host")) {
        head.append("Host: local.example\r\n");
      }
      head.append("Connection: close\r\n");
      if (body != null) {
        head.append("Content-Length: ").append(body.length).append("\r\n");
      }
      OutputStream output = socket.getOutputStream();
      output.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
      if (body != null) {
        output.write(body);
      }
      output.flush();
      return read(socket.getInputStream());
    } catch (IOException e) {
      return NONE;
    }
  }

  private static Answer read(InputStream input) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    String head = "";
    while (!head.endsWith("\r\n\r\n")) {
      int next = input.read();
      if (next < 0) {
        return NONE;
      }
      bytes.write(next);
      head = next == '\n' ? bytes.toString(StandardCharsets.ISO_8859_1) : "";
    }
    int status = Integer.parseInt(head.split(" ")[1]);
    String lower = head.toLowerCase(Locale.ROOT);
    byte[] rest = input.readAllBytes();
    int at = lower.indexOf("content-length:");
    if (at >= 0) {
      int length = Integer.parseInt(lower.substring(at + 15, lower.indexOf('\r', at)).trim());
      return new Answer(status, head, rest, rest.length == length);
    }
    if (lower.contains("transfer-encoding: chunked")) {
      return chunked(status, head, rest);
    }
    return new Answer(status, head, rest, true);
  }

  private static Answer chunked(int status, String head, byte[] rest) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int at = 0;
    while (true) {
      int line = at;
      while (line + 1 < rest.length && rest[line] != '\r') {
        line++;
      }
      if (line + 1 >= rest.length) {
        return new Answer(status, head, body.toByteArray(), false);
      }
      int size = Integer.parseInt(new String(rest, at, line - at, StandardCharsets.US_ASCII).trim(), 16);
      if (size == 0) {
        return new Answer(status, head, body.toByteArray(), true);
      }
      if (line + 2 + size > rest.length) {
        return new Answer(status, head, body.toByteArray(), false);
      }
      body.write(rest, line + 2, size);
      at = line + 2 + size + 2;
    }
  }
}
