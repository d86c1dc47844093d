/**
 * Decides which of the responses that a host buffers it gives up when they take too much memory.
 */
package org.trefoilbarrow.coordination.memory;
