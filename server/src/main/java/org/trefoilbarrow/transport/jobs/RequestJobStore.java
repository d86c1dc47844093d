package org.trefoilbarrow.transport.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.RequestJob;
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
  /** The most characters of one object, below the platform's limit for a value. */
  static final int MAX_OBJECT_CHARACTERS = 700_000;

  private static final String PIECES_PREFIX = "pieces:";

  private final Platform platform;
  private final ConfirmedWrites writes;

  /** Creates a store at the given platform. */
  public RequestJobStore(Platform platform) {
    this.platform = checkNotNull(platform, "platform");
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
    if (text.length() > MAX_OBJECT_CHARACTERS) {
      String digest = Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
      List<String> pieces = Splitter.fixedLength(MAX_OBJECT_CHARACTERS).splitToList(text);
      for (int index = 0; index < pieces.size(); index++) {
        WriteOutcome outcome =
            writes.write(
                ObjectKind.JOB_PIECE, digest + "." + index, 0, quote(pieces.get(index)), attempts);
        if (!outcome.isApplied() && outcome.result() != WriteOutcome.Result.CONFLICT) {
          // The job exists only once its own object is written; pieces alone have no effect.
          return new WriteOutcome(WriteOutcome.Result.NOT_SENT, 0);
        }
      }
      text = quote(PIECES_PREFIX + digest + ":" + pieces.size());
    }
    return writes.write(ObjectKind.JOB, job.id().value(), Platform.ABSENT, text, attempts);
  }

  /** Creates a result part; the outcome is a conflict if the number is used. */
  WriteOutcome createPart(JobId job, int number, ResultPart part, int attempts) {
    return writes.write(
        ObjectKind.RESULT,
        partName(job, number),
        Platform.ABSENT,
        JsonCodec.encode(part),
        attempts);
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
