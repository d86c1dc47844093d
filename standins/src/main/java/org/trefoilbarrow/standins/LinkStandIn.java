package org.trefoilbarrow.standins;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stands in for the network in front of one TCP port: it passes connections on, and can go silent.
 *
 * <p>A silent connection stays open at both ends, and nothing more passes through it.
 */
public final class LinkStandIn implements AutoCloseable {
  private static final int BUFFER_BYTES = 16_384;
  private static final Duration SILENT_CHECK = Duration.ofMillis(20);

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final Set<String> cutSources = ConcurrentHashMap.newKeySet();
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

  /** One connection and its other half. */
  private static final class Connection {
    final Socket near;
    final Socket far;
    volatile boolean silent;

    Connection(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }

    void close() {
      closeQuietly(near);
      closeQuietly(far);
    }
  }

  private LinkStandIn(InetSocketAddress listen, InetSocketAddress target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket();
    this.listener.bind(listen);
  }

  /**
   * Starts a link.
   *
   * @param listen the address on which it listens; port 0 stands for any free port
   * @param target the address to which it passes connections on
   */
  public static LinkStandIn start(InetSocketAddress listen, InetSocketAddress target) {
    try {
      LinkStandIn link = new LinkStandIn(listen, target);
      startThread(link::accept);
      return link;
    } catch (IOException e) {
      throw new UncheckedIOException(String.format("address %s is not free", listen), e);
    }
  }

  /** Returns the address on which the link listens, as {@code IP:port}. */
  public String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Makes all connections from an IP address silent, new ones as well. */
  public void partition(String source) {
    cutSources.add(source);
  }

  /** Lets new connections from an IP address pass again; those that were cut stay silent. */
  public void heal(String source) {
    connections.stream().filter(c -> isFrom(c, source)).forEach(c -> c.silent = true);
    cutSources.remove(source);
  }

  /** Makes the connections that are open now silent for good, while new ones work. */
  public void stallOpenConnections() {
    connections.forEach(connection -> connection.silent = true);
  }

  /** Returns the number of connections that were open and are not silent. */
  public int responsiveConnections() {
    return (int) connections.stream().filter(connection -> !connection.silent).count();
  }

  @Override
  public void close() {
    try {
      listener.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    connections.forEach(Connection::close);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket near = listener.accept();
        startThread(() -> connect(near));
      } catch (IOException e) {
        // Closed, which ends the loop.
      }
    }
  }

  private void connect(Socket near) {
    Socket far = new Socket();
    try {
      far.connect(target);
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
    } catch (IOException e) {
      closeQuietly(near);
      closeQuietly(far);
      return;
    }
    Connection connection = new Connection(near, far);
    connections.add(connection);
    startThread(() -> pass(connection, near, far));
    startThread(() -> pass(connection, far, near));
  }

  private void pass(Connection connection, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream input = from.getInputStream();
        OutputStream output = to.getOutputStream()) {
      for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
        awaitPassage(connection);
        output.write(buffer, 0, read);
        output.flush();
      }
    } catch (IOException e) {
      // One end is gone, and so is the other then.
    } finally {
      connection.close();
      connections.remove(connection);
    }
  }

  /** Holds back what arrives while the connection is silent, for good if need be. */
  private void awaitPassage(Connection connection) throws IOException {
    while (connection.silent || cutSources.stream().anyMatch(s -> isFrom(connection, s))) {
      if (listener.isClosed()) {
        throw new IOException("closed");
      }
      Uninterruptibles.sleepUninterruptibly(SILENT_CHECK);
    }
  }

  private static boolean isFrom(Connection connection, String source) {
    InetAddress address = connection.near.getInetAddress();
    return address != null && address.getHostAddress().equals(source);
  }

  private static void startThread(Runnable work) {
    Thread thread = new Thread(work, "link");
    thread.setDaemon(true);
    thread.start();
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is of no more use either way.
    }
  }
}
