/**
 * Chooses backend servers and limits the requests in progress at them by permits: online work
 * first, batch work with what is left.
 *
 * <p>Read first: {@link org.trefoilbarrow.coordination.backend.PermitScheduler}, then {@link
 * org.trefoilbarrow.coordination.backend.BackendState}.
 */
package org.trefoilbarrow.coordination.backend;
