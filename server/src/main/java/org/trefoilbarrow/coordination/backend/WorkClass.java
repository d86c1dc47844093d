package org.trefoilbarrow.coordination.backend;

/** The class of a request: online or batch. */
public enum WorkClass {
  /** A request of a waiting caller. */
  ONLINE,
  /** An item of a batch job, whose permit is revoked when online work waits. */
  BATCH
}
