package org.trefoilbarrow.transport.jobs;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.RequestJob;
import org.trefoilbarrow.protocol.RequestJob.Result;
import org.trefoilbarrow.protocol.RequestJob.ResultPart;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.WriteOutcome;

/**
 * Stores request jobs at the platform: the job itself, its numbered result parts, and its
 * cancellation. Objects are only created, never changed, under names derived from the job, so that
 * writes are idempotent. A job that is too large for one object is stored in numbered pieces, which
 * are written first.
 *
 * <p>Methods block on calls to the platform. Thread-safe.
 */
public final class RequestJobStore {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The part of an object's limit that its name, its version and the like may take. */
  private static final int OBJECT_OVERHEAD_BYTES = 2048;

  /** What the author and the brackets of a part of results may take. */
  private static final int PART_OVERHEAD_BYTES = 1024;

  /** The limit is not lowered further: smaller objects are refused for another reason. */
  private static final long MIN_VALUE_BYTES = 4096;

  private static final String PIECES_PREFIX = "pieces:";

  private final Platform platform;
  private final ConfirmedWrites writes;

  /** The most bytes of a value; lowered when the platform refuses a smaller one. */
  private volatile long maxValueBytes;

  /**
   * Creates a store at the given platform.
   *
   * @param maxObjectBytes the most bytes of one object, as the platform keeps it
   */
  public RequestJobStore(Platform platform, int maxObjectBytes) {
    checkArgument(
        maxObjectBytes > OBJECT_OVERHEAD_BYTES + PART_OVERHEAD_BYTES,
        "maxObjectBytes is too small: %s",
        maxObjectBytes);
    this.platform = checkNotNull(platform, "platform");
    this.maxValueBytes = maxObjectBytes - OBJECT_OVERHEAD_BYTES;
    this.writes = new ConfirmedWrites(platform, (Duration time) -> Thread.sleep(time.toMillis()));
  }

  /** Returns the number of a part from the name of its object, or -1 if the name has none. */
  static int partNumberOf(String name) {
    try {
      return Integer.parseInt(name.substring(name.lastIndexOf('.') + 1));
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** Returns the job of a part from the name of its object. */
  static JobId jobOfPart(String name) {
    return JobId.of(name.substring(0, Math.max(1, name.lastIndexOf('.'))));
  }

  /** Creates a job; the outcome is a conflict if it exists. */
  WriteOutcome create(RequestJob job, int attempts) {
    String text = JsonCodec.encode(job);
    WriteOutcome outcome = create(job.id(), text, attempts);
    while (outcome.result() == WriteOutcome.Result.TOO_LARGE && maxValueBytes > MIN_VALUE_BYTES) {
      outcome = create(job.id(), text, attempts);
    }
    return outcome;
  }

  private WriteOutcome create(JobId id, String jobText, int attempts) {
    String text = jobText;
    if (valueBytes(text) > maxValueBytes) {
      ImmutableList<String> pieces = split(text);
      // The same job may have been split into other pieces before, under a larger limit.
      String name = Hashing.sha256().hashString(text, StandardCharsets.UTF_8) + "-" + pieces.size();
      for (int index = 0; index < pieces.size(); index++) {
        WriteOutcome outcome =
            create(ObjectKind.JOB_PIECE, name + "." + index, quote(pieces.get(index)), attempts);
        if (outcome.result() == WriteOutcome.Result.TOO_LARGE) {
          return outcome;
        }
        if (!outcome.isApplied() && outcome.result() != WriteOutcome.Result.CONFLICT) {
          // The job exists only once its own object is written; pieces alone have no effect.
          return new WriteOutcome(WriteOutcome.Result.NOT_SENT, 0);
        }
      }
      text = quote(PIECES_PREFIX + name + ":" + pieces.size());
    }
    return create(ObjectKind.JOB, id.value(), text, attempts);
  }

  /** Creates an object, and lowers the limit if the platform refuses a size that should fit. */
  private WriteOutcome create(ObjectKind kind, String name, String value, int attempts) {
    WriteOutcome outcome = writes.write(kind, name, Platform.ABSENT, value, attempts);
    if (outcome.result() == WriteOutcome.Result.TOO_LARGE) {
      lowerLimit(valueBytes(value));
    }
    return outcome;
  }

  private void lowerLimit(long refusedBytes) {
    if (refusedBytes <= maxValueBytes) {
      maxValueBytes = Math.max(MIN_VALUE_BYTES, refusedBytes / 2);
      logger.atWarning().log(
          "jobs: platform refused a value of %d bytes as too large; the limit is %d bytes now",
          refusedBytes, maxValueBytes);
    }
  }

  /**
   * Returns how many bytes a value takes in an object. Platforms may keep values as text inside
   * their own JSON, where quotation marks and line feeds take more than one byte.
   */
  private static long valueBytes(String value) {
    return JsonCodec.encodedBytes(value);
  }

  /** Splits a text into pieces that fit into one object each, in order. */
  private ImmutableList<String> split(String text) {
    if (text.length() <= 1 || valueBytes(quote(text)) <= maxValueBytes) {
      return ImmutableList.of(text);
    }
    int middle = text.length() / 2;
    if (Character.isHighSurrogate(text.charAt(middle - 1))) {
      // Half of a surrogate pair is no text.
      middle = middle > 1 ? middle - 1 : middle + 1;
    }
    return ImmutableList.<String>builder()
        .addAll(split(text.substring(0, middle)))
        .addAll(split(text.substring(middle)))
        .build();
  }

  /** Returns how many bytes of {@link #maxResultBytes} a result takes. */
  static long resultBytes(Result result) {
    return valueBytes(JsonCodec.encode(result)) + 1;
  }

  /** Returns the most bytes of the results in one part. */
  long maxResultBytes() {
    return maxValueBytes - PART_OVERHEAD_BYTES;
  }

  /** Creates a result part; the outcome is a conflict if the number is used. */
  WriteOutcome createPart(JobId job, int number, ResultPart part, int attempts) {
    return create(ObjectKind.RESULT, partName(job, number), JsonCodec.encode(part), attempts);
  }

  /** Records that a job was cancelled; the outcome is a conflict if it was before. */
  WriteOutcome createCancellation(JobId job, int attempts) {
    return writes.write(ObjectKind.JOB_END, job.value(), Platform.ABSENT, "\"ended\"", attempts);
  }

  /** Returns a result part, if it exists. */
  Optional<ResultPart> readPart(JobId job, int number) {
    return platform
        .read(ObjectKind.RESULT, partName(job, number))
        .map(VersionedObject::value)
        .map(RequestJobStore::decodePart);
  }

  /** Decodes the object of a job, and reads the job's pieces if it has any. */
  RequestJob decode(String value) {
    String text = value;
    if (value.startsWith("\"")) {
      List<String> reference = Splitter.on(':').splitToList(JsonCodec.decode(value, String.class));
      StringBuilder jobText = new StringBuilder();
      int count = Integer.parseInt(reference.get(2));
      for (int index = 0; index < count; index++) {
        String name = reference.get(1) + "." + index;
        String piece =
            platform
                .read(ObjectKind.JOB_PIECE, name)
                .map(VersionedObject::value)
                .orElseThrow(
                    () ->
                        new IllegalStateException(
                            "job piece " + name + " of " + count + " is missing"));
        jobText.append(JsonCodec.decode(piece, String.class));
      }
      text = jobText.toString();
    }
    return JsonCodec.decode(text, RequestJob.class);
  }

  static ResultPart decodePart(String value) {
    return JsonCodec.decode(value, ResultPart.class);
  }

  /** Returns a job, if it exists. */
  Optional<RequestJob> read(JobId job) {
    return platform.read(ObjectKind.JOB, job.value()).map(VersionedObject::value).map(this::decode);
  }

  private static String partName(JobId job, int number) {
    return String.format("%s.%04d", job.value(), number);
  }

  private static String quote(String text) {
    return JsonCodec.encode(text);
  }
}
