package org.trefoilbarrow.protocol;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Whether a backend server may have run a request that ended in an error. */
public enum RunState {
  /** No backend server has run the request, and none will. */
  @JsonProperty("not_run")
  NOT_RUN,
  /** A backend server may have run the request, in part or whole. */
  @JsonProperty("may_have_run")
  MAY_HAVE_RUN
}
