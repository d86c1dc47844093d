/**
 * Watches of the platform that hosts continue through each other, so that the number of calls to
 * the platform does not grow with the hosts that serve callers.
 */
package org.trefoilbarrow.transport.watch;
