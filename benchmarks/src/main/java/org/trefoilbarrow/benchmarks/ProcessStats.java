package org.trefoilbarrow.benchmarks;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the processor time and memory of a process from {@code /proc}. */
final class ProcessStats {
  /** Clock ticks in one second, the unit of processor times in {@code /proc}. */
  static final int TICKS_IN_SECOND = 100;

  private static final int KIB_IN_MIB = 1024;

  private ProcessStats() {}

  /** Returns the processor time in user and in kernel mode, in ticks. */
  static long processorTicks(long processId) throws IOException {
    String stat = Files.readString(Path.of("/proc", Long.toString(processId), "stat"));
    List<String> fields =
        Splitter.on(' ').splitToList(stat.substring(stat.lastIndexOf(')') + 2).trim());
    return Long.parseLong(fields.get(11)) + Long.parseLong(fields.get(12));
  }

  /** Returns the resident memory, in MiB. */
  static long residentMib(long processId) throws IOException {
    Path status = Path.of("/proc", Long.toString(processId), "status");
    return Files.readAllLines(status).stream()
        .filter(line -> line.startsWith("VmRSS:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) / KIB_IN_MIB)
        .findFirst()
        .orElse(0);
  }
}
