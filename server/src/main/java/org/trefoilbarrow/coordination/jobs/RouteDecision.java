package org.trefoilbarrow.coordination.jobs;

/** What to do with the items of a job, by what is known of its route. */
public enum RouteDecision {
  /** Run the items: the route is in force. */
  RUN,
  /** Read the configuration again: a newer one may have the route. */
  CONFIRM,
  /** Start no items yet: the route is missing, and may come back. */
  WAIT,
  /** Give up the items: the route has ended. */
  GIVE_UP
}
