package org.trefoilbarrow.coordination.dispatch;

/** Whose work a dispatcher places, which determines what it knows about the servers. */
public enum PlacementScope {
  /** The work of all hosts: the dispatcher knows what runs at each backend server. */
  ALL_HOSTS,
  /**
   * The online work of this host, which reaches no dispatching host. The dispatcher knows only its
   * own part of what runs, so it chooses between two random servers, and starts no batch items.
   */
  OWN_HOST
}
