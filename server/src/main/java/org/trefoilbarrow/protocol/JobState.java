package org.trefoilbarrow.protocol;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The states of a batch job. A job leaves {@link #IN_PROGRESS} once. */
public enum JobState {
  @JsonProperty("in_progress")
  IN_PROGRESS,
  @JsonProperty("completed")
  COMPLETED,
  @JsonProperty("cancelled")
  CANCELLED
}
