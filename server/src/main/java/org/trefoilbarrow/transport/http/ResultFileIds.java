package org.trefoilbarrow.transport.http;

import java.util.Optional;
import org.trefoilbarrow.protocol.JobId;

/** Converts between jobs and the identifiers of their result files. */
final class ResultFileIds {
  private static final String OUTPUT_PREFIX = "file-output-";
  private static final String ERRORS_PREFIX = "file-errors-";

  private ResultFileIds() {}

  static String output(JobId job) {
    return OUTPUT_PREFIX + job;
  }

  static String errors(JobId job) {
    return ERRORS_PREFIX + job;
  }

  static boolean isErrors(String fileId) {
    return fileId.startsWith(ERRORS_PREFIX);
  }

  /** Returns the job of a result file, or empty if the identifier is not that of a result file. */
  static Optional<JobId> jobOf(String fileId) {
    boolean isResultFile = fileId.startsWith(OUTPUT_PREFIX) || fileId.startsWith(ERRORS_PREFIX);
    return isResultFile && fileId.length() > OUTPUT_PREFIX.length()
        ? Optional.of(JobId.of(fileId.substring(OUTPUT_PREFIX.length())))
        : Optional.empty();
  }
}
