package org.trefoilbarrow.standins;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Stands in for a faulty HTTP server: answers the first request of a connection with raw bytes. */
public final class RawServerStandIn implements AutoCloseable {
  private static final String HEAD_END = "\r\n\r\n";

  private final ServerSocket listener;
  private volatile Answer answer;

  /** Writes an answer; the connection is closed after it. */
  @FunctionalInterface
  public interface Answer {
    /** Writes to a connection on which the head of a request was received, but not its body. */
    void write(Socket connection) throws IOException, InterruptedException;
  }

  private RawServerStandIn(ServerSocket listener, Answer answer) {
    this.listener = listener;
    this.answer = answer;
  }

  /** Starts a server that gives the answer until another is set. */
  public static RawServerStandIn start(Answer answer) {
    try {
      ServerSocket listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
      RawServerStandIn server = new RawServerStandIn(listener, answer);
      startThread(server::accept);
      return server;
    } catch (IOException e) {
      throw new UncheckedIOException("cannot listen on a free port", e);
    }
  }

  /** Returns the base address, such as {@code http://127.0.0.1:8080}. */
  public String address() {
    return "http://127.0.0.1:" + listener.getLocalPort();
  }

  /** Sets the answer to further requests. */
  public void setAnswer(Answer answer) {
    this.answer = answer;
  }

  /** Sets the bytes of the answer to further requests, one for each character. */
  public void setAnswer(String bytes) {
    setAnswer(connection -> connection.getOutputStream().write(bytes.getBytes(ISO_8859_1)));
  }

  @Override
  public void close() {
    try {
      listener.close();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot close the listener", e);
    }
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket connection = listener.accept();
        startThread(() -> serve(connection));
      } catch (IOException e) {
        // The listener was closed.
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      readHead(new BufferedInputStream(connection.getInputStream()));
      answer.write(connection);
    } catch (IOException e) {
      // The client closed the connection, as it may at any time.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void readHead(InputStream input) throws IOException {
    int matched = 0;
    while (matched < HEAD_END.length()) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("the connection has ended");
      }
      boolean matches = next == HEAD_END.charAt(matched);
      matched = matches ? matched + 1 : next == HEAD_END.charAt(0) ? 1 : 0;
    }
  }
}
