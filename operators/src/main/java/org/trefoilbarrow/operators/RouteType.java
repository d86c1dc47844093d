package org.trefoilbarrow.operators;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Whether a route leads to a model or to a plain service. */
public enum RouteType {
  /** A model, called as {@code /v1/chat/completions} with the route's name as the model. */
  @JsonProperty("model")
  MODEL,
  /** A plain HTTP service, called as {@code /services/<route>/...}. */
  @JsonProperty("service")
  SERVICE
}
