package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.LongAdder;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.trefoilbarrow.transport.peer.generated.ConfigurationPageMessage;
import org.trefoilbarrow.transport.peer.generated.HostMessage;
import org.trefoilbarrow.transport.peer.generated.PeerAnswerMessage;
import org.trefoilbarrow.transport.peer.generated.PeerRequestMessage;
import org.trefoilbarrow.transport.peer.generated.PeerService;

/**
 * The Thrift client of one peer.
 *
 * <p>A connection whose call failed or timed out is closed and never reused, so that a late answer
 * is never mistaken for that of another call, and an unresponsive connection is replaced by a new
 * one. Thread-safe.
 */
final class PeerClient implements AutoCloseable {
  private static final int MAX_IDLE_CONNECTIONS = 4;

  private final String ownAddress;
  private final String host;
  private final int port;
  private final int timeoutMillis;
  private final LongAdder bytes;
  private final Deque<Connection> idle = new ConcurrentLinkedDeque<>();

  /** An open connection. */
  private record Connection(TSocket socket, PeerService.Client client) {
    void close() {
      socket.close();
    }
  }

  /** Makes one call on a connection. */
  @FunctionalInterface
  private interface Call<T> {
    T make(PeerService.Client client) throws TException;
  }

  /** A socket that counts the bytes read and written. */
  private final class CountingSocket extends TSocket {
    CountingSocket(String host, int port, int timeoutMillis) throws TTransportException {
      super(host, port, timeoutMillis);
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws TTransportException {
      int read = super.read(buffer, offset, length);
      bytes.add(Math.max(0, read));
      return read;
    }

    @Override
    public void write(byte[] buffer, int offset, int length) throws TTransportException {
      bytes.add(length);
      super.write(buffer, offset, length);
    }
  }

  /**
   * Creates a client.
   *
   * @param address the peer's address, as {@code IP:port}
   * @param ownAddress the IP address from which messages are sent
   * @param bytes counts the bytes that the client sends and receives
   */
  PeerClient(String address, String ownAddress, Duration timeout, LongAdder bytes) {
    checkNotNull(address, "address");
    this.ownAddress = checkNotNull(ownAddress, "ownAddress");
    this.bytes = checkNotNull(bytes, "bytes");
    int colon = address.lastIndexOf(':');
    this.host = address.substring(0, colon);
    this.port = Integer.parseInt(address.substring(colon + 1));
    this.timeoutMillis = Math.toIntExact(timeout.toMillis());
  }

  PeerAnswerMessage exchange(PeerRequestMessage request) throws TException {
    return call(client -> client.exchange(request));
  }

  ConfigurationPageMessage pullConfiguration(long afterVersion, int limit) throws TException {
    return call(client -> client.pullConfiguration(afterVersion, limit));
  }

  List<HostMessage> greet(HostMessage newcomer) throws TException {
    return call(client -> client.greet(newcomer));
  }

  @Override
  public void close() {
    for (Connection connection = idle.poll(); connection != null; connection = idle.poll()) {
      connection.close();
    }
  }

  private <T> T call(Call<T> call) throws TException {
    Connection connection = idle.pollFirst();
    if (connection == null) {
      connection = open();
    }
    boolean completed = false;
    try {
      T answer = call.make(connection.client());
      completed = true;
      return answer;
    } finally {
      if (completed && idle.size() < MAX_IDLE_CONNECTIONS) {
        idle.addFirst(connection);
      } else {
        connection.close();
      }
      if (!completed) {
        // The idle connections may be unresponsive too.
        close();
      }
    }
  }

  private void bind(Socket socket) throws TTransportException {
    try {
      socket.bind(new InetSocketAddress(ownAddress, 0));
    } catch (IOException e) {
      throw new TTransportException(
          String.format("cannot bind to own address \"%s\"", ownAddress), e);
    }
  }

  private Connection open() throws TTransportException {
    TSocket socket = new CountingSocket(host, port, timeoutMillis);
    bind(socket.getSocket());
    TFramedTransport transport = new TFramedTransport(socket, PeerServer.MAX_FRAME_BYTES);
    transport.open();
    return new Connection(socket, new PeerService.Client(new TCompactProtocol(transport)));
  }
}
