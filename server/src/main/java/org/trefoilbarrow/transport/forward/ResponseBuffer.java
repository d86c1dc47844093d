package org.trefoilbarrow.transport.forward;

/** A response in progress of which a host keeps bytes until it is complete. */
public interface ResponseBuffer {
  /** Called when the host needs the memory; the response is given up as lost. */
  void giveUp();
}
