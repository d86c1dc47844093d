import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stands before the store for one machine, and can turn that machine away with resets. */
final class Proxy {
  private final ServerSocket server;
  private final String targetIp;
  private final int targetPort;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean refuses;

  Proxy(String ip, String target) throws IOException {
    server = new ServerSocket(0, 200, InetAddress.getByName(ip));
    targetIp = target.substring(0, target.indexOf(':'));
    targetPort = Integer.parseInt(target.substring(target.indexOf(':') + 1));
    start(this::accept);
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  /** Sets whether connections are reset, those that are open and new ones. */
  void setRefuses(boolean newRefuses) {
    refuses = newRefuses;
    if (refuses) {
      open.forEach(Proxy::reset);
    }
  }

  private void accept() {
    while (true) {
      try {
        Socket near = server.accept();
        if (refuses) {
          reset(near);
          continue;
        }
        Socket far = new Socket(targetIp, targetPort);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        open.add(near);
        open.add(far);
        start(() -> copy(near, far));
        start(() -> copy(far, near));
      } catch (IOException e) {
        // The next connection may succeed.
      }
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[1 << 16];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        out.write(buffer, 0, count);
      }
      to.shutdownOutput();
    } catch (IOException e) {
      reset(from);
      reset(to);
    }
    open.remove(from);
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "proxy");
    thread.setDaemon(true);
    thread.start();
  }
}
