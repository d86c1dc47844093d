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
 * Stands in for the network in front of one TCP port: a proxy whose connections can be stalled.
 *
 * <p>A stalled connection stays open at both ends, but transfers nothing.
 */
public final class LinkStandIn implements AutoCloseable {
  private static final int BUFFER_BYTES = 16_384;
  private static final Duration STALL_CHECK_INTERVAL = Duration.ofMillis(20);

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final Set<String> partitionedSources = ConcurrentHashMap.newKeySet();
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

  /** A connection from a client and its continuation to the target. */
  private static final class Connection {
    final Socket clientSide;
    final Socket targetSide;
    volatile boolean stalled;

    Connection(Socket clientSide, Socket targetSide) {
      this.clientSide = clientSide;
      this.targetSide = targetSide;
    }

    void close() {
      closeQuietly(clientSide);
      closeQuietly(targetSide);
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
   * @param listen the address on which it listens; port 0 selects a free port
   * @param target the address to which it forwards connections
   */
  public static LinkStandIn start(InetSocketAddress listen, InetSocketAddress target) {
    try {
      LinkStandIn link = new LinkStandIn(listen, target);
      startThread(link::accept);
      return link;
    } catch (IOException e) {
      throw new UncheckedIOException(String.format("cannot listen on address %s", listen), e);
    }
  }

  /** Returns the address on which the link listens, as {@code IP:port}. */
  public String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Stalls all connections from an IP address, new ones included. */
  public void partition(String source) {
    partitionedSources.add(source);
  }

  /** Ends a partition: new connections from the IP address work, existing ones stay stalled. */
  public void heal(String source) {
    connections.stream().filter(c -> isFrom(c, source)).forEach(c -> c.stalled = true);
    partitionedSources.remove(source);
  }

  /** Stalls the connections that are open now for good; new connections work. */
  public void stallOpenConnections() {
    connections.forEach(connection -> connection.stalled = true);
  }

  /** Returns the number of open connections that are not stalled. */
  public int responsiveConnections() {
    return (int) connections.stream().filter(connection -> !connection.stalled).count();
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
        Socket clientSide = listener.accept();
        startThread(() -> connect(clientSide));
      } catch (IOException e) {
        // The listener was closed, which ends the loop.
      }
    }
  }

  private void connect(Socket clientSide) {
    Socket targetSide = new Socket();
    try {
      targetSide.connect(target);
      clientSide.setTcpNoDelay(true);
      targetSide.setTcpNoDelay(true);
    } catch (IOException e) {
      closeQuietly(clientSide);
      closeQuietly(targetSide);
      return;
    }
    Connection connection = new Connection(clientSide, targetSide);
    connections.add(connection);
    startThread(() -> forward(connection, clientSide, targetSide));
    startThread(() -> forward(connection, targetSide, clientSide));
  }

  private void forward(Connection connection, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream input = from.getInputStream();
        OutputStream output = to.getOutputStream()) {
      for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
        awaitNotStalled(connection);
        output.write(buffer, 0, read);
        output.flush();
      }
    } catch (IOException e) {
      // One end closed the connection; both ends are closed below.
    } finally {
      connection.close();
      connections.remove(connection);
    }
  }

  /** Blocks while the connection is stalled, at the longest until the link is closed. */
  private void awaitNotStalled(Connection connection) throws IOException {
    while (connection.stalled || partitionedSources.stream().anyMatch(s -> isFrom(connection, s))) {
      if (listener.isClosed()) {
        throw new IOException("link is closed");
      }
      Uninterruptibles.sleepUninterruptibly(STALL_CHECK_INTERVAL);
    }
  }

  private static boolean isFrom(Connection connection, String source) {
    InetAddress address = connection.clientSide.getInetAddress();
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
      // The socket is not used any more, closed or not.
    }
  }
}
