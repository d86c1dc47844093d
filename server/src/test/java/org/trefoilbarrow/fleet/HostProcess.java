package org.trefoilbarrow.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A host that runs as a process of its own. */
public final class HostProcess implements AutoCloseable {
  private final String name;
  private final String ip;
  private final int callerPort;
  private final int metricsPort;
  private final Path settings;
  private final Path log;
  private Process process;

  HostProcess(String name, String ip, int callerPort, int metricsPort, Path settings, Path log) {
    this.name = name;
    this.ip = ip;
    this.callerPort = callerPort;
    this.metricsPort = metricsPort;
    this.settings = settings;
    this.log = log;
  }

  public String name() {
    return name;
  }

  /** Returns the host's IP address. */
  public String ip() {
    return ip;
  }

  public String address() {
    return "http://" + ip + ":" + callerPort;
  }

  public String healthAddress() {
    return "http://" + ip + ":" + metricsPort + "/healthcheck";
  }

  /** Starts the process; a stopped host starts again with the same settings. */
  public void start() {
    List<String> command =
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx256m",
            System.getProperty("trefoilbarrow.fleet.jvm", "-XX:TieredStopAtLevel=1"),
            "-cp",
            System.getProperty("java.class.path"),
            "org.trefoilbarrow.command.Main",
            "serve",
            "--settings",
            settings.toString());
    try {
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Kills the process without a shutdown, like the failure of a host. */
  public void kill() {
    process.destroyForcibly();
    await();
  }

  /** Requests the shutdown of the process and waits for its end. */
  public void stop() {
    process.destroy();
    await();
  }

  /** Suspends the process. */
  public void suspend() {
    signal("STOP");
  }

  /** Resumes a suspended process. */
  public void resume() {
    signal("CONT");
  }

  /** Returns the process's identifier. */
  public long processId() {
    return process.pid();
  }

  public boolean isRunning() {
    return process != null && process.isAlive();
  }

  /** Returns whether the balancer would send callers to the host. */
  public boolean isHealthy() {
    return Eventually.isOk(healthAddress());
  }

  /** Returns the log of the host. */
  public String readLog() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    if (isRunning()) {
      resume();
      kill();
    }
  }

  private void signal(String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
          .inheritIO()
          .start()
          .waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void await() {
    try {
      if (!process.waitFor(90, TimeUnit.SECONDS)) {
        throw new IllegalStateException("host " + name + " did not end within 90 s");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
