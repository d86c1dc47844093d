package org.trefoilbarrow.transport.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;
import org.trefoilbarrow.protocol.PromptPartId;
import org.trefoilbarrow.protocol.WorkSize;

/**
 * The attributes that a caller states in the headers of a request.
 *
 * @param requestId the caller's identifier of this attempt; empty if there is none
 * @param key the caller's key, if the request has one
 * @param deadlineMillis how long the caller waits for the response, if stated
 * @param resumeAfter the identifier of the last event that the caller has received, if it resumes a
 *     stream
 * @param promptParts the parts of the prompt that other requests may share, in their order
 * @param promptPartTokens the number of tokens of each of these parts
 * @param size the size that the caller states
 * @param conditional whether the caller states which of the backend servers may run the request
 */
public record RequestAttributes(
    String requestId,
    Optional<String> key,
    OptionalLong deadlineMillis,
    Optional<String> resumeAfter,
    ImmutableList<PromptPartId> promptParts,
    ImmutableList<Integer> promptPartTokens,
    WorkSize size,
    boolean conditional) {
  /** Checks the components. */
  public RequestAttributes {
    checkNotNull(requestId, "requestId");
    checkNotNull(key, "key");
    checkNotNull(deadlineMillis, "deadlineMillis");
    checkNotNull(resumeAfter, "resumeAfter");
    checkNotNull(promptParts, "promptParts");
    checkNotNull(promptPartTokens, "promptPartTokens");
    checkNotNull(size, "size");
  }
}
